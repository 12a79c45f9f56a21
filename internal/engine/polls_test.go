package engine

import (
	"slices"
	"testing"
	"time"

	"example.org/milletvane/balancer"
)

// A server with low utilization is polled half as often as others, but often enough for its last report to stay valid.
func TestServersWithLowUtilizationArePolledLessOften(t *testing.T) {
	for name, c := range map[string]struct {
		utilization float64
		wantPolls   int
	}{
		"low utilization":  {0.3, 5},
		"high utilization": {0.7, 10},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, func(o *Options) { o.CanPollLoad = true })
			h.connectAndRequest(h.newClient("a"), Request{Key: "k"})
			h.establish(h.lastAttempt)
			polls := 0
			for range 40 {
				h.calls = nil
				h.advance(250 * time.Millisecond)
				if slices.Contains(h.calls, "poll a1") {
					polls++
					report := LoadReport{Utilization: c.utilization, HasUtilization: true}
					h.handle(LoadReported{Server: 1, Report: report})
				}
			}
			if polls < c.wantPolls || polls > c.wantPolls+1 {
				t.Errorf("%d polls in 10 s at a utilization of %v, want %d or one more", polls, c.utilization, c.wantPolls)
			}
		})
	}
}

func TestOnlyServersWithConnectionsArePolled(t *testing.T) {
	h := newHarness(t, 2, func(o *Options) { o.CanPollLoad = true })
	h.advance(3 * time.Second)
	h.expectCalls()
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	addr := h.lastAttempt.sent.Addr
	h.establish(h.lastAttempt)
	h.calls = nil
	h.advance(2 * time.Second)
	h.expectCalls("poll "+addr, "poll "+addr)
}

// Load reports decide whether a server still gets the connections whose keys are placed there.
func TestLoadReportsReachTheBalancer(t *testing.T) {
	h := newHarness(t, 2, nil)
	h.connectAndRequest(h.newClient("x"), Request{Key: "k"})
	first := h.lastAttempt.sent.Addr
	server := h.lastAttempt.sent.Server
	h.establish(h.lastAttempt)
	h.handle(LoadReported{Server: server, Report: LoadReport{Utilization: 2, HasUtilization: true}})
	h.connectAndRequest(h.newClient("y"), Request{Key: "k"})
	if h.lastAttempt.sent.Addr == first {
		t.Error("attempt was sent to a server that had just reported a utilization of 2")
	}
	h.endAttempt(h.lastAttempt, balancer.OK)
	h.handle(LoadReported{Server: server, Report: LoadReport{Utilization: 0.1, HasUtilization: true}})
	h.connectAndRequest(h.newClient("z"), Request{Key: "k"})
	if h.lastAttempt.sent.Addr != first {
		t.Error("attempt was not sent to the server of its key, which has capacity again")
	}
}
