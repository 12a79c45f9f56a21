package backend

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/engine"
)

// serveReports answers the first line on each connection with answer(n), n counted from 0, and closes the connection. Each
// answer is noted in answered, if that is not nil.
func serveReports(listener net.Listener, answer func(n int) string, answered chan<- int) {
	for n := 0; ; n++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
			_, _ = io.WriteString(conn, answer(n)) // a poller that has gone reads nothing
		}
		_ = conn.Close()
		if answered != nil {
			answered <- n
		}
	}
}

func pollingBackend(t *testing.T, queued int) (*Backend, eventQueue) {
	t.Helper()
	events := make(eventQueue, queued)
	b := New(Options{})
	b.Connect(events, nil)
	t.Cleanup(func() { b.Forget(1) })
	return b, events
}

// A server closes idle connections. That shows only at the next poll, which must not be lost for it.
func TestPollIsRetriedAfterAnIdleClose(t *testing.T) {
	listener := listen(t)
	go serveReports(listener, func(int) string { return "PONG x0=0.5,inflight=3\r\n" }, nil)
	b, events := pollingBackend(t, 1)
	for range 3 {
		b.PollLoad(1, listener.Addr().String())
		ev := events.next(t)
		reported, ok := ev.(engine.LoadReported)
		if !ok || reported.Report.Utilization != 0.5 || reported.Report.Connections != 3 {
			t.Errorf("posted %#v", ev)
		}
	}
}

// An answer to STATS that is cut short, absurd or too long says nothing of the server's load, and does not affect the next
// poll.
func TestMalformedReportsAreIgnored(t *testing.T) {
	for name, malformed := range map[string]string{
		"cut short":   "PONG x0=0.",
		"no number":   "PONG x0=NaN\r\n",
		"negative":    "PONG x0=-4\r\n",
		"endless":     "PONG x0=Inf\r\n",
		"huge":        "PONG x0=1e300\r\n",
		"no report":   "PONG\r\n",
		"no answer":   "ERR\r\n",
		"not allowed": "NO\r\n",
		"too long":    "PONG x0=" + strings.Repeat("9", 10_000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			answered := make(chan int, 10)
			go serveReports(listener, func(n int) string {
				if n == 0 {
					return malformed
				}
				return "PONG x0=0.5\r\n"
			}, answered)
			b, events := pollingBackend(t, 4)
			b.PollLoad(1, listener.Addr().String())
			select {
			case <-answered:
			case <-time.After(testTimeout):
				t.Fatal("the server was not polled")
			}
			b.PollLoad(1, listener.Addr().String())
			if got := nextUtilization(t, events); got != 0.5 {
				t.Errorf("utilization %v, want 0.5", got)
			}
		})
	}
}

// nextUtilization is the next utilization that is reported. Only load reports may be posted before it.
func nextUtilization(t *testing.T, events eventQueue) float64 {
	t.Helper()
	for {
		ev := events.next(t)
		reported, ok := ev.(engine.LoadReported)
		if !ok {
			t.Fatalf("posted %#v", ev)
		}
		if reported.Report.HasUtilization {
			return reported.Report.Utilization
		}
	}
}
