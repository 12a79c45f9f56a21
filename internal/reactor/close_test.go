package reactor

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// held is how many descriptors the group's connections have.
func (g *Group) heldNow() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never " + what)
		}
	}
}

// unread is how many bytes of the peer's the kernel holds.
func (c *Conn) unread() int {
	n, _ := unix.IoctlGetInt(c.fd, unix.SIOCINQ)
	return n
}

// accepted are the connections that a listener of the group's takes. They are left unread.
func accepted(t *testing.T, g *Group, end func(*Conn, error)) (addr string, conns chan *Conn) {
	conns = make(chan *Conn, 8)
	return listen(t, g, func() Handler {
		return &script{open: func(c *Conn, _ error) { c.Pause(); conns <- c }, end: end}
	}), conns
}

// Bytes of the peer's that nobody has read, or that come once this side has ended, don't reset what was sent before.
func TestCloseOverUnreadBytesKeepsWhatWasSent(t *testing.T) {
	g := group(t, 1)
	addr, conns := accepted(t, g, nil)
	for _, late := range []bool{false, true} {
		c := dial(t, addr)
		in := await(t, conns)
		if !late {
			io.WriteString(c, "OPEN half a line")
			until(t, "there", func() bool { return in.unread() > 0 })
		}
		in.Send([]byte("BUSY\r\n"))
		in.Close()
		if err := in.Send([]byte("x")); err != ErrClosed {
			t.Errorf("sent behind the end: %v", err)
		}
		if late {
			io.WriteString(c, "OPEN a whole line\r\n")
		}
		time.Sleep(5 * time.Millisecond) // for a reset to come, if one does
		if got, err := io.ReadAll(c); string(got) != "BUSY\r\n" || err != nil {
			t.Errorf("late %v: got %q, %v", late, got, err)
		}
		c.Close()
		until(t, "released", func() bool { return g.heldNow() == 0 })
	}
}

// A peer that never ends its side, or floods the connection that was closed, keeps no descriptor.
func TestLingeringHasAnEnd(t *testing.T) {
	g := group(t, 1)
	addr, conns := accepted(t, g, func(*Conn, error) { t.Error("told of the end of a connection that this side has ended") })
	dial(t, addr)
	in := await(t, conns)
	begun := time.Now()
	in.Close()
	until(t, "released", func() bool { return g.heldNow() == 0 })
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

// Over the budget what has lingered for longest goes first, and nothing that stands.
func TestLingeringMakesRoom(t *testing.T) {
	g := group(t, 1)
	g.SetDescriptorBudget(3)
	addr, conns := accepted(t, g, nil)
	var ins []*Conn
	for range 3 {
		dial(t, addr)
		ins = append(ins, await(t, conns))
	}
	ins[1].Close()
	ins[2].Close()
	dial(t, addr)
	await(t, conns)
	until(t, "released", func() bool { return g.heldNow() == 3 })
	if ins[0].Closed() || ins[1].leaving() || !ins[2].leaving() {
		t.Errorf("stands %v, first %v, second %v", !ins[0].Closed(), ins[1].leaving(), ins[2].leaving())
	}
}

// Settle waits for what was posted and for connections on their way out, and not without end.
func TestSettle(t *testing.T) {
	g := group(t, 2)
	addr, conns := accepted(t, g, nil)
	c := dial(t, addr)
	in := await(t, conns)
	in.Do(func() {
		in.Send([]byte("MOVE\r\n"))
		in.Close()
	})
	go func() {
		io.ReadAll(c)
		c.Close()
	}()
	g.Quiesce(patience)
	if !in.Closed() || in.leaving() {
		t.Error("it was not waited for")
	}
	dial(t, addr)
	await(t, conns).Close()
	begun := time.Now()
	g.Quiesce(20 * time.Millisecond)
	if d := time.Since(begun); d < 20*time.Millisecond || d >= lingerTimeout {
		t.Errorf("waited %v", d)
	}
}

// A word of a connection's hang-up that comes late, when its descriptor is another connection's, touches nothing: the
// other is still heard.
func TestALateHangupTouchesNobodyElse(t *testing.T) {
	g := group(t, 1)
	heard := make(chan string, 1)
	first := true
	conns := make(chan *Conn, 2)
	addr := listen(t, g, func() Handler {
		s := &script{data: func(_ *Conn, b []byte) int { heard <- string(b); return len(b) }}
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
	io.WriteString(c, "heard")
	if s := await(t, heard); s != "heard" {
		t.Errorf("got %q", s)
	}
}

// What is sent before a dialed connection stands goes out once it does.
func TestWhatIsSentWhileDialingGoesOut(t *testing.T) {
	g := group(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := g.Dial(l.Addr().String(), patience, &script{}, nil)
	c.Do(func() { c.Send([]byte("early")) }) // behind the call to connect, before the word that it stands
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	in.SetDeadline(time.Now().Add(patience))
	got := make([]byte, 5)
	if _, err := io.ReadFull(in, got); err != nil || string(got) != "early" {
		t.Errorf("got %q, %v", got, err)
	}
}
