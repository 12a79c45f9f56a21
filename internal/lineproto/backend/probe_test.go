package backend

import (
	"bufio"
	"net"
	"testing"
	"time"

	"example.org/milletvane/internal/engine"
)

type reports chan engine.Event

func (r reports) Post(ev engine.Event)    { r <- ev }
func (r reports) TryPost(ev engine.Event) { r <- ev }

// A server closes what is idle. That shows only at the next question, which must not be lost for it.
func TestProbeOnAConnectionThatWasClosedIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := bufio.NewReader(c).ReadString('\n'); err == nil {
				c.Write([]byte("PONG x0=0.5,inflight=3\r\n"))
			}
			c.Close() // after each answer
		}
	}()
	got := make(reports, 1)
	b := New(Options{})
	b.Connect(got, nil)
	defer b.Forget(1)
	for i := range 3 {
		b.PollLoad(1, l.Addr().String())
		select {
		case ev := <-got:
			if p := ev.(engine.LoadReported); p.Report.Utilization != 0.5 || p.Report.Connections != 3 {
				t.Errorf("told %+v", p)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("question %d was lost", i)
		}
	}
}
