package reactor

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxAccepts  = 64 // connections accepted per event, so that a burst of connections doesn't delay the established ones
	acceptPause = 10 * time.Millisecond

	// drainTimeout limits the time that Drain takes for accepting. The platform kills the program no earlier than 0.2 s
	// after the shutdown has begun.
	drainTimeout = 80 * time.Millisecond
)

// Listener accepts connections on one address and distributes them over the loops of its group.
type Listener struct {
	group         *Group
	loop          *Loop
	fd            int
	addr          string
	accept        func(done func()) Handler
	maxUnfinished int // limit of unfinished; zero means no limit

	mu         sync.Mutex
	slot       int32
	generation int32
	unfinished int  // accepted connections for which done has not been called
	full       bool // accepting is suspended until unfinished has fallen to half of maxUnfinished
	closed     bool
}

// Listen listens on addr and calls accept for the handler of each connection. The caller calls done once for each
// connection. If maxUnfinished is above zero, at most that many connections are accepted for which done has not been
// called; the others wait in the kernel's accept queue. Zero means no limit.
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

// listenSocket opens a non-blocking listening socket that is not registered with the runtime's poller.
func listenSocket(addr string) (fd int, localAddr string, err error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = listener.Close() }() // the returned descriptor is a duplicate
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = file.Close() }()
	if fd, err = unix.FcntlInt(file.Fd(), unix.F_DUPFD_CLOEXEC, 0); err != nil {
		return 0, "", err
	}
	if err := unix.SetNonblock(fd, true); err != nil { // File.Fd has set the socket to blocking mode
		closeFD(fd)
		return 0, "", err
	}
	return fd, listener.Addr().String(), nil
}

// ListenFD accepts connections from a non-blocking listening socket. Other processes may accept from the same socket: an
// event is ignored if another process has accepted its connection. Listener.Close closes the descriptor, but the other
// processes can go on accepting; if ListenFD fails, the descriptor is left open. The other parameters are those of Listen.
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

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() string { return l.addr }

// Close stops accepting and closes the listening descriptor. Accepted connections stay open.
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

// Drain accepts the connections that wait in the kernel's accept queue, regardless of maxUnfinished, and then closes the
// listener. Handlers have to close their connections in OnOpen, which frees descriptors of the budget for the next ones.
// The kernel resets connections that don't fit in the budget or are not accepted within drainTimeout. Drain waits for the
// listener's loop, so a handler must not call it.
func (l *Listener) Drain() {
	done := make(chan struct{})
	l.loop.Post(func() {
		defer close(done)
		l.drainQueue(time.Now().Add(drainTimeout))
	})
	select {
	case <-done:
	case <-time.After(drainTimeout): // a handler has been running for too long
	}
	l.Close()
}

// drainQueue accepts connections until the queue is empty, accepting fails or the deadline has passed. The listener's loop
// calls it.
func (l *Listener) drainQueue(deadline time.Time) {
	for time.Now().Before(deadline) {
		c, err := l.acceptFromQueue()
		switch {
		case err == nil:
			c.start()
		case !isAborted(err):
			return
		}
	}
}

// acceptFromQueue accepts a connection for the listener's own loop. It returns ErrClosed if the listener is closed.
func (l *Listener) acceptFromQueue() (*Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, ErrClosed
	}
	return l.acceptOne(l.loop)
}

// handleEvents implements eventTarget: it accepts waiting connections, up to the limits.
func (l *Listener) handleEvents(uint32) {
	for range maxAccepts {
		c, err := l.acceptNext()
		switch {
		case err == nil && c == nil:
			return
		case err == nil && c.loop == l.loop:
			c.start()
		case err == nil:
			c.loop.Post(c.start)
		case !isAborted(err):
			return
		}
	}
}

// acceptNext accepts a connection. It stops waiting for further ones if maxUnfinished is reached, and pauses if the system
// or the descriptor budget has no resources. It returns nil without an error if the listener is closed or full.
func (l *Listener) acceptNext() (*Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.full {
		return nil, nil
	}
	c, err := l.acceptOne(l.group.pickLoop())
	switch {
	case err == nil:
		l.unfinished++
		if l.maxUnfinished > 0 && l.unfinished >= l.maxUnfinished {
			l.full = true
			l.setInterest(0)
		}
	case isOutOfResources(err):
		l.pauseAccepting()
	}
	return c, err
}

// acceptOne accepts a connection for a loop and creates its handler. It returns errNoDescriptor if the group's descriptor
// budget has no room. The caller holds mu.
func (l *Listener) acceptOne(loop *Loop) (*Conn, error) {
	if !l.group.descriptors.canMakeRoom() {
		return nil, errNoDescriptor
	}
	fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	l.group.descriptors.reserve() // after Accept4, so that nothing is evicted if no connection was waiting
	setNoDelay(fd)
	return &Conn{
		loop: loop, fd: fd, handler: l.accept(l.done), state: established, interest: readEvents,
	}, nil
}

// isAborted reports whether accept failed only for one connection or was interrupted, so that the next call may succeed.
func isAborted(err error) bool {
	return errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.EINTR)
}

// isOutOfResources reports whether accept will fail until descriptors or memory are free again.
func isOutOfResources(err error) bool {
	return errors.Is(err, errNoDescriptor) || errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) ||
		errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

// done is called once for each accepted connection, when the connection no longer counts towards maxUnfinished.
func (l *Listener) done() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unfinished--
	if l.full && l.unfinished <= l.maxUnfinished/2 && !l.closed {
		l.full = false
		l.setInterest(unix.EPOLLIN)
	}
}

func (l *Listener) setInterest(events uint32) { l.loop.modify(l.fd, l.slot, l.generation, events) }

// pauseAccepting stops accepting for acceptPause, since every attempt would fail at once while no descriptor is free.
// Waiting connections stay in the kernel's accept queue. The caller holds mu.
func (l *Listener) pauseAccepting() {
	l.setInterest(0)
	time.AfterFunc(acceptPause, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.closed && !l.full {
			l.setInterest(unix.EPOLLIN)
		}
	})
}
