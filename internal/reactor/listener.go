package reactor

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxAccepts  = 64 // at one event, so that a flood of connections doesn't delay the others
	acceptPause = 10 * time.Millisecond

	// drainTimeout bounds the time that Drain takes. The platform ends the program 0.2 s after it has begun at the earliest.
	drainTimeout = 80 * time.Millisecond
)

// Listener accepts connections on one address.
type Listener struct {
	group         *Group
	loop          *Loop
	fd            int
	addr          string
	accept        func(done func()) Handler
	maxUnfinished int // accepted connections for which done was not called; 0: unlimited

	mu         sync.Mutex
	slot       int32
	generation int32
	unfinished int
	full       bool // nothing is accepted until done has been called for half of them
	closed     bool
}

// Listen opens an address. Each connection gets its handler from accept. With maxUnfinished above 0 at most so many are
// accepted before done is called for one of them; the others wait in the kernel's accept queue.
func (g *Group) Listen(addr string, maxUnfinished int, accept func(done func()) Handler) (*Listener, error) {
	fd, localAddr, err := listenSocket(addr)
	if err != nil {
		return nil, err
	}
	l, err := g.ListenFD(fd, localAddr, maxUnfinished, accept)
	if err != nil {
		closeFD(fd)
	}
	return l, err
}

// listenSocket opens a non-blocking listening socket that the runtime's poller doesn't know.
func listenSocket(addr string) (fd int, localAddr string, err error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = listener.Close() }() // a duplicate is returned
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = file.Close() }()
	if fd, err = unix.FcntlInt(file.Fd(), unix.F_DUPFD_CLOEXEC, 0); err != nil {
		return 0, "", err
	}
	if err := unix.SetNonblock(fd, true); err != nil { // Fd has made it blocking
		closeFD(fd)
		return 0, "", err
	}
	return fd, listener.Addr().String(), nil
}

// ListenFD accepts from a non-blocking listening socket. Other processes may accept from it too: an event whose connection
// another process took is ignored. Unless it fails, Listener.Close closes the descriptor, which leaves the socket to the
// others. The other parameters are those of Listen.
func (g *Group) ListenFD(fd int, addr string, maxUnfinished int, accept func(done func()) Handler) (*Listener, error) {
	l := &Listener{
		group: g, loop: g.loops[0], fd: fd, addr: addr, accept: accept, maxUnfinished: maxUnfinished,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	if l.slot, l.generation, err = l.loop.add(fd, l, unix.EPOLLIN); err != nil {
		return nil, err
	}
	return l, nil
}

// Addr is the address that is listened on.
func (l *Listener) Addr() string { return l.addr }

// Close stops accepting. Accepted connections stay open.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.loop.remove(l.slot)
	closeFD(l.fd)
}

// Drain accepts what waits in the kernel's accept queue, whatever the limit of unfinished ones, and then closes the
// listener. Handlers have to close their connections in OnOpen, which makes room in the descriptor budget for the next: what
// does not fit, or is not accepted within drainTimeout, is reset by the kernel. It waits for the listener's loop.
func (l *Listener) Drain() {
	done := make(chan struct{})
	l.loop.Post(func() {
		defer close(done)
		l.acceptQueue(time.Now().Add(drainTimeout))
	})
	select {
	case <-done:
	case <-time.After(drainTimeout): // a handler is running for long
	}
	l.Close()
}

// acceptQueue is called by the listener's loop.
func (l *Listener) acceptQueue(deadline time.Time) {
	for time.Now().Before(deadline) {
		c, err := l.acceptFromQueue()
		switch {
		case err == nil:
			c.begin()
		case !isAborted(err):
			return
		}
	}
}

// acceptFromQueue accepts a connection for the listener's own loop.
func (l *Listener) acceptFromQueue() (*Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, ErrClosed
	}
	return l.acceptOne(l.loop)
}

// ready implements source: it accepts what waits, up to the limits.
func (l *Listener) ready(uint32) {
	for range maxAccepts {
		c, err := l.acceptNext()
		switch {
		case err == nil && c == nil:
			return
		case err == nil && c.loop == l.loop:
			c.begin()
		case err == nil:
			c.loop.Post(c.begin)
		case !isAborted(err):
			return
		}
	}
}

// acceptNext accepts a connection, and stops watching the socket if the limit is reached or the system has no resources. It
// returns nil if the listener is closed or full.
func (l *Listener) acceptNext() (*Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.full {
		return nil, nil
	}
	c, err := l.acceptOne(l.group.pick())
	switch {
	case err == nil:
		l.unfinished++
		if l.maxUnfinished > 0 && l.unfinished >= l.maxUnfinished {
			l.full = true
			l.watch(0)
		}
	case isOutOfResources(err):
		l.pause()
	}
	return c, err
}

// acceptOne accepts a connection for a loop and makes its handler. It fails with errNoDescriptor if the group's budget has
// no room.
func (l *Listener) acceptOne(loop *Loop) (*Conn, error) {
	if !l.group.descriptors.canMakeRoom() {
		return nil, errNoDescriptor
	}
	fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	l.group.descriptors.reserve() // only now, as no connection has to yield where none was waiting
	setNoDelay(fd)
	return &Conn{
		loop: loop, fd: fd, handler: l.accept(l.done), state: established, watched: readEvents,
	}, nil
}

// isAborted reports whether accept failed for one connection alone.
func isAborted(err error) bool {
	return errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.EINTR)
}

// isOutOfResources reports whether accept fails until descriptors or memory are free again.
func isOutOfResources(err error) bool {
	return errors.Is(err, errNoDescriptor) || errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) ||
		errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

// done is called once for each accepted connection, when it counts no more towards the limit.
func (l *Listener) done() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unfinished--
	if l.full && l.unfinished <= l.maxUnfinished/2 && !l.closed {
		l.full = false
		l.watch(unix.EPOLLIN)
	}
}

func (l *Listener) watch(events uint32) { l.loop.modify(l.fd, l.slot, l.generation, events) }

// pause stops accepting for a moment: while no descriptor is free each attempt would fail at once. What waits stays in the
// kernel's accept queue.
func (l *Listener) pause() {
	l.watch(0)
	time.AfterFunc(acceptPause, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.closed && !l.full {
			l.watch(unix.EPOLLIN)
		}
	})
}
