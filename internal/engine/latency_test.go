package engine

import (
	"testing"
	"time"
)

const testObjective = 60 * time.Millisecond

func TestLatencyEstimateFollowsTimedMessages(t *testing.T) {
	var l latencyEstimator
	expect := func(now, want time.Duration) {
		t.Helper()
		if got := l.estimate(now, testObjective); got != want {
			t.Errorf("at %v the estimate is %v, want %v", now, got, want)
		}
	}
	expect(time.Hour, 0)
	l.recordAnswer(time.Hour, 1, 30*time.Millisecond)
	expect(time.Hour+time.Second, 30*time.Millisecond)
	expect(time.Hour+time.Minute, 0)
}

// Guards against an overload that goes unnoticed because the server answers messages at once: a server with a utilization
// of 1.23 did so.
func TestLatencyEstimateFollowsOverloadAndItsEnd(t *testing.T) {
	var l latencyEstimator
	now := time.Hour
	for range 3 {
		l.recordLoadReport(now, LoadReport{Utilization: 1.23, HasUtilization: true})
		now += time.Second
	}
	if got := l.estimate(now, testObjective); got < 2*testObjective {
		t.Errorf("after two seconds of overload the estimate is %v, want at least twice the objective", got)
	}
	for range 20 { // the excess of noisy reports must not accumulate and keep the server out
		l.recordLoadReport(now, LoadReport{Utilization: 1.2, HasUtilization: true})
		now += time.Second
	}
	l.recordLoadReport(now, LoadReport{Utilization: 0.2, HasUtilization: true})
	if got := l.estimate(now, testObjective); got > testObjective/3 {
		t.Errorf("after the overload the estimate is %v, want at most a third of the objective", got)
	}
	l.recordLoadReport(now, LoadReport{Utilization: 0.2, HasUtilization: true, Backlog: time.Second, HasBacklog: true})
	if got := l.estimate(now, testObjective); got < time.Second {
		t.Errorf("with a backlog of 1 s the estimate is %v, want at least 1 s", got)
	}
}
