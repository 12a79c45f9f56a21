package reactor

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// readEvents are the epoll events that an established connection waits for while it is not paused.
const readEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// Conn is a TCP connection that a loop drives. Its methods may be called by any goroutine.
type Conn struct {
	loop    *Loop
	fd      int
	handler Handler

	mu            sync.Mutex // protects the fields below up to in, and fd against reuse by another connection
	slot          int32
	generation    int32
	registered    bool // in the loop's epoll set
	state         state
	interest      uint32 // the epoll events that are waited for
	pauseReasons  uint8
	hungUp        bool   // the peer has ended its side during the current pause
	out           []byte // bytes to write, starting at outWritten
	outWritten    int    // number of bytes of out that were written
	stallTimer    *time.Timer
	maxPending    int         // pending bytes above which sources are paused; highWater if that is larger
	sendQueue     int         // bytes in the kernel's send queue when the stall check last ran
	pausedSources []*Conn     // connections paused until fewer bytes are pending here
	timeoutTimer  *time.Timer // limits the dial, later the lingering
	discarded     int         // bytes read and discarded while lingering
	evictable     evictableEntry

	in []byte // bytes read and not consumed yet; only the loop uses it
}

// state is the state of a connection. A connection passes through the states in the order of the constants and may skip
// some. It may become closed in any state.
type state uint8

const (
	dialing     state = iota // the connection is not established yet
	established              // both directions are open
	flushing                 // closing: pending bytes are written, nothing is read
	lingering                // closing: this side has ended; received bytes are discarded until the peer ends its side
	closed
)

// start registers an accepted connection with its loop and calls OnOpen. The connection's loop calls it.
func (c *Conn) start() {
	c.mu.Lock()
	err := c.register()
	c.mu.Unlock()
	if err == nil {
		c.handler.OnOpen(c, nil)
	}
}

// register adds the descriptor to the loop's epoll set. It closes the connection if that fails. The caller holds mu.
func (c *Conn) register() (err error) {
	if c.state == closed {
		return ErrClosed
	}
	if c.slot, c.generation, err = c.loop.add(c.fd, c, c.interest); err != nil {
		c.close(false)
		return err
	}
	c.registered = true
	return nil
}

// setInterest sets the epoll events to wait for, except those that a pause masks. The caller holds mu.
func (c *Conn) setInterest(events uint32) {
	if c.pauseReasons != 0 {
		events &^= unix.EPOLLIN
		if c.hungUp {
			events &^= unix.EPOLLRDHUP // it is level-triggered, so epoll would report it at every wait
		}
	}
	if c.registered && events != c.interest {
		c.interest = events
		c.loop.modify(c.fd, c.slot, c.generation, events)
	}
}

// updateInterest sets the epoll events that an established or flushing connection needs. The caller holds mu.
func (c *Conn) updateInterest() {
	events := uint32(readEvents)
	if c.state == flushing {
		events = 0
	}
	if c.pending() > 0 {
		events |= unix.EPOLLOUT
	}
	c.setInterest(events)
}

// pending returns the number of bytes that are still to be written.
func (c *Conn) pending() int { return len(c.out) - c.outWritten }

// handleEvents implements eventTarget.
func (c *Conn) handleEvents(events uint32) {
	c.mu.Lock()
	state, paused := c.state, c.pauseReasons != 0
	c.mu.Unlock()
	gone := events&(unix.EPOLLERR|unix.EPOLLHUP) != 0
	if events&unix.EPOLLOUT != 0 && state != dialing {
		c.flush()
	}
	switch {
	case state == dialing:
		c.finishDial(nil)
	case state == flushing:
		if gone {
			c.Abort(false)
		}
	case state == lingering:
		c.discard()
	case !paused:
		if gone || events&readEvents != 0 {
			c.read()
		}
	case gone: // the connection has failed, so there is nothing left to read after the pause
		c.handleEnd(unix.ECONNRESET)
	case events&unix.EPOLLRDHUP != 0:
		c.notifyHangup()
	}
}

// notifyHangup tells the handler that the peer of a paused connection has ended its side.
func (c *Conn) notifyHangup() {
	h, ok := c.handler.(HangupHandler)
	if c.setHungUp() && ok {
		h.OnHangup(c)
	}
}

// setHungUp records that the peer has ended its side. It returns false if that was recorded already, or if the connection
// has been closed in the meantime: its descriptor may then belong to another connection.
func (c *Conn) setHungUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != established || c.hungUp {
		return false
	}
	c.hungUp = true
	c.updateInterest()
	return true
}

// Loop returns the connection's loop.
func (c *Conn) Loop() *Loop { return c.loop }

// Post makes the connection's loop call f soon. The call is dropped if the group is closed. Post is for callers that must not
// block or that hold locks that f needs.
func (c *Conn) Post(f func()) { c.loop.Post(f) }

// Closed reports whether Close or Abort was called, or whether the connection has ended by the peer or by an error.
func (c *Conn) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state > established
}

// isClosing reports whether Close was called and has not completed yet.
func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == flushing || c.state == lingering
}

// Peer returns the address and port of the peer, or an empty string if the connection is closed or the address is not
// known.
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
