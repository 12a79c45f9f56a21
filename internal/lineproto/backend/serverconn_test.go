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

// fakeClient is a Client for tests that need only its opening line.
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

// connectedAttempt is an attempt whose connection is established and has not been passed to OnOpen yet.
type connectedAttempt struct {
	events eventQueue
	conn   *ServerConn
	server net.Conn // the server's end of the connection
}

func connectAttempt(t *testing.T, connectTimeout time.Duration) connectedAttempt {
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
	return connectedAttempt{events: events, conn: conn, server: server}
}

// callOnOpen calls OnOpen on the connection's loop and waits for it to return.
func (c connectedAttempt) callOnOpen() {
	done := make(chan struct{})
	c.conn.Conn().Post(func() {
		c.conn.OnOpen(c.conn.Conn(), nil)
		close(done)
	})
	<-done
}

// Guards against a request that is sent on a connection established after the connect timeout, because the dial or its loop
// was delayed: such a connection carries nothing, and the attempt ends as ConnectFailed.
func TestLateConnectionCarriesNothing(t *testing.T) {
	buf := make([]byte, 100)
	t.Run("in time", func(t *testing.T) {
		c := connectAttempt(t, testTimeout)
		c.callOnOpen()
		if n, err := c.server.Read(buf); n == 0 {
			t.Errorf("read nothing, %v, want the opening line", err)
		}
	})
	t.Run("late", func(t *testing.T) {
		const connectTimeout = time.Millisecond
		c := connectAttempt(t, connectTimeout)
		for c.conn.Age() <= connectTimeout {
			time.Sleep(connectTimeout)
		}
		c.callOnOpen()
		if n, err := c.server.Read(buf); n > 0 || !errors.Is(err, io.EOF) {
			t.Errorf("read %q, %v, want nothing and EOF", buf[:n], err)
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

// unresponsiveAddr returns an address whose accept queue is full, so that dials to it get no answer.
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
