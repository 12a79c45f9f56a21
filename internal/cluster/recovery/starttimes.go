package recovery

import (
	"slices"
	"time"
)

// startTimes returns the start times of servers by ID. A server's start time is the later of two: the one on this instance's
// disk, and the second-latest one that peers report. The latest reported one is not used, so that the report of a single peer
// can't change whether a server is warming up.
func (r *Recovery) startTimes(now time.Duration) map[string]time.Duration {
	latest := map[string]time.Duration{}
	for _, s := range r.disk.Servers {
		if r.isPlausible(s, now) {
			latest[s.ID] = s.StartedAt
		}
	}
	for id, times := range r.reportedStartTimes(now) {
		if len(times) > 1 {
			slices.Sort(times)
			latest[id] = max(latest[id], times[len(times)-2])
		}
	}
	return latest
}

// reportedStartTimes returns the start times of each server by ID, at most one from each peer.
func (r *Recovery) reportedStartTimes(now time.Duration) map[string][]time.Duration {
	reported := map[string][]time.Duration{}
	for _, report := range r.reports {
		seenIDs := map[string]bool{}
		for _, s := range report.State.Servers {
			if r.isPlausible(s, now) && !seenIDs[s.ID] {
				seenIDs[s.ID] = true
				reported[s.ID] = append(reported[s.ID], s.StartedAt)
			}
		}
	}
	return reported
}

// isPlausible reports whether the server's start time is known and is not ahead of the local clock by more than
// Settings.MaxClockSkew. A start that is further ahead can't have been observed.
func (r *Recovery) isPlausible(s Server, now time.Duration) bool {
	return s.StartedAt > 0 && s.StartedAt <= now+r.settings.MaxClockSkew
}

// isColdStart reports whether, as far as is known, all instances lost power rather than this one alone. A peer counts as
// serving if it has served for longer than Settings.WarmupDuration. The result is true if no peer has answered, if fewer than
// half of the peers that answered are serving, or if more than one has answered and fewer than two are serving. With three or
// more answers, a single faulty peer does not change the result while all other peers agree.
func (r *Recovery) isColdStart() bool {
	serving := 0
	for _, report := range r.reports {
		if report.State.Uptime > r.settings.WarmupDuration {
			serving++
		}
	}
	answered := len(r.reports)
	if answered == 0 || 2*serving < answered {
		return true
	}
	return serving < 2 && answered > 1
}
