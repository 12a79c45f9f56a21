package reactor

import (
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// readEvents are the events of an established connection that is not paused.
const readEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// Conn is a connection. Its methods may be called by any goroutine.
type Conn struct {
	loop    *Loop
	fd      int
	handler Handler

	mu           sync.Mutex // protects what follows up to in, and that fd is this connection's
	slot         int32
	generation   int32
	listed       bool // in the loop's slots
	state        state
	watched      uint32 // the epoll events
	pauseReasons uint8
	hungUp       bool   // while paused
	out          []byte // to be written, from outWritten on
	outWritten   int    // bytes of out that are written
	stallTimer   *time.Timer
	maxPending   int         // bytes to write above which sources are paused, if more than highWater
	sendQueue    int         // bytes in the kernel's send queue at the last check for a stall
	sources      []*Conn     // paused until out is short again
	deadline     *time.Timer // of the dial, or of lingering
	drained      int         // bytes read while lingering
	leaving      leavingEntry

	in []byte // read and not consumed yet; the loop alone uses it
}

// state is the progress of a connection. States follow in the order of the constants, but closed may follow each.
type state uint8

const (
	dialing     state = iota // not connected yet
	established              // open in both directions
	closing                  // out is written, nothing is read
	lingering                // this side has ended; what arrives is discarded until the peer ends too
	closed
)

// begin registers an accepted connection with its loop.
func (c *Conn) begin() {
	c.mu.Lock()
	err := c.enlist()
	c.mu.Unlock()
	if err == nil {
		c.handler.OnOpen(c, nil)
	}
}

// enlist adds the descriptor to the loop's slots. The connection is closed if that fails.
func (c *Conn) enlist() (err error) {
	if c.state == closed {
		return ErrClosed
	}
	if c.slot, c.generation, err = c.loop.add(c.fd, c, c.watched); err != nil {
		c.close(false)
		return err
	}
	c.listed = true
	return nil
}

// watch changes the events that are watched for, less those that a pause masks.
func (c *Conn) watch(events uint32) {
	if c.pauseReasons != 0 {
		events &^= unix.EPOLLIN
		if c.hungUp {
			events &^= unix.EPOLLRDHUP // epoll would report it again and again
		}
	}
	if c.listed && events != c.watched {
		c.watched = events
		c.loop.modify(c.fd, c.slot, c.generation, events)
	}
}

// rewatch watches for the events that the state needs.
func (c *Conn) rewatch() {
	events := uint32(readEvents)
	if c.state == closing {
		events = 0
	}
	if c.pending() > 0 {
		events |= unix.EPOLLOUT
	}
	c.watch(events)
}

// pending is the number of bytes to write.
func (c *Conn) pending() int { return len(c.out) - c.outWritten }

// ready implements source.
func (c *Conn) ready(events uint32) {
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
	case state == closing:
		if gone {
			c.Abort(false)
		}
	case state == lingering:
		c.discard()
	case !paused:
		if gone || events&readEvents != 0 {
			c.read()
		}
	case gone: // there is no peer any more to leave it unread for
		c.endByPeer(unix.ECONNRESET)
	case events&unix.EPOLLRDHUP != 0:
		c.hangUp()
	}
}

// hangUp notifies the handler that the peer of a paused connection has ended its side.
func (c *Conn) hangUp() {
	h, ok := c.handler.(HangupHandler)
	if c.setHungUp() && ok {
		h.OnHangup(c)
	}
}

// setHungUp returns false if the hangup was seen before, or if the connection has been closed meanwhile: its descriptor may
// be another connection's by now.
func (c *Conn) setHungUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != established || c.hungUp {
		return false
	}
	c.hungUp = true
	c.rewatch()
	return true
}

// Loop is the connection's loop.
func (c *Conn) Loop() *Loop { return c.loop }

// Do has the connection's loop call f soon, unless the group is closed. Use it where the caller may not block, or holds
// locks that f needs.
func (c *Conn) Do(f func()) { c.loop.Post(f) }

// Closed reports whether this side or the peer has ended the connection.
func (c *Conn) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state > established
}

// isLeaving reports whether Close was called and has not finished.
func (c *Conn) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == closing || c.state == lingering
}

// Peer is the address and port of the other end; empty if it is not known any more.
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
