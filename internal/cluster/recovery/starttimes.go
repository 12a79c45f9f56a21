package recovery

import (
	"slices"
	"time"
)

// startTimes returns the latest start time of each server that two peers report or that the own disk holds. The report of
// a single peer makes no server cold or warm.
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

// reportedStartTimes returns the start times of each server, one from each peer that reports one.
func (r *Recovery) reportedStartTimes(now time.Duration) map[string][]time.Duration {
	reported := map[string][]time.Duration{}
	for _, report := range r.reports {
		seen := map[string]bool{}
		for _, s := range report.State.Servers {
			if r.isPlausible(s, now) && !seen[s.ID] {
				seen[s.ID] = true
				reported[s.ID] = append(reported[s.ID], s.StartedAt)
			}
		}
	}
	return reported
}

// isPlausible reports whether a start time is known and can have been observed: none was ahead of the clock.
func (r *Recovery) isPlausible(s Server, now time.Duration) bool {
	return s.StartedAt > 0 && s.StartedAt <= now+r.settings.MaxClockSkew
}

// isColdStart reports whether, as far as is known, all instances lost power rather than this one alone. That is so unless
// at least half of the peers that answered have served for longer than servers are cold. From three answers on a single
// faulty peer does not change the result.
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
