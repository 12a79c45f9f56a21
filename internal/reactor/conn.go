package reactor

import (
	"container/list"
	"net/netip"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// A connection that this side has ended is kept so long for the peer to end its own, and for so many bytes of the peer's.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// Conn is a connection. Its methods may be called by any goroutine.
type Conn struct {
	loop    *loop
	fd      int
	handler Handler

	mu       sync.Mutex // guards what follows, and that fd is this connection's
	slot     int32
	gen      int32
	listed   bool // in the loop's slots
	state    state
	want     uint32 // what is watched for
	paused   uint8  // for what reasons
	hung     bool   // while paused
	out      []byte // waits for the peer
	taken    int    // of out
	stall    *time.Timer
	high     int         // over this much out, sources are left unread; 0: highWater
	queued   int         // in the kernel, at the last look for a stall
	sources  []*Conn     // unread until out is short again
	deadline *time.Timer // of the dialing, or of the lingering
	drained  int         // bytes that came while it lingered
	place    *list.Element

	in []byte // not taken yet; the loop alone uses it
}

// state is how far a connection has come. States follow in this order, but closed may follow each.
type state uint8

const (
	dialing   state = iota // not up yet
	standing               // both ways
	closing                // what waits is written, nothing is read
	lingering              // this side has ended; what still comes is read and thrown away until the peer ends too
	closed
)

// begin takes an accepted connection into its loop.
func (c *Conn) begin() {
	c.mu.Lock()
	err := c.enlist()
	c.mu.Unlock()
	if err != nil {
		unix.Close(c.fd)
		return
	}
	c.handler.OnOpen(c, nil)
}

func (c *Conn) enlist() (err error) {
	if c.state == closed {
		return ErrClosed
	}
	if c.slot, c.gen, err = c.loop.add(c.fd, c, c.want); err != nil {
		c.state = closed
		return err
	}
	c.listed = true
	c.loop.group.hold(1)
	return nil
}

// Dial starts a connection to an IP address and port and returns at once; the handler is told how it went within the
// time given. The connection shares the loop of beside, if that is not nil.
func (g *Group) Dial(addr string, within time.Duration, h Handler, beside *Conn) *Conn {
	l := g.pick()
	if beside != nil {
		l = beside.loop
	}
	c := &Conn{loop: l, fd: -1, handler: h, want: unix.EPOLLOUT}
	l.post(func() { c.connect(addr, within) })
	return c
}

func (c *Conn) connect(addr string, within time.Duration) {
	err := func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.state == closed {
			return nil
		}
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			c.state = closed
			return err
		}
		family := unix.AF_INET6
		var sa unix.Sockaddr = &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
		if to.Addr().Is4() {
			family, sa = unix.AF_INET, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()}
		}
		fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			c.state = closed
			return err
		}
		c.fd = fd
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		if err = unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS {
			unix.Close(fd)
			c.state = closed
			return err
		}
		if err = c.enlist(); err != nil {
			unix.Close(fd)
			return err
		}
		c.deadline = time.AfterFunc(within, func() { c.loop.post(func() { c.connected(ErrTimeout) }) })
		return nil
	}()
	if err != nil {
		c.handler.OnOpen(c, err)
	}
}

// connected ends the dialing.
func (c *Conn) connected(err error) {
	c.mu.Lock()
	if c.state != dialing {
		c.mu.Unlock()
		return
	}
	c.state = standing
	c.deadline.Stop()
	if err == nil {
		if code, e := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); e != nil {
			err = e
		} else if code != 0 {
			err = syscall.Errno(code)
		}
	}
	if err != nil {
		c.close(false)
	} else {
		c.rewatch() // what was sent meanwhile waits to be written
	}
	c.mu.Unlock()
	c.handler.OnOpen(c, err)
}

// watch changes what is watched for.
func (c *Conn) watch(events uint32) {
	if c.paused != 0 {
		events &^= unix.EPOLLIN
		if c.hung {
			events &^= unix.EPOLLRDHUP // told; it would be told on and on
		}
	}
	if c.listed && events != c.want {
		c.want = events
		unix.EpollCtl(c.loop.epoll, unix.EPOLL_CTL_MOD, c.fd, &unix.EpollEvent{Events: events, Fd: c.slot, Pad: c.gen})
	}
}

func (c *Conn) rewatch() {
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(c.out) > c.taken {
		events |= unix.EPOLLOUT
	}
	if c.state == closing {
		events &^= unix.EPOLLIN | unix.EPOLLRDHUP
	}
	c.watch(events)
}

// ready is called by the loop.
func (c *Conn) ready(events uint32) {
	c.mu.Lock()
	at, paused := c.state, c.paused != 0
	c.mu.Unlock()
	gone := events&(unix.EPOLLERR|unix.EPOLLHUP) != 0
	if events&unix.EPOLLOUT != 0 && at != dialing {
		c.flush()
	}
	switch {
	case at == dialing:
		c.connected(nil)
	case at == closing:
		if gone {
			c.Abort(false)
		}
	case at == lingering:
		c.drain()
	case !paused:
		if gone || events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0 {
			c.read()
		}
	case gone:
		// Left unread, but gone: there is no peer to keep it for.
		c.end(unix.ECONNRESET)
	case events&unix.EPOLLRDHUP != 0:
		c.hangup()
	}
}

// hangup notes that the peer of a paused connection has ended its side. Whoever closed the connection meanwhile has freed
// its descriptor, which may be another's by now.
func (c *Conn) hangup() {
	c.mu.Lock()
	told := c.state == standing && !c.hung
	if told {
		c.hung = true
		c.rewatch()
	}
	c.mu.Unlock()
	if h, ok := c.handler.(HangupHandler); ok && told {
		h.OnHangup(c)
	}
}

// read takes what has come and shows it to the handler.
func (c *Conn) read() {
	c.mu.Lock()
	if c.state != standing {
		c.mu.Unlock()
		return
	}
	buf := c.loop.buf
	kept := copy(buf, c.in)
	if kept == len(c.in) && kept < len(buf) {
		// The common case: all fits the loop's own buffer, and an idle connection holds none.
		n, err := rawRead(c.fd, buf[kept:])
		c.mu.Unlock()
		if n > 0 {
			c.show(buf[:kept+n])
		}
		c.readEnd(n, err)
		return
	}
	if cap(c.in)-len(c.in) < readSize/2 {
		c.in = append(make([]byte, 0, 2*cap(c.in)+readSize), c.in...)
	}
	n, err := rawRead(c.fd, c.in[len(c.in):cap(c.in)])
	c.mu.Unlock()
	if n > 0 {
		c.in = c.in[:len(c.in)+n]
		c.show(c.in)
	}
	c.readEnd(n, err)
}

func (c *Conn) readEnd(n int, err error) {
	switch {
	case n > 0 || err == unix.EAGAIN || err == unix.EINTR:
	case err != nil:
		c.end(err)
	default:
		c.end(nil)
	}
}

// show hands bytes to the handler, and keeps those that it does not take. b may be c.in.
func (c *Conn) show(b []byte) {
	taken := 0
	for taken < len(b) {
		n := c.handler.OnData(c, b[taken:])
		taken += n
		c.mu.Lock()
		stop := c.paused != 0 || c.state != standing
		c.mu.Unlock()
		if n == 0 || stop {
			break
		}
	}
	if taken == len(b) {
		c.in = nil
		return
	}
	c.in = append(c.in[:0], b[taken:]...) // within one array the copy goes downwards
}

// end is the peer's end of the connection.
func (c *Conn) end(err error) {
	c.mu.Lock()
	at := c.state
	if at > standing { // nobody waits for word of it
		c.close(false)
	}
	c.mu.Unlock()
	if at > standing {
		return
	}
	c.handler.OnEnd(c, err)
	c.Abort(err == ErrStalled)
}

// WasReset tells a broken connection from one that its peer ended in order.
func WasReset(err error) bool { return err != nil }

func rawRead(fd int, b []byte) (int, error) {
	n, _, e := syscall.RawSyscall(unix.SYS_READ, uintptr(fd), uintptr(unsafe.Pointer(&b[0])), uintptr(len(b)))
	if e != 0 {
		return 0, e
	}
	return int(n), nil
}

// Close ends the connection in order: all that was sent is written, then this side ends. What the peer has sent and still
// sends is read and thrown away for lingerFor or until it ends its side, as a descriptor that is closed over unread bytes
// resets the connection, and takes with it what the peer has not read yet.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == dialing:
		c.close(false)
	case c.state > standing:
	case len(c.out) > c.taken:
		c.state = closing
		c.rewatch()
	default:
		c.linger()
	}
}

// linger ends this side.
func (c *Conn) linger() {
	if !c.listed || unix.Shutdown(c.fd, unix.SHUT_WR) != nil {
		c.close(false)
		return
	}
	c.state, c.paused, c.hung = lingering, 0, false
	if c.stall != nil {
		c.stall.Stop()
	}
	c.resumeSources()
	c.watch(unix.EPOLLIN | unix.EPOLLRDHUP)
	c.deadline = time.AfterFunc(lingerTimeout, func() { c.Abort(false) })
	c.loop.group.linger(c)
}

// drain throws away what comes to a connection that lingers.
func (c *Conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != lingering {
		return
	}
	c.in = nil
	n, err := rawRead(c.fd, c.loop.buf)
	if err == unix.EAGAIN || err == unix.EINTR {
		return
	}
	if c.drained += n; n <= 0 || c.drained > lingerBytes {
		c.close(false)
	}
}

// Abort ends the connection now; with reset its peer sees it break. When it returns nothing more goes out.
func (c *Conn) Abort(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close(reset)
}

func (c *Conn) close(reset bool) {
	if c.state == closed {
		return
	}
	c.state = closed
	if c.stall != nil {
		c.stall.Stop()
	}
	if c.deadline != nil {
		c.deadline.Stop()
	}
	if c.listed {
		c.listed = false
		c.loop.remove(c.slot)
		c.loop.group.release(c)
	}
	if c.fd >= 0 {
		if reset {
			unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		unix.Close(c.fd)
	}
	c.out, c.taken = nil, 0
	c.resumeSources()
}

// resumeSources has those read again that send here: they must find their peer gone, not wait for it.
func (c *Conn) resumeSources() {
	for _, s := range c.sources {
		c.loop.post(func() { s.resume(crowded) })
	}
	c.sources = nil
}

// Loop is the connection's loop.
func (c *Conn) Loop() *Loop { return c.loop }

// Do has the connection's loop call f soon, unless the group is closed. It is for what may wait where the caller may not.
func (c *Conn) Do(f func()) { c.loop.post(f) }

// Closed reports whether this side or the peer has ended the connection.
func (c *Conn) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state > standing
}

// leaving reports whether Close was called and is not done.
func (c *Conn) leaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == closing || c.state == lingering
}

// Peer is the address at the other end.
func (c *Conn) Peer() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == closed {
		return ""
	}
	sa, err := unix.Getpeername(c.fd)
	if err != nil {
		return ""
	}
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr).Unmap(), uint16(sa.Port)).String()
	}
	return ""
}
