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

// This failed once: messages were answered at once by a server that was asked for 1.23 of its capacity.
func TestLatencyEstimateFollowsOverloadAndItsEnd(t *testing.T) {
	var l latencyEstimator
	now := time.Hour
	for range 3 {
		l.recordLoadReport(now, LoadReport{Utilization: 1.23, HasUtilization: true})
		now += time.Second
	}
	if got := l.estimate(now, testObjective); got < 2*testObjective {
		t.Errorf("after two seconds of overload the estimate is %v", got)
	}
	for range 20 { // noise that adds up must not keep the server out
		l.recordLoadReport(now, LoadReport{Utilization: 1.2, HasUtilization: true})
		now += time.Second
	}
	l.recordLoadReport(now, LoadReport{Utilization: 0.2, HasUtilization: true})
	if got := l.estimate(now, testObjective); got > testObjective/3 {
		t.Errorf("after the overload the estimate is %v", got)
	}
	l.recordLoadReport(now, LoadReport{Utilization: 0.2, HasUtilization: true, Backlog: time.Second, HasBacklog: true})
	if got := l.estimate(now, testObjective); got < time.Second {
		t.Errorf("with a backlog of a second the estimate is %v", got)
	}
}
