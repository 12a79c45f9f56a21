package reactor

import (
	"errors"
	"io"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// heldDescriptors is the number of descriptors of the group's connections.
func (g *Group) heldDescriptors() int {
	held, _ := g.DescriptorCounts()
	return held
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: " + condition)
		}
	}
}

// unread is the number of bytes in the kernel's receive queue.
func (c *Conn) unread() int {
	n, _ := unix.IoctlGetInt(c.fd, unix.SIOCINQ)
	return n
}

// pausedListener accepts connections, which are left unread, and passes them to a channel.
func pausedListener(t *testing.T, g *Group, end func(*Conn, error)) (addr string, conns chan *Conn) {
	t.Helper()
	conns = make(chan *Conn, 8)
	return listen(t, g, func() Handler {
		return &handlerFuncs{open: func(c *Conn, _ error) { c.Pause(); conns <- c }, end: end}
	}), conns
}

// Bytes of the peer that were not read, or that arrive once this side has ended, don't reset what was sent before.
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
				waitFor(t, "bytes arrived", func() bool { return conn.unread() > 0 })
			}
			noError(t, conn.Send([]byte("BUSY\r\n")))
			conn.Close()
			if err := conn.Send([]byte("x")); !errors.Is(err, ErrClosed) {
				t.Errorf("Send after Close: %v, want ErrClosed", err)
			}
			if test.afterClose != "" {
				writeString(t, client, test.afterClose)
			}
			time.Sleep(5 * time.Millisecond) // for a reset to arrive, if there is one
			if got, err := io.ReadAll(client); string(got) != "BUSY\r\n" || err != nil {
				t.Errorf("the peer got %q, %v", got, err)
			}
			noError(t, client.Close())
			waitFor(t, "descriptors released", func() bool { return g.heldDescriptors() == 0 })
		})
	}
}

// A peer that never ends its side, or floods a connection that was closed, doesn't keep its descriptor in use.
func TestLingeringIsBounded(t *testing.T) {
	g := newGroup(t, 1)
	addr, conns := pausedListener(t, g, func(*Conn, error) { t.Error("OnEnd was called for a connection that this side has ended") })
	dial(t, addr)
	in := await(t, conns)
	begun := time.Now()
	in.Close()
	waitFor(t, "descriptors released", func() bool { return g.heldDescriptors() == 0 })
	if d := time.Since(begun); d < lingerTimeout {
		t.Errorf("it lingered for %v", d)
	}
	c := dial(t, addr)
	in = await(t, conns)
	in.Close()
	begun = time.Now()
	for _, err := c.Write(make([]byte, lingerBytes/4)); err == nil; {
		_, err = c.Write(make([]byte, lingerBytes/4))
	}
	if d := time.Since(begun); d > lingerTimeout {
		t.Errorf("a flood was read for %v", d)
	}
}

// Above the budget the connection that has lingered longest is closed first, and no established one.
func TestLingeringYieldsToTheDescriptorBudget(t *testing.T) {
	g := newGroup(t, 1)
	g.SetDescriptorBudget(3)
	addr, conns := pausedListener(t, g, nil)
	var ins []*Conn
	for range 3 {
		dial(t, addr)
		ins = append(ins, await(t, conns))
	}
	ins[1].Close()
	ins[2].Close()
	dial(t, addr)
	await(t, conns)
	waitFor(t, "descriptors released", func() bool { return g.heldDescriptors() == 3 })
	if ins[0].Closed() || ins[1].isLeaving() || !ins[2].isLeaving() {
		t.Errorf("established %v, first lingers %v, second lingers %v", !ins[0].Closed(), ins[1].isLeaving(), ins[2].isLeaving())
	}
}

// Quiesce waits for what was posted and for connections that are closing, within its timeout.
func TestQuiesce(t *testing.T) {
	g := newGroup(t, 2)
	addr, conns := pausedListener(t, g, nil)
	c := dial(t, addr)
	in := await(t, conns)
	in.Do(func() {
		noError(t, in.Send([]byte("MOVE\r\n")))
		in.Close()
	})
	readErr := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(c)
		readErr <- errors.Join(err, c.Close())
	}()
	g.Quiesce(testTimeout)
	if !in.Closed() || in.isLeaving() {
		t.Error("Quiesce returned before the connection was closed")
	}
	noError(t, await(t, readErr))
	dial(t, addr)
	await(t, conns).Close()
	begun := time.Now()
	g.Quiesce(20 * time.Millisecond)
	if d := time.Since(begun); d < 20*time.Millisecond || d >= lingerTimeout {
		t.Errorf("waited %v", d)
	}
}

// A late hangup event of a closed connection, whose descriptor is another connection's by then, does not affect the other:
// it is still read.
func TestLateHangupDoesNotAffectAnotherConnection(t *testing.T) {
	g := newGroup(t, 1)
	heard := make(chan string, 1)
	first := true
	conns := make(chan *Conn, 2)
	addr := listen(t, g, func() Handler {
		s := &handlerFuncs{data: func(_ *Conn, b []byte) int { heard <- string(b); return len(b) }}
		s.open = func(c *Conn, _ error) {
			if first {
				c.Pause()
			}
			first = false
			conns <- c
		}
		return s
	})
	dial(t, addr)
	old := await(t, conns)
	old.Abort(false)
	c := dial(t, addr)
	next := await(t, conns)
	old.fd = next.fd // as if the kernel had given it anew, as it does with the lowest that is free
	done := make(chan bool)
	next.Do(func() { old.ready(unix.EPOLLRDHUP); close(done) }) // as the loop does with what it took from the kernel before
	await(t, done)
	writeString(t, c, "heard")
	if s := await(t, heard); s != "heard" {
		t.Errorf("got %q", s)
	}
}
