package backend

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/engine"
)

// An answer to STATS that is cut short, absurd or endless says nothing of the server's load, and takes nothing from the next
// question.
func TestSpoiltAnswersToProbesSayNothing(t *testing.T) {
	for name, spoilt := range map[string]string{
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
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			asked := make(chan bool, 10)
			go func() {
				for n := 0; ; n++ {
					c, err := l.Accept()
					if err != nil {
						return
					}
					bufio.NewReader(c).ReadString('\n')
					if n == 0 {
						c.Write([]byte(spoilt))
					} else {
						c.Write([]byte("PONG x0=0.5\r\n"))
					}
					c.Close()
					asked <- true
				}
			}()
			got := make(reports, 4)
			b := New(Options{})
			b.Connect(got, nil)
			defer b.Forget(1)
			b.PollLoad(1, l.Addr().String())
			select {
			case <-asked:
			case <-time.After(patience):
				t.Fatal("not asked")
			}
			b.PollLoad(1, l.Addr().String())
			for {
				p, ok := event(t, got).(engine.LoadReported)
				if !ok {
					t.Fatalf("told %+v", p)
				}
				if p.Report.HasUtilization {
					if p.Report.Utilization != 0.5 {
						t.Errorf("told %+v", p)
					}
					return
				}
			}
		})
	}
}
