package engine

import (
	"slices"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// A server with capacity left is polled half as often as one that is well used, and never so seldom that its last
// report is too old.
func TestServersWithLowUtilizationArePolledLessOften(t *testing.T) {
	for name, c := range map[string]struct {
		utilization float64
		wantPolls   int
	}{
		"low utilization":  {0.3, 5},
		"high utilization": {0.7, 10},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, func(o *Options) { o.CanPollLoad = true })
			w.arrive(w.client("a"), Request{Key: "k"})
			w.establish(w.attempt)
			polls := 0
			for range 40 {
				w.calls = nil
				w.pass(250 * time.Millisecond)
				if slices.Contains(w.calls, "poll a1") {
					polls++
					report := LoadReport{Utilization: c.utilization, HasUtilization: true}
					w.handle(LoadReported{Server: 1, Report: report})
				}
			}
			if polls < c.wantPolls || polls > c.wantPolls+1 {
				t.Errorf("%d polls in 10 s at a utilization of %v, want %d", polls, c.utilization, c.wantPolls)
			}
		})
	}
}

func TestOnlyServersWithConnectionsArePolled(t *testing.T) {
	w := newWorld(t, 2, func(o *Options) { o.CanPollLoad = true })
	w.pass(3 * time.Second)
	w.expect()
	w.arrive(w.client("x"), Request{Key: "k"})
	addr := w.attempt.sent.Addr
	w.establish(w.attempt)
	w.calls = nil
	w.pass(2 * time.Second)
	w.expect("poll "+addr, "poll "+addr)
}

// What a server reports of its load decides whether the next connections of its keys still go there.
func TestLoadReportsReachTheBalancer(t *testing.T) {
	w := newWorld(t, 2, nil)
	w.arrive(w.client("x"), Request{Key: "k"})
	first := w.attempt.sent.Addr
	server := w.attempt.sent.Server
	w.establish(w.attempt)
	w.handle(LoadReported{Server: server, Report: LoadReport{Utilization: 2, HasUtilization: true}})
	w.arrive(w.client("y"), Request{Key: "k"})
	if w.attempt.sent.Addr == first {
		t.Error("sent to a server that had just reported twice its capacity")
	}
	w.end(w.attempt, balancer.OK)
	w.handle(LoadReported{Server: server, Report: LoadReport{Utilization: 0.1, HasUtilization: true}})
	w.arrive(w.client("z"), Request{Key: "k"})
	if w.attempt.sent.Addr != first {
		t.Error("not sent to a server that has capacity again")
	}
}
