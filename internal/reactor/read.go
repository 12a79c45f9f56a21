package reactor

import (
	"errors"
	"syscall"
)

// read reads what has arrived and shows it to the handler.
func (c *Conn) read() {
	c.mu.Lock()
	if c.state != established {
		c.mu.Unlock()
		return
	}
	// The usual case: everything fits the loop's own buffer, and an idle connection holds none.
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
		c.show(buf[:unconsumed+n])
		return
	}
	c.handleReadEnd(errno)
}

// growIn makes room for at least half a readSize after the bytes that were not consumed.
func (c *Conn) growIn() {
	if cap(c.in)-len(c.in) < readSize/2 {
		c.in = append(make([]byte, 0, 2*cap(c.in)+readSize), c.in...)
	}
}

// handleReadEnd handles a read that brought nothing; errno is 0 if the peer has ended its side.
func (c *Conn) handleReadEnd(errno syscall.Errno) {
	switch {
	case errno == 0:
		c.endByPeer(nil)
	case !isRetryable(errno):
		c.endByPeer(errno)
	}
}

// show passes bytes to the handler, and keeps those that it doesn't consume. b may be c.in.
func (c *Conn) show(b []byte) {
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
	c.in = append(c.in[:0], b[consumed:]...) // within one array this copies towards the start
}

// isReadable reports whether the handler may be called with data.
func (c *Conn) isReadable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pauseReasons == 0 && c.state == established
}

// endByPeer handles the end of the connection by the peer, or by an error.
func (c *Conn) endByPeer(err error) {
	if c.closeIfEnded() {
		return
	}
	c.handler.OnEnd(c, err)
	c.Abort(errors.Is(err, ErrStalled))
}

// closeIfEnded closes a connection that this side has ended already; its handler is not notified. It returns false for
// another one.
func (c *Conn) closeIfEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state <= established {
		return false
	}
	c.close(false)
	return true
}
