package backend

import (
	"errors"
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

// fakeClient is a client of which an attempt needs its opening line alone.
type fakeClient struct {
	engine.Client
	open codec.Open
	conn *reactor.Conn
}

func (c *fakeClient) Forward(parts [][]byte, timeout time.Duration) [][]byte {
	return c.open.Forward(parts, timeout)
}
func (c *fakeClient) Established([]byte, *ServerConn) bool { return true }
func (c *fakeClient) Relay(*reactor.Conn, []byte)          {}
func (c *fakeClient) ServerEnded(bool)                     {}
func (c *fakeClient) Conn() *reactor.Conn                  { return c.conn }

type discardHandler struct{}

func (discardHandler) OnOpen(*reactor.Conn, error)          {}
func (discardHandler) OnData(_ *reactor.Conn, b []byte) int { return len(b) }
func (discardHandler) OnEnd(*reactor.Conn, error)           {}

// lateConnection is an attempt whose connection is established, but has not been passed to OnOpen yet.
type lateConnection struct {
	events eventQueue
	conn   *ServerConn
	server net.Conn // the other end
}

func connectWithin(t *testing.T, connectTimeout time.Duration) lateConnection {
	t.Helper()
	listener, group := listen(t), newGroup(t)
	open, err := codec.ParseOpen([]byte("OPEN 01 0a c=c,d=60000\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	events := make(eventQueue, 1)
	b := New(Options{})
	b.Connect(events, group)
	conn := &ServerConn{
		backend: b, client: &fakeClient{open: open},
		attempt: engine.Attempt{Timeout: testTimeout, ConnectTimeout: connectTimeout},
	}
	conn.Start(func() *reactor.Conn {
		return group.Dial(listener.Addr().String(), testTimeout, discardHandler{}, nil)
	})
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	if err := server.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return lateConnection{events: events, conn: conn, server: server}
}

// callOnOpen calls OnOpen as the connection's loop does.
func (c lateConnection) callOnOpen() {
	done := make(chan struct{})
	c.conn.Conn().Do(func() {
		c.conn.OnOpen(c.conn.Conn(), nil)
		close(done)
	})
	<-done
}

// A connection that is established after the time to connect carries nothing, and the attempt never ran: the dial has run
// out of time, or its loop was delayed.
func TestLateConnectionCarriesNothing(t *testing.T) {
	buf := make([]byte, 100)
	t.Run("in time", func(t *testing.T) {
		c := connectWithin(t, testTimeout)
		c.callOnOpen()
		if n, err := c.server.Read(buf); n == 0 {
			t.Errorf("nothing was forwarded: %v", err)
		}
	})
	t.Run("late", func(t *testing.T) {
		const connectTimeout = time.Millisecond
		c := connectWithin(t, connectTimeout)
		for c.conn.Age() <= connectTimeout {
			time.Sleep(connectTimeout)
		}
		c.callOnOpen()
		if n, err := c.server.Read(buf); n > 0 || !errors.Is(err, io.EOF) {
			t.Errorf("%q was forwarded, %v", buf[:n], err)
		}
		expectConnectFailed(t, c.events)
	})
}

func expectConnectFailed(t *testing.T, events eventQueue) {
	t.Helper()
	ev := events.next(t)
	if ended, ok := ev.(engine.AttemptEnded); !ok || ended.Result != balancer.ConnectFailed {
		t.Errorf("posted %#v, want AttemptEnded with ConnectFailed", ev)
	}
}

func TestFailedDialIsConnectFailed(t *testing.T) {
	for _, test := range []struct {
		name           string
		addr           func(*testing.T) string
		connectTimeout time.Duration
	}{
		{"refused", func(*testing.T) string { return "127.0.0.1:1" }, testTimeout},
		{"no answer", unresponsiveAddr, 50 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			events := make(eventQueue, 1)
			b := New(Options{})
			b.Connect(events, newGroup(t))
			b.Send(engine.Attempt{
				Addr: test.addr(t), Client: &fakeClient{}, Timeout: testTimeout, ConnectTimeout: test.connectTimeout,
			})
			expectConnectFailed(t, events)
		})
	}
}

// unresponsiveAddr is an address whose accept queue is full, so that no dial is answered.
func unresponsiveAddr(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
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
		t.Cleanup(func() { _ = c.Close() })
	}
}
