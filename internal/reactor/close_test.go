package reactor

import (
	"errors"
	"io"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// heldDescriptors returns the number of descriptors counted for the group.
func (g *Group) heldDescriptors() int {
	held, _ := g.DescriptorCounts()
	return held
}

// waitFor waits until holds returns true. condition describes what it checks.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition does not hold after the timeout: " + condition)
		}
	}
}

// unread returns the number of bytes in the kernel's receive queue.
func (c *Conn) unread() int {
	n, _ := unix.IoctlGetInt(c.fd, unix.SIOCINQ)
	return n
}

// pausedListener accepts connections, pauses them and sends them to conns. end is called for OnEnd and may be nil.
func pausedListener(t *testing.T, g *Group, end func(*Conn, error)) (addr string, conns chan *Conn) {
	t.Helper()
	conns = make(chan *Conn, 8)
	return listen(t, g, func() Handler {
		return &handlerFuncs{open: func(c *Conn, _ error) { c.Pause(); conns <- c }, end: end}
	}), conns
}

// Guards against a reset that loses what was sent: closing a descriptor while bytes of the peer are unread, or arrive
// later, resets the connection, and the peer can't read the last line any more.
func TestCloseWithUnreadBytesKeepsWhatWasSent(t *testing.T) {
	g := newGroup(t, 1)
	addr, conns := pausedListener(t, g, nil)
	for _, test := range []struct {
		name                    string
		beforeClose, afterClose string // sent by the peer
	}{
		{"unread before", "OPEN half a line", ""},
		{"arriving after", "", "OPEN a whole line\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := dial(t, addr)
			conn := await(t, conns)
			if test.beforeClose != "" {
				writeString(t, client, test.beforeClose)
				waitFor(t, "the bytes have arrived", func() bool { return conn.unread() > 0 })
			}
			noError(t, conn.Send([]byte("BUSY\r\n")))
			conn.Close()
			if err := conn.Send([]byte("x")); !errors.Is(err, ErrClosed) {
				t.Errorf("Send after Close: %v, want ErrClosed", err)
			}
			if test.afterClose != "" {
				writeString(t, client, test.afterClose)
			}
			time.Sleep(5 * time.Millisecond) // a reset would arrive within this time
			if got, err := io.ReadAll(client); string(got) != "BUSY\r\n" || err != nil {
				t.Errorf("the peer got %q, %v, want BUSY and no error", got, err)
			}
			noError(t, client.Close())
			waitFor(t, "the descriptors are released", func() bool { return g.heldDescriptors() == 0 })
		})
	}
}

// Guards against closed connections that keep their descriptors: lingering ends after lingerTimeout if the peer does not
// end its side, and after lingerBytes if the peer keeps sending.
func TestLingeringIsBounded(t *testing.T) {
	g := newGroup(t, 1)
	addr, conns := pausedListener(t, g, func(*Conn, error) {
		t.Error("OnEnd was called for a connection that this side has closed")
	})
	dial(t, addr)
	conn := await(t, conns)
	begun := time.Now()
	conn.Close()
	waitFor(t, "the descriptors are released", func() bool { return g.heldDescriptors() == 0 })
	if d := time.Since(begun); d < lingerTimeout {
		t.Errorf("lingered for %v, want lingerTimeout at least", d)
	}
	client := dial(t, addr)
	conn = await(t, conns)
	conn.Close()
	begun = time.Now()
	for _, err := client.Write(make([]byte, lingerBytes/4)); err == nil; {
		_, err = client.Write(make([]byte, lingerBytes/4))
	}
	if d := time.Since(begun); d > lingerTimeout {
		t.Errorf("a peer that keeps sending was read for %v, want lingerTimeout at most", d)
	}
}

// At the descriptor budget, the connection that has lingered longest is closed for a new one, and no established connection
// is.
func TestLongestLingeringConnectionIsClosedFirst(t *testing.T) {
	g := newGroup(t, 1)
	g.SetDescriptorBudget(3)
	addr, conns := pausedListener(t, g, nil)
	var accepted []*Conn
	for range 3 {
		dial(t, addr)
		accepted = append(accepted, await(t, conns))
	}
	accepted[1].Close()
	accepted[2].Close()
	dial(t, addr)
	await(t, conns)
	waitFor(t, "the descriptors are released", func() bool { return g.heldDescriptors() == 3 })
	if accepted[0].Closed() || accepted[1].isClosing() || !accepted[2].isClosing() {
		t.Errorf("established %v, first lingers %v, second lingers %v; want true, false, true",
			!accepted[0].Closed(), accepted[1].isClosing(), accepted[2].isClosing())
	}
}

// Quiesce waits for posted calls and for connections that are being closed, but not longer than its timeout.
func TestQuiesce(t *testing.T) {
	g := newGroup(t, 2)
	addr, conns := pausedListener(t, g, nil)
	client := dial(t, addr)
	conn := await(t, conns)
	conn.Post(func() {
		noError(t, conn.Send([]byte("MOVE\r\n")))
		conn.Close()
	})
	readErr := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(client)
		readErr <- errors.Join(err, client.Close())
	}()
	g.Quiesce(testTimeout)
	if !conn.Closed() || conn.isClosing() {
		t.Error("Quiesce returned before the connection was closed")
	}
	noError(t, await(t, readErr))
	dial(t, addr)
	await(t, conns).Close()
	begun := time.Now()
	g.Quiesce(20 * time.Millisecond)
	if d := time.Since(begun); d < 20*time.Millisecond || d >= lingerTimeout {
		t.Errorf("Quiesce waited %v, want about 20ms", d)
	}
}

// Guards against a late hangup event of a closed connection that is applied to another connection with the same descriptor
// number: the other connection must still be read.
func TestLateHangupDoesNotAffectAnotherConnection(t *testing.T) {
	g := newGroup(t, 1)
	received := make(chan string, 1)
	first := true
	conns := make(chan *Conn, 2)
	addr := listen(t, g, func() Handler {
		handler := &handlerFuncs{data: func(_ *Conn, b []byte) int { received <- string(b); return len(b) }}
		handler.open = func(c *Conn, _ error) {
			if first {
				c.Pause()
			}
			first = false
			conns <- c
		}
		return handler
	})
	dial(t, addr)
	old := await(t, conns)
	old.Abort(false)
	client := dial(t, addr)
	next := await(t, conns)
	old.fd = next.fd // as if the kernel had reused the number, as it does with the lowest free one
	done := make(chan bool)
	// As the loop does with an event that it took from the kernel before the Abort.
	next.Post(func() { old.handleEvents(unix.EPOLLRDHUP); close(done) })
	await(t, done)
	writeString(t, client, "data")
	if got := await(t, received); got != "data" {
		t.Errorf("the other connection got %q, want data", got)
	}
}
