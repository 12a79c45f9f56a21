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

// testTimeout is how long a test waits for what must come. Nothing that passes waits for so long.
const testTimeout = 20 * time.Second

// scriptedServer is a scripted server: each connection is handed to the test.
type scriptedServer struct {
	t     *testing.T
	l     net.Listener
	conns chan *testConn
}

// testConn is one end of a connection.
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

// trySend sends to a peer that may have closed the connection.
func (e *testConn) trySend(s string) { _, _ = io.WriteString(e.c, s) }

// close may be called again.
func (e *testConn) close() {
	e.t.Helper()
	if err := e.c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		e.t.Error(err)
	}
}

// closeWrite ends the sending. The peer may have closed the connection.
func (e *testConn) closeWrite() { _ = e.c.(*net.TCPConn).CloseWrite() }

// reset ends a connection as a process that dies does.
func (e *testConn) reset() {
	e.t.Helper()
	if err := e.c.(*net.TCPConn).SetLinger(0); err != nil {
		e.t.Error(err)
	}
	e.close()
}

func (e *testConn) line() string {
	e.t.Helper()
	s, err := e.r.ReadString('\n')
	if err != nil {
		e.t.Fatalf("%q, then %v", s, err)
	}
	return s
}

func (e *testConn) expect(want string) {
	e.t.Helper()
	if got := e.line(); got != want {
		e.t.Fatalf("got %q, want %q", got, want)
	}
}

// closeError reads up to the end of the connection and returns how it ended.
func (e *testConn) closeError() error {
	e.t.Helper()
	b, err := io.ReadAll(e.r)
	if len(b) > 0 {
		e.t.Errorf("%q came before the end", b)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		e.t.Error("it never ended")
	}
	return err
}

// expectClosed reads up to the end of the connection, which may be a reset.
func (e *testConn) expectClosed() {
	e.t.Helper()
	_ = e.closeError()
}

// expectFinal reads a final answer and the end behind it, which is in order.
func (e *testConn) expectFinal(want string) {
	e.t.Helper()
	if got := e.line(); !strings.HasPrefix(got, want) {
		e.t.Errorf("answered %q, want %s", got, want)
	}
	if err := e.closeError(); err != nil {
		e.t.Errorf("%s ended with %v", want, err)
	}
}

// closeAll closes what a test has opened.
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
		p.t.Fatal("no connection came")
		return nil
	}
}
