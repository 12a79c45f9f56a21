package reactor

import (
	"errors"
	"syscall"
)

// read reads the bytes that have arrived and passes them to the handler.
func (c *Conn) read() {
	c.mu.Lock()
	if c.state != established {
		c.mu.Unlock()
		return
	}
	// Usually all bytes fit in the loop's read buffer, so that an idle connection holds no buffer.
	buf := c.loop.buf
	unconsumed := len(c.in)
	if unconsumed < len(buf) {
		copy(buf, c.in)
	} else {
		c.growIn()
		buf = c.in[:cap(c.in)]
	}
	n, errno := readFD(c.fd, buf[unconsumed:])
	c.mu.Unlock()
	if n > 0 {
		c.deliver(buf[:unconsumed+n])
		return
	}
	c.handleEmptyRead(errno)
}

// growIn makes room in c.in for at least readSize/2 bytes after the unconsumed ones. The caller holds mu.
func (c *Conn) growIn() {
	if cap(c.in)-len(c.in) < readSize/2 {
		c.in = append(make([]byte, 0, 2*cap(c.in)+readSize), c.in...)
	}
}

// handleEmptyRead handles a read that returned no bytes. errno is 0 if the peer has ended its side.
func (c *Conn) handleEmptyRead(errno syscall.Errno) {
	switch {
	case errno == 0:
		c.handleEnd(nil)
	case !isRetryable(errno):
		c.handleEnd(errno)
	}
}

// deliver passes b to the handler and keeps the bytes that the handler doesn't consume. b may be c.in.
func (c *Conn) deliver(b []byte) {
	consumed := 0
	for consumed < len(b) {
		n := c.handler.OnData(c, b[consumed:])
		consumed += n
		if n == 0 || !c.isReadable() {
			break
		}
	}
	if consumed == len(b) {
		c.in = nil
		return
	}
	c.in = append(c.in[:0], b[consumed:]...) // append copies correctly even if b and c.in overlap
}

// isReadable reports whether the handler may be called with further bytes.
func (c *Conn) isReadable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pauseReasons == 0 && c.state == established
}

// handleEnd handles the end of the connection by the peer (err is nil) or by an error.
func (c *Conn) handleEnd(err error) {
	if c.closeIfEnded() {
		return
	}
	c.handler.OnEnd(c, err)
	c.Abort(errors.Is(err, ErrStalled))
}

// closeIfEnded reports whether this side was already closing the connection or had closed it. In that case it closes the
// connection completely, without notifying the handler.
func (c *Conn) closeIfEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state <= established {
		return false
	}
	c.close(false)
	return true
}
