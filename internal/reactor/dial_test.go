package reactor

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// dialResult dials an address and returns a channel that receives the result.
func dialResult(g *Group, addr string, timeout time.Duration) <-chan error {
	result := make(chan error, 1)
	g.Dial(addr, timeout, &handlerFuncs{open: func(_ *Conn, err error) { result <- err }}, nil)
	return result
}

func TestDialFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := listener.Addr().String()
	noError(t, listener.Close())
	g := newGroup(t, 1)
	for _, addr := range []string{unused, "nowhere", "127.0.0.1:x"} {
		t.Run(addr, func(t *testing.T) {
			if await(t, dialResult(g, addr, testTimeout)) == nil {
				t.Error("the dial succeeded, want an error")
			}
		})
	}
}

// unresponsiveAddr returns the address of a listener with the shortest accept queue, from which nothing is accepted.
func unresponsiveAddr(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	noError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	noError(t, unix.Listen(fd, 0))
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*unix.SockaddrInet4).Port}).String()
}

// A dial to a full accept queue times out. OnOpen is not called for a dial that is aborted.
func TestDialTimesOutOrIsAborted(t *testing.T) {
	g, addr := newGroup(t, 1), unresponsiveAddr(t)
	const dials = 8
	results := make([]<-chan error, dials)
	for i := range results {
		results[i] = dialResult(g, addr, 50*time.Millisecond)
	}
	timedOut := 0
	for _, result := range results {
		if errors.Is(await(t, result), ErrTimeout) {
			timedOut++
		}
	}
	if timedOut == 0 {
		t.Error("no dial timed out, want one at least")
	}
	aborted := g.Dial(addr, time.Hour, &handlerFuncs{
		open: func(*Conn, error) { t.Error("OnOpen was called for an aborted dial") },
	}, nil)
	aborted.Abort(false)
}

// Bytes that are sent before a dialed connection is established are written once it is.
func TestBytesSentWhileDialingAreWritten(t *testing.T) {
	g := newGroup(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c := g.Dial(l.Addr().String(), testTimeout, &handlerFuncs{}, nil)
	c.Post(func() { noError(t, c.Send([]byte("early"))) }) // after the call of connect, before the dial has finished
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	noError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	got := make([]byte, 5)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "early" {
		t.Errorf("the server got %q, %v, want early and no error", got, err)
	}
}
