package frontend

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/reactor"
)

const patience = 20 * time.Second

// deaf is an engine that takes events and does nothing, as one that has ended or is far behind.
type deaf struct {
	mu   sync.Mutex
	came []engine.Event
}

func (d *deaf) Post(ev engine.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.came = append(d.came, ev)
}
func (d *deaf) Ready() bool { return true }

// accepted are the events that bring connections.
func (d *deaf) accepted() (all []engine.ClientConnected) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ev := range d.came {
		if a, ok := ev.(engine.ClientConnected); ok {
			all = append(all, a)
		}
	}
	return all
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never " + what)
		}
	}
}

// An engine that is behind has a bounded number of connections accepted that it has not seen; the others wait in the
// kernel's queue, and are accepted as it catches up. What it has not answered when it ends is answered, accepted or not,
// with a line that has been read or without.
func TestWhatTheEngineHasNotSeen(t *testing.T) {
	g, err := reactor.New(2)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	e := &deaf{}
	f, err := Listen("127.0.0.1:0", e, g)
	if err != nil {
		t.Fatal(err)
	}
	var clients []net.Conn
	for i := range 3 * maxUnseen {
		c, err := net.Dial("tcp", f.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		if i%2 == 0 {
			io.WriteString(c, "OPEN 01 0a c=c,d=60000\r\n")
		}
		clients = append(clients, c)
	}
	until(t, "accepted", func() bool { return len(e.accepted()) == maxUnseen })
	g.Quiesce(patience) // the loops have seen all that there is to see
	if n := len(e.accepted()); n != maxUnseen {
		t.Errorf("%d are accepted and unseen", n)
	}
	for _, a := range e.accepted() {
		a.Done()
	}
	// Accepting goes on once half are done, so that the last of them may find it full again.
	until(t, "accepted", func() bool { return len(e.accepted()) >= maxUnseen+maxUnseen/2 })
	g.Quiesce(patience)
	if n := len(e.accepted()); n > 2*maxUnseen {
		t.Errorf("%d are accepted, %d of them seen", n, maxUnseen)
	}
	f.Shutdown()
	for i, c := range clients {
		if got, err := io.ReadAll(c); string(got) != "BUSY\r\n" || err != nil {
			t.Errorf("client %d got %q, %v", i, got, err)
		}
	}
}

// A process that ends while another serves on the same socket answers whom it has accepted, and leaves the queue to the other.
func TestASharedSocketsQueueIsTheOthers(t *testing.T) {
	g, err := reactor.New(2)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	fd, err := unix.FcntlInt(raw.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	unix.SetNonblock(fd, true)
	e := &deaf{}
	f, err := ListenFD(fd, l.Addr().String(), e, g)
	if err != nil {
		t.Fatal(err)
	}
	const queued = 8
	var clients []net.Conn
	for range maxUnseen + queued {
		c, err := net.Dial("tcp", f.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		clients = append(clients, c)
	}
	until(t, "accepted", func() bool { return len(e.accepted()) == maxUnseen })
	g.Quiesce(patience)
	f.Shutdown()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	for range queued {
		c, err := l.Accept()
		if err != nil {
			t.Fatal("taken from the other: ", err)
		}
		io.WriteString(c, "served\r\n")
		c.Close()
	}
	for i, c := range clients {
		want := "BUSY\r\n"
		if i >= maxUnseen {
			want = "served\r\n"
		}
		if got, err := io.ReadAll(c); string(got) != want || err != nil {
			t.Errorf("client %d got %q, %v, want %q", i, got, err, want)
		}
	}
}
