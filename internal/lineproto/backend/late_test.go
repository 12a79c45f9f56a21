package backend

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/lineproto/codec"
	"example.org/milletvane/internal/reactor"
)

// quiet is a client of which an attempt needs its line alone.
type quiet struct {
	engine.Client
	open codec.Open
	on   *reactor.Conn
}

func (q *quiet) Forward(parts [][]byte, wait time.Duration) [][]byte {
	return q.open.Forward(parts, wait)
}
func (q *quiet) Established([]byte, *Link) bool { return true }
func (q *quiet) Relay(*reactor.Conn, []byte)    {}
func (q *quiet) ServerEnded(bool)               {}
func (q *quiet) Conn() *reactor.Conn            { return q.on }

type nobody struct{}

func (nobody) OnOpen(*reactor.Conn, error)          {}
func (nobody) OnData(_ *reactor.Conn, b []byte) int { return len(b) }
func (nobody) OnEnd(*reactor.Conn, error)           {}

const patience = 20 * time.Second

func event(t *testing.T, from reports) engine.Event {
	t.Helper()
	select {
	case ev := <-from:
		return ev
	case <-time.After(patience):
		t.Fatal("nothing came")
		return nil
	}
}

// A connection that comes up once its time to begin is over carries nothing, and the attempt never ran: the dial has run out
// of time, or it is told of too late, as by a loop that was held up.
func TestAConnectionThatComesUpLateCarriesNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	g, err := reactor.New(1)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	open, err := codec.ParseOpen([]byte("OPEN 01 0a c=c,d=60000\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, begin := range []time.Duration{patience, time.Millisecond} {
		late := begin < patience
		got := make(reports, 1)
		b := New(Options{})
		b.Connect(got, g)
		link := &Link{backend: b, client: &quiet{open: open}, attempt: engine.Attempt{Timeout: patience, ConnectTimeout: begin}}
		link.Start(func() *reactor.Conn { return g.Dial(l.Addr().String(), patience, nobody{}, nil) })
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		server.SetDeadline(time.Now().Add(patience))
		for late && link.Age() <= begin {
			time.Sleep(begin)
		}
		done := make(chan bool)
		link.Conn().Do(func() { link.OnOpen(link.Conn(), nil); close(done) })
		<-done
		buf := make([]byte, 100)
		if late {
			if n, err := server.Read(buf); n > 0 || err != io.EOF {
				t.Errorf("%q was sent on late, %v", buf[:n], err)
			}
			if e, ok := event(t, got).(engine.AttemptEnded); !ok || e.Result != balancer.ConnectFailed {
				t.Errorf("told %+v", e)
			}
		} else if n, err := server.Read(buf); n == 0 {
			t.Errorf("nothing was sent on in time: %v", err)
		}
		server.Close()
	}
}

// A dial that is still out when the time to begin is over has never run.
func TestADialThatIsLateNeverRan(t *testing.T) {
	g, err := reactor.New(1)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	got := make(reports, 1)
	b := New(Options{})
	b.Connect(got, g)
	b.Send(engine.Attempt{Addr: "127.0.0.1:1", Client: &quiet{}, Timeout: patience, ConnectTimeout: patience})
	if e, ok := event(t, got).(engine.AttemptEnded); !ok || e.Result != balancer.ConnectFailed {
		t.Errorf("refused: told %+v", e)
	}
	full := crowded(t)
	b.Send(engine.Attempt{Addr: full, Client: &quiet{}, Timeout: patience, ConnectTimeout: 50 * time.Millisecond})
	if e, ok := event(t, got).(engine.AttemptEnded); !ok || e.Result != balancer.ConnectFailed {
		t.Errorf("silent: told %+v", e)
	}
}

// crowded is an address whose queue of connections is full: whoever connects waits.
func crowded(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	unix.Listen(fd, 0)
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprint("127.0.0.1:", sa.(*unix.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}
