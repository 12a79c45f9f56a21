// Package reactor moves bytes on TCP connections: a few loops wait for all of them, hand what came to handlers where it
// stands, and write without a copy what the kernel takes at once. It knows no protocol.
//
// A loop waits in a system call of its own, which holds one of the runtime's processors until the runtime's monitor takes
// it back, up to 10 ms later: the program wants one processor more for each loop. Waiting in the runtime's
// poller for the loop's epoll descriptor would want none, but not every platform tells that a descriptor within another
// is ready: on one where only sockets, pipes and eventfds are told of, no client was ever seen. A connection can be left
// unread, so that a peer's flood has a bound.
package reactor

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Handler takes what happens on a connection. Its methods are called by the connection's loop, one at a time, and may
// not wait.
type Handler interface {
	// OnOpen says that a dialed connection stands, or with an error that it never will. For an accepted one it is
	// called first, with nil.
	OnOpen(c *Conn, err error)
	// OnData shows the bytes that have come and were not taken yet, and returns how many it takes. The rest is shown
	// again, with more behind it. The bytes are valid during the call alone.
	OnData(c *Conn, b []byte) int
	// OnEnd says that the peer ended the connection, or that it is broken or stalled (ErrStalled). It is not called
	// after an end of this side's making.
	OnEnd(c *Conn, err error)
}

// HangupHandler is a Handler that wants to know when the peer of a paused connection has ended its side: what it sent before is
// still to be read. It is told once.
type HangupHandler interface{ OnHangup(c *Conn) }

// Errors that OnEnd and OnOpen bring besides the system's own.
var (
	ErrStalled = errors.New("reactor: peer does not read")
	ErrTimeout = errors.New("reactor: no connection in time")
	ErrClosed  = errors.New("reactor: connection is closed")
	errEnded   = errors.New("reactor: group is closed")
)

const (
	eventsAtOnce    = 256
	readSize        = 64 << 10
	maxAccepts      = 64 // at one event, so that a flood of connections does not hold up the rest
	acceptPause     = 10 * time.Millisecond
	quiesceInterval = 2 * time.Millisecond
)

// Group is a set of loops that share the connections.
type Group struct {
	loops []*loop
	next  atomic.Uint32
	wg    sync.WaitGroup

	mu        sync.Mutex
	held      int       // connections with a descriptor
	budget    int       // of these, over which none lingers; 0: no bound
	lingering list.List // of *Conn: the ones that linger, the longest first
}

type loop struct {
	group *Group
	epoll int
	buf   []byte

	mu    sync.Mutex
	slots []entry
	free  []int32
	ended bool
	calls []func() // to be run by the loop
	wake  int      // an eventfd
	woken bool
}

// Loop is what carries a connection: whatever is called by one loop is called one at a time.
type Loop = loop

// Post has the loop call f soon, unless the group is closed.
func (l *loop) Post(f func()) { l.post(f) }

// entry is a numbered slot of an epoll set. Its generation tells a late event for a descriptor that is closed.
type entry struct {
	source source
	gen    int32
}

type source interface{ ready(events uint32) }

// New starts n loops.
func New(n int) (*Group, error) {
	g := &Group{}
	for range max(n, 1) {
		l, err := newLoop(g)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.loops = append(g.loops, l)
		g.wg.Go(l.run)
	}
	return g, nil
}

func newLoop(g *Group) (*loop, error) {
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(ep)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &loop{group: g, epoll: ep, wake: wake, buf: make([]byte, readSize)}
	if _, _, err := l.add(wake, l, unix.EPOLLIN); err != nil {
		unix.Close(ep)
		unix.Close(wake)
		return nil, err
	}
	return l, nil
}

// Close ends the loops and every connection, without a word to handlers.
func (g *Group) Close() {
	for _, l := range g.loops {
		l.mu.Lock()
		l.ended = true
		l.mu.Unlock()
		for _, s := range l.sources() {
			switch s := s.(type) {
			case *Conn:
				s.Abort(false)
			case *Listener:
				s.Close()
			}
		}
		l.rouse()
	}
	g.wg.Wait()
	for _, l := range g.loops {
		unix.Close(l.wake)
		unix.Close(l.epoll)
	}
}

// SetDescriptorBudget sets how many descriptors connections may hold before those that linger are closed for new ones.
func (g *Group) SetDescriptorBudget(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget = n
}

// hold counts n more descriptors, and closes what has lingered for longest where there are too many.
func (g *Group) hold(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held += n
	for over := g.held - g.budget; g.budget > 0 && over > 0; over-- {
		c, ok := g.popLingering()
		if !ok {
			return
		}
		c.loop.post(func() { c.Abort(false) }) // whoever is held for now may be its caller
	}
}

func (g *Group) popLingering() (*Conn, bool) {
	e := g.lingering.Front()
	if e == nil {
		return nil, false
	}
	return g.lingering.Remove(e).(*Conn), true
}

// linger notes a connection that lingers.
func (g *Group) linger(c *Conn) {
	g.mu.Lock()
	c.place = g.lingering.PushBack(c)
	g.mu.Unlock()
	g.hold(0)
}

// release forgets a connection whose descriptor is closed.
func (g *Group) release(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held--
	if c.place != nil {
		g.lingering.Remove(c.place) // nothing where it was taken out before
	}
}

// Quiesce waits until what was asked of the loops is done, and until no connection lingers or still has bytes to write
// before it closes; so long at the most.
func (g *Group) Quiesce(within time.Duration) {
	end := time.Now().Add(within)
	for time.Now().Before(end) && !g.settled() {
		time.Sleep(quiesceInterval)
	}
}

// Each has every connection's loop show its handler to f soon, once its OnOpen has been called.
func (g *Group) Each(f func(Handler)) {
	for _, l := range g.loops {
		l.post(func() {
			for _, s := range l.sources() {
				if c, ok := s.(*Conn); ok {
					f(c.handler)
				}
			}
		})
	}
}

// settled looks behind all that was posted before.
func (g *Group) settled() bool {
	for _, l := range g.loops {
		done := make(chan bool, 1)
		l.post(func() { done <- true })
		select {
		case <-done:
		case <-time.After(lingerTimeout): // a handler holds it up
			return false
		}
		for _, s := range l.sources() {
			if c, ok := s.(*Conn); ok && c.leaving() {
				return false
			}
		}
	}
	return true
}

func (g *Group) pick() *loop { return g.loops[int(g.next.Add(1))%len(g.loops)] }

// run waits for events and handles them until the group is closed.
func (l *loop) run() {
	events := make([]unix.EpollEvent, eventsAtOnce)
	for {
		n := look(l.epoll, events)
		if n == 0 {
			n = wait(l.epoll, events)
		}
		for i := range events[:n] {
			l.dispatch(&events[i])
		}
		runtime.Gosched() // others may have become ready, and this may be the only processor
		l.mu.Lock()
		ended := l.ended
		l.mu.Unlock()
		if ended {
			return
		}
	}
}

// look takes what is ready without waiting, so that the runtime need not be told of the call.
func look(epoll int, events []unix.EpollEvent) int {
	return ready(syscall.RawSyscall6(unix.SYS_EPOLL_PWAIT, uintptr(epoll), uintptr(unsafe.Pointer(&events[0])), uintptr(len(events)), 0, 0, 0))
}

// wait waits until something is ready.
func wait(epoll int, events []unix.EpollEvent) int {
	const forever = ^uintptr(0)
	return ready(syscall.Syscall6(unix.SYS_EPOLL_PWAIT, uintptr(epoll), uintptr(unsafe.Pointer(&events[0])), uintptr(len(events)), forever, 0, 0))
}

func ready(n, _ uintptr, e syscall.Errno) int {
	if e != 0 {
		return 0
	}
	return int(n)
}

func (l *loop) dispatch(ev *unix.EpollEvent) {
	l.mu.Lock()
	var s source
	if at := int(ev.Fd); at < len(l.slots) && l.slots[at].gen == ev.Pad {
		s = l.slots[at].source
	}
	l.mu.Unlock()
	if s != nil {
		s.ready(ev.Events)
	}
}

// add gives a descriptor a slot and watches it.
func (l *loop) add(fd int, s source, events uint32) (slot, gen int32, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return 0, 0, errEnded
	}
	if n := len(l.free); n > 0 {
		slot, l.free = l.free[n-1], l.free[:n-1]
	} else {
		slot = int32(len(l.slots))
		l.slots = append(l.slots, entry{})
	}
	e := &l.slots[slot]
	e.source = s
	gen = e.gen
	if err := unix.EpollCtl(l.epoll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: slot, Pad: gen}); err != nil {
		e.source = nil
		l.free = append(l.free, slot)
		return 0, 0, fmt.Errorf("epoll: %w", err)
	}
	return slot, gen, nil
}

func (l *loop) remove(slot int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &l.slots[slot]
	e.source = nil
	e.gen++
	l.free = append(l.free, slot)
}

// sources are what the loop waits for besides calls.
func (l *loop) sources() (all []source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.slots {
		if e.source != nil && e.source != source(l) {
			all = append(all, e.source)
		}
	}
	return all
}

// post has the loop call f soon.
func (l *loop) post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.calls = append(l.calls, f)
	if !l.woken {
		l.woken = true
		l.rouse()
	}
}

// rouse ends the loop's wait.
func (l *loop) rouse() { unix.Write(l.wake, []byte{1, 0, 0, 0, 0, 0, 0, 0}) }

// ready runs what was posted.
func (l *loop) ready(uint32) {
	var b [8]byte
	unix.Read(l.wake, b[:])
	l.mu.Lock()
	calls := l.calls
	l.calls, l.woken = nil, false
	l.mu.Unlock()
	for _, f := range calls {
		f()
	}
}

// Listener accepts connections on one address.
type Listener struct {
	group  *Group
	loop   *loop
	fd     int
	addr   string
	accept func(done func()) Handler
	most   int // connections that may be accepted and not done; 0: no bound

	mu     sync.Mutex
	slot   int32
	gen    int32
	undone int
	full   bool // nothing is accepted until some are done
	closed bool
}

// Listen opens an address. Each connection that comes is given a handler by accept. With most above 0, so many are accepted
// at the most before done is called for one of them; the others wait in the kernel's queue.
func (g *Group) Listen(addr string, most int, accept func(done func()) Handler) (*Listener, error) {
	nl, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer nl.Close()
	f, err := nl.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	fd, err := unix.FcntlInt(f.Fd(), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	unix.SetNonblock(fd, true) // Fd has made it wait
	l, err := g.ListenFD(fd, nl.Addr().String(), most, accept)
	if err != nil {
		unix.Close(fd)
	}
	return l, err
}

// ListenFD has a listening socket that does not wait, and that other processes may accept from too: a wakeup whose connection
// another took brings nothing. The listener closes this descriptor alone.
func (g *Group) ListenFD(fd int, addr string, most int, accept func(done func()) Handler) (*Listener, error) {
	l := &Listener{group: g, loop: g.loops[0], fd: fd, addr: addr, accept: accept, most: most}
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	if l.slot, l.gen, err = l.loop.add(fd, l, unix.EPOLLIN); err != nil {
		return nil, err
	}
	return l, nil
}

// Addr is the address that is listened on.
func (l *Listener) Addr() string { return l.addr }

// Close ends the accepting; connections stay.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.loop.remove(l.slot)
		unix.Close(l.fd)
	}
}

func (l *Listener) ready(uint32) {
	for range maxAccepts {
		l.mu.Lock()
		if l.closed || l.full {
			l.mu.Unlock()
			return
		}
		c, err := l.take()
		switch err {
		case nil:
			l.undone++
			if l.full = l.most > 0 && l.undone >= l.most; l.full {
				l.watch(0)
			}
		case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
			l.rest()
		}
		l.mu.Unlock()
		switch {
		case err == unix.ECONNABORTED || err == unix.EINTR:
		case err != nil:
			return
		case c.loop == l.loop:
			c.begin()
		default:
			c.loop.post(c.begin)
		}
	}
}

// take accepts one connection.
func (l *Listener) take() (*Conn, error) {
	fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return &Conn{loop: l.group.pick(), fd: fd, handler: l.accept(l.done), state: standing, want: unix.EPOLLIN | unix.EPOLLRDHUP}, nil
}

// done says that one more of the accepted connections is dealt with.
func (l *Listener) done() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.undone--
	if l.full && l.undone <= l.most/2 && !l.closed {
		l.full = false
		l.watch(unix.EPOLLIN)
	}
}

// Drain takes all that waits in the kernel's queue, then ends the accepting.
func (l *Listener) Drain() {
	l.mu.Lock()
	for !l.closed {
		c, err := l.take()
		if err == unix.ECONNABORTED || err == unix.EINTR {
			continue
		}
		if err != nil {
			break
		}
		c.loop.post(c.begin)
	}
	l.mu.Unlock()
	l.Close()
}

func (l *Listener) watch(events uint32) {
	unix.EpollCtl(l.loop.epoll, unix.EPOLL_CTL_MOD, l.fd, &unix.EpollEvent{Events: events, Fd: l.slot, Pad: l.gen})
}

// rest stops the accepting for a moment: while no descriptor is free every look would fail at once.
func (l *Listener) rest() {
	l.watch(0)
	time.AfterFunc(acceptPause, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.closed && !l.full {
			l.watch(unix.EPOLLIN)
		}
	})
}
