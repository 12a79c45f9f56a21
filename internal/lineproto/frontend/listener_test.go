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

// testTimeout limits each wait of a test.
const testTimeout = 20 * time.Second

// unresponsiveEngine records events and does nothing else, like an engine that has ended or is overloaded.
type unresponsiveEngine struct {
	mu     sync.Mutex
	events []engine.Event
}

func (e *unresponsiveEngine) Post(ev engine.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, ev)
}

func (e *unresponsiveEngine) Ready() bool { return true }

// accepted returns the events that announce connections.
func (e *unresponsiveEngine) accepted() (all []engine.ClientConnected) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ev := range e.events {
		if connected, ok := ev.(engine.ClientConnected); ok {
			all = append(all, connected)
		}
	}
	return all
}

// waitAccepted waits until condition returns true for the number of accepted connections.
func (e *unresponsiveEngine) waitAccepted(t *testing.T, condition func(n int) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(len(e.accepted())); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections were accepted within the timeout, which is not the expected number", len(e.accepted()))
		}
	}
}

func newGroup(t *testing.T) *reactor.Group {
	t.Helper()
	group, err := reactor.New(2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	return group
}

// dialClients opens n connections to an address.
func dialClients(t *testing.T, addr string, n int) []net.Conn {
	t.Helper()
	clients := make([]net.Conn, n)
	for i := range clients {
		client, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		if err := client.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		clients[i] = client
	}
	return clients
}

// expectReply checks that a client reads exactly want before the end of its connection.
func expectReply(t *testing.T, client net.Conn, want string) {
	t.Helper()
	if got, err := io.ReadAll(client); string(got) != want || err != nil {
		t.Errorf("client %v got %q, %v, want %q", client.LocalAddr(), got, err, want)
	}
}

func writeLine(t *testing.T, conn net.Conn, line string) {
	t.Helper()
	if _, err := io.WriteString(conn, line); err != nil {
		t.Fatal(err)
	}
}

// Guards against unbounded accepting while the engine is overloaded: a limited number of connections that the engine has
// not seen is accepted, and the others wait in the kernel's accept queue until it catches up. When the engine ends, each
// client that it has not answered is rejected, whether or not it was accepted or its opening line was read.
func TestUnseenConnectionsAreBoundedAndRejectedAtShutdown(t *testing.T) {
	group, unresponsive := newGroup(t), &unresponsiveEngine{}
	listener, err := Listen("127.0.0.1:0", unresponsive, group)
	if err != nil {
		t.Fatal(err)
	}
	clients := dialClients(t, listener.Addr(), 3*maxUnseen)
	for i := 0; i < len(clients); i += 2 {
		writeLine(t, clients[i], "OPEN 01 0a c=c,d=60000\r\n")
	}
	unresponsive.waitAccepted(t, func(n int) bool { return n == maxUnseen })
	group.Quiesce(testTimeout) // the loops have handled all pending events
	if n := len(unresponsive.accepted()); n != maxUnseen {
		t.Errorf("%d connections were accepted and not seen by the engine, want %d", n, maxUnseen)
	}
	for _, connected := range unresponsive.accepted() {
		connected.Done()
	}
	// Accepting continues once half of the connections are done, so the listener may be full again when the last is done.
	unresponsive.waitAccepted(t, func(n int) bool { return n >= maxUnseen+maxUnseen/2 })
	group.Quiesce(testTimeout)
	if n := len(unresponsive.accepted()); n > 2*maxUnseen {
		t.Errorf("%d connections were accepted while the engine has seen %d, want at most twice as many", n, maxUnseen)
	}
	listener.Shutdown()
	for _, client := range clients {
		expectReply(t, client, "BUSY\r\n")
	}
}

// duplicate returns a non-blocking descriptor of a listener's socket, as another process would inherit it.
func duplicate(t *testing.T, listener *net.TCPListener) int {
	t.Helper()
	file, err := listener.File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	fd, err := unix.FcntlInt(file.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		t.Fatal(err)
	}
	return fd
}

// serveQueued accepts n connections, writes a line to each and closes it.
func serveQueued(t *testing.T, listener *net.TCPListener, n int, line string) {
	t.Helper()
	if err := listener.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	for range n {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal("the other process got no queued connection: ", err)
		}
		writeLine(t, conn, line)
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a process that takes clients from the other during a hot restart: a process that shuts down while another
// accepts from the same socket rejects the clients that it has accepted, and leaves the accept queue to the other.
func TestShutdownLeavesASharedQueueToTheOtherProcess(t *testing.T) {
	group, unresponsive := newGroup(t), &unresponsiveEngine{}
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Close() })
	fd := duplicate(t, other.(*net.TCPListener))
	listener, err := ListenFD(fd, other.Addr().String(), unresponsive, group)
	if err != nil {
		t.Fatal(err)
	}
	const queued = 8
	clients := dialClients(t, listener.Addr(), maxUnseen+queued)
	unresponsive.waitAccepted(t, func(n int) bool { return n == maxUnseen })
	group.Quiesce(testTimeout)
	listener.Shutdown()
	serveQueued(t, other.(*net.TCPListener), queued, "served\r\n")
	for i, client := range clients {
		want := "BUSY\r\n"
		if i >= maxUnseen {
			want = "served\r\n"
		}
		expectReply(t, client, want)
	}
}
