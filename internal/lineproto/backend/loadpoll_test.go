package backend

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

// serveReports answers the first line on each connection with answer(n), where n counts the connections from 0, and closes
// the connection. It sends n to answered after each answer if answered is not nil.
func serveReports(listener net.Listener, answer func(n int) string, answered chan<- int) {
	for n := 0; ; n++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
			_, _ = io.WriteString(conn, answer(n)) // an error is ignored: the poller may have closed the connection
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
	t.Cleanup(func() { b.StopPolling(1) })
	return b, events
}

// Guards against load polls that are lost because the server has closed an idle connection: that shows only at the next
// poll, which must be retried.
func TestPollIsRetriedAfterAnIdleClose(t *testing.T) {
	listener := listen(t)
	go serveReports(listener, func(int) string { return "PONG x0=0.5,inflight=3\r\n" }, nil)
	b, events := pollingBackend(t, 1)
	for range 3 {
		b.PollLoad(1, listener.Addr().String())
		ev := events.next(t)
		reported, ok := ev.(engine.LoadReported)
		if !ok || reported.Report.Utilization != 0.5 || reported.Report.Connections != 3 {
			t.Errorf("posted %#v, want LoadReported with utilization 0.5 and 3 connections", ev)
		}
	}
}

// An answer to STATS that is incomplete, out of range or too long is ignored, and the next poll works.
func TestMalformedReportsAreIgnored(t *testing.T) {
	for name, malformed := range map[string]string{
		"incomplete":   "PONG x0=0.",
		"not a number": "PONG x0=NaN\r\n",
		"negative":     "PONG x0=-4\r\n",
		"infinite":     "PONG x0=Inf\r\n",
		"huge":         "PONG x0=1e300\r\n",
		"no report":    "PONG\r\n",
		"no answer":    "ERR\r\n",
		"refused":      "NO\r\n",
		"too long":     "PONG x0=" + strings.Repeat("9", 10_000) + "\r\n",
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
				t.Errorf("the next poll reported utilization %v, want 0.5", got)
			}
		})
	}
}

// nextUtilization returns the next utilization that is reported. It fails the test if another event than a load report is
// posted before it.
func nextUtilization(t *testing.T, events eventQueue) float64 {
	t.Helper()
	for {
		ev := events.next(t)
		reported, ok := ev.(engine.LoadReported)
		if !ok {
			t.Fatalf("posted %#v, want LoadReported", ev)
		}
		if reported.Report.HasUtilization {
			return reported.Report.Utilization
		}
	}
}

// openCounter is a descriptorCounter that records the highest count.
type openCounter struct {
	mu            sync.Mutex
	open, highest int
}

func (c *openCounter) ReserveDescriptor() { c.add(1) }
func (c *openCounter) ReleaseDescriptor() { c.add(-1) }

func (c *openCounter) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

func (c *openCounter) highestCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highest
}

func (c *openCounter) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += n
	c.highest = max(c.highest, c.open)
}

// Guards against a connection for each polled server, which could use up the program's descriptors: load polls share a few
// connections, whether their servers answer or refuse, and release them when the servers are forgotten.
func TestLoadPollsShareFewConnections(t *testing.T) {
	const servers, rounds = 6 * maxPollConns, 4
	events := make(eventQueue, servers*rounds)
	b := New(Options{})
	b.Connect(events, nil)
	counter := &openCounter{}
	b.pollConns.descriptors = counter
	answering := listen(t)
	go answerAllPolls(answering)
	refusing := listen(t)
	refused := refusing.Addr().String()
	if err := refusing.Close(); err != nil {
		t.Fatal(err)
	}
	for range rounds {
		reported := map[balancer.ServerID]bool{}
		for id := range balancer.ServerID(servers) {
			addr := answering.Addr().String()
			if id%8 == 7 {
				addr = refused
			}
			b.PollLoad(id+1, addr)
		}
		for len(reported) < servers-servers/8 {
			reported[events.next(t).(engine.LoadReported).Server] = true
		}
	}
	if highest := counter.highestCount(); highest > maxPollConns {
		t.Errorf("%d connections were open at once, want %d at most", highest, maxPollConns)
	}
	for id := range balancer.ServerID(servers) {
		b.StopPolling(id + 1)
	}
	for end := time.Now().Add(testTimeout); counter.openCount() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open after all servers were forgotten, want 0", counter.openCount())
		}
	}
}

// answerAllPolls answers every line on every connection with a load report.
func answerAllPolls(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			for lines := bufio.NewScanner(conn); lines.Scan(); {
				_, _ = io.WriteString(conn, "PONG x0=0.5\r\n")
			}
			_ = conn.Close()
		}()
	}
}
