package recovery

import (
	"slices"
	"time"
)

// startTimes returns the latest start time of each server that at least two peers or this instance's disk have observed. The
// report of a single peer can't change whether a server is warming up.
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
// Settings.MaxClockSkew: such a start can't have been observed.
func (r *Recovery) isPlausible(s Server, now time.Duration) bool {
	return s.StartedAt > 0 && s.StartedAt <= now+r.settings.MaxClockSkew
}

// isColdStart reports whether, as far as is known, all instances lost power rather than this one alone. The result is false
// only if at least half of the peers that answered, and at least two of them if more than one answered, have served for
// longer than Settings.WarmupDuration. With three or more answers a single faulty peer does not change the result.
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
