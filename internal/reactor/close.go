package reactor

import (
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of lingering: how long a connection that this side has ended is kept for the peer to end its own, and how many
// bytes of the peer are discarded meanwhile.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// Close ends the connection in order: everything sent is written, then this side ends. What the peer has sent and still sends
// is discarded for lingerTimeout or until the peer ends its side, since closing a descriptor with unread bytes resets the
// connection, and the peer then loses what it has not read yet.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == dialing:
		c.close(false)
	case c.state > established:
	case c.pending() > 0:
		c.state = closing
		c.leaving = c.loop.group.descriptors.leave(c, c.leaving, awaitsWriting)
		c.rewatch()
	default:
		c.linger()
	}
}

// Abort ends the connection now; with reset the peer sees a reset. When it returns nothing more is sent.
func (c *Conn) Abort(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close(reset)
}

// linger ends this side and waits for the peer.
func (c *Conn) linger() {
	if !c.listed || unix.Shutdown(c.fd, unix.SHUT_WR) != nil {
		c.close(false)
		return
	}
	c.state, c.pauseReasons, c.hungUp = lingering, 0, false
	if c.stallTimer != nil {
		c.stallTimer.Stop()
	}
	c.resumeSources()
	c.watch(readEvents)
	c.deadline = time.AfterFunc(lingerTimeout, func() { c.Abort(false) })
	c.leaving = c.loop.group.descriptors.leave(c, c.leaving, awaitsPeer)
}

// discard reads what arrives at a lingering connection, and closes it at the peer's end or after lingerBytes.
func (c *Conn) discard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != lingering {
		return
	}
	c.in = nil
	n, errno := readFD(c.fd, c.loop.buf)
	if isRetryable(errno) {
		return
	}
	c.drained += n
	if n <= 0 || c.drained > lingerBytes {
		c.close(false)
	}
}

// close closes the descriptor, in any state.
func (c *Conn) close(reset bool) {
	if c.state == closed {
		return
	}
	c.state = closed
	if c.stallTimer != nil {
		c.stallTimer.Stop()
	}
	if c.deadline != nil {
		c.deadline.Stop()
	}
	if c.listed {
		c.listed = false
		c.loop.remove(c.slot)
	}
	if c.fd >= 0 {
		if reset {
			// Should this fail the peer sees an end in order.
			_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		closeFD(c.fd)
		c.loop.group.descriptors.release(c.leaving)
	}
	c.out, c.outWritten = nil, 0
	c.resumeSources()
}

// resumeSources resumes the connections that send to this one: they have to find it closed, not wait for it.
func (c *Conn) resumeSources() {
	for _, s := range c.sources {
		c.loop.Post(func() { s.resume(pausedByBacklog) })
	}
	c.sources = nil
}
