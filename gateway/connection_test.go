package gateway_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// testTimeout is how long a test waits for an expected event. A test that passes never waits this long.
const testTimeout = 20 * time.Second

// scriptedServer is a server whose connections are handed to the test, which plays the server's part.
type scriptedServer struct {
	t     *testing.T
	l     net.Listener
	conns chan *testConn
}

// testConn is one end of a connection. Its methods fail the test on an unexpected error.
type testConn struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func newTestConn(t *testing.T, c net.Conn) *testConn {
	t.Helper()
	e := &testConn{t, c, bufio.NewReader(c)}
	t.Cleanup(e.close)
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
	}
	return e
}

func (e *testConn) send(s string) {
	e.t.Helper()
	if _, err := io.WriteString(e.c, s); err != nil {
		e.t.Fatal(err)
	}
}

// trySend sends to a peer that may have closed the connection; errors are ignored.
func (e *testConn) trySend(s string) { _, _ = io.WriteString(e.c, s) }

// close closes the connection. It may be called more than once.
func (e *testConn) close() {
	e.t.Helper()
	if err := e.c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		e.t.Error(err)
	}
}

// closeWrite closes the sending direction. The peer may have closed the connection already.
func (e *testConn) closeWrite() { _ = e.c.(*net.TCPConn).CloseWrite() }

// reset closes the connection with a TCP reset, as the death of a process does.
func (e *testConn) reset() {
	e.t.Helper()
	if err := e.c.(*net.TCPConn).SetLinger(0); err != nil {
		e.t.Error(err)
	}
	e.close()
}

func (e *testConn) readLine() string {
	e.t.Helper()
	s, err := e.r.ReadString('\n')
	if err != nil {
		e.t.Fatalf("read %q, then %v, want a line", s, err)
	}
	return s
}

func (e *testConn) expectLine(want string) {
	e.t.Helper()
	if got := e.readLine(); got != want {
		e.t.Fatalf("got %q, want %q", got, want)
	}
}

// awaitClose reads until the peer closes the connection, and returns the read error; nil is an orderly close. It reports an
// error if anything is received or if the connection stays open.
func (e *testConn) awaitClose() error {
	e.t.Helper()
	b, err := io.ReadAll(e.r)
	if len(b) > 0 {
		e.t.Errorf("received %q before the connection closed, want nothing", b)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		e.t.Error("the connection was never closed")
	}
	return err
}

// expectClosed waits until the peer closes the connection, by an orderly close or by a reset.
func (e *testConn) expectClosed() {
	e.t.Helper()
	_ = e.awaitClose()
}

// expectFinalLine reads a line with the prefix want, which must be followed by an orderly close.
func (e *testConn) expectFinalLine(want string) {
	e.t.Helper()
	if got := e.readLine(); !strings.HasPrefix(got, want) {
		e.t.Errorf("got the final line %q, want the prefix %q", got, want)
	}
	if err := e.awaitClose(); err != nil {
		e.t.Errorf("after %s the connection closed with %v, want an orderly close", want, err)
	}
}

// closeAll closes closers and fails the test on an error.
func closeAll(tb testing.TB, closers ...io.Closer) {
	tb.Helper()
	for _, c := range closers {
		if err := c.Close(); err != nil {
			tb.Error(err)
		}
	}
}

func newScriptedServer(t *testing.T) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &scriptedServer{t, l, make(chan *testConn, 16)}
	t.Cleanup(func() { closeAll(t, l) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.conns <- newTestConn(t, c)
		}
	}()
	return p
}

func (p *scriptedServer) accept() *testConn {
	p.t.Helper()
	select {
	case e := <-p.conns:
		return e
	case <-time.After(testTimeout):
		p.t.Fatal("no connection was made to the scripted server")
		return nil
	}
}
