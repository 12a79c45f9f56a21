package reactor

import (
	"time"

	"golang.org/x/sys/unix"
)

// Limits of lingering: how long a connection that this side has ended is kept open for the peer to end its side, and how
// many received bytes are discarded meanwhile.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// Close closes the connection gracefully: all bytes passed to Send are written, then this side is shut down. Bytes that the
// peer has sent, or still sends, are discarded for lingerTimeout or until the peer ends its side. Closing a descriptor with
// unread bytes would reset the connection, and the peer would lose what it has not read yet.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == dialing:
		c.close(false)
	case c.state > established:
	case c.pending() > 0:
		c.state = flushing
		c.evictable = c.loop.group.descriptors.addEvictable(c, c.evictable, evictableFlushing)
		c.updateInterest()
	default:
		c.linger()
	}
}

// Abort closes the connection immediately. If reset is true, the peer sees a connection reset. When Abort returns, no more
// bytes are sent.
func (c *Conn) Abort(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close(reset)
}

// linger shuts down this side and waits for the peer to end its own. The caller holds mu.
func (c *Conn) linger() {
	if !c.registered || unix.Shutdown(c.fd, unix.SHUT_WR) != nil {
		c.close(false)
		return
	}
	c.state, c.pauseReasons, c.hungUp = lingering, 0, false
	if c.stallTimer != nil {
		c.stallTimer.Stop()
	}
	c.resumeSources()
	c.setInterest(readEvents)
	c.timeoutTimer = time.AfterFunc(lingerTimeout, func() { c.Abort(false) })
	c.evictable = c.loop.group.descriptors.addEvictable(c, c.evictable, evictableLingering)
}

// discard reads the bytes that arrive on a lingering connection. It closes the connection when the peer has ended its side
// or more than lingerBytes have arrived.
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
	c.discarded += n
	if n <= 0 || c.discarded > lingerBytes {
		c.close(false)
	}
}

// close closes the descriptor. It may be called in any state and repeatedly. The caller holds mu.
func (c *Conn) close(reset bool) {
	if c.state == closed {
		return
	}
	c.state = closed
	if c.stallTimer != nil {
		c.stallTimer.Stop()
	}
	if c.timeoutTimer != nil {
		c.timeoutTimer.Stop()
	}
	if c.registered {
		c.registered = false
		c.loop.remove(c.slot)
	}
	if c.fd >= 0 {
		if reset {
			// If this fails, the peer sees an orderly end instead.
			_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		closeFD(c.fd)
		c.loop.group.descriptors.release(c.evictable)
	}
	c.out, c.outWritten = nil, 0
	c.resumeSources()
}

// resumeSources resumes the connections that send to this one, so that they find it closed and don't wait for it. The
// caller holds mu.
func (c *Conn) resumeSources() {
	for _, s := range c.pausedSources {
		c.loop.Post(func() { s.resume(pausedByBacklog) })
	}
	c.pausedSources = nil
}
