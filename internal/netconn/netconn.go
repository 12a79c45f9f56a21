// Package netconn adds to a netpoll connection what fronts and backends share: one writer at a time with
// gathered writes, first lines found in place, and ends that are passed on the way they came.
package netconn

import (
	"bytes"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"example.org/milletvane/internal/lineproto"
)

// WriteFor is how long a write may wait for a peer that does not read: no line is held back longer.
const WriteFor = 900 * time.Millisecond

// Conn is a connection to a client or a server.
type Conn struct {
	netpoll.Connection
	writing sync.Mutex
	closed  bool // guarded by writing
}

// New wraps a connection. Close callbacks that are added later run before its own.
//
// It guards against writes to a connection that has just been closed from the other side of a relay: netpoll
// takes the buffers back then, and a late write would panic. No write begins after the callback, and it
// waits for one that has begun, which a close wakes.
func New(c netpoll.Connection) *Conn {
	c.SetWriteTimeout(WriteFor)
	n := &Conn{Connection: c}
	c.AddCloseCallback(func(netpoll.Connection) error {
		n.writing.Lock()
		defer n.writing.Unlock()
		n.closed = true
		return nil
	})
	return n
}

// Send writes the parts with one gathered write. They may be reused when it returns nil.
func (c *Conn) Send(parts ...[]byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.closed {
		return netpoll.ErrConnClosed
	}
	w := c.Writer()
	for _, p := range parts {
		if _, err := w.WriteBinary(p); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (c *Conn) fd() (int, bool) {
	f, ok := c.Connection.(netpoll.Conn)
	if !ok {
		return 0, false
	}
	return f.Fd(), true
}

// End closes the connection; with reset its peer sees it break, else it ends in order.
func (c *Conn) End(reset bool) {
	if fd, ok := c.fd(); ok && reset && c.IsActive() {
		syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	c.Close()
}

// tcpClose is the kernel's state of a connection that was reset; after an orderly end it is another.
const tcpClose = 7

// WasReset tells in a close callback how the peer ended the connection. netpoll reports any end alike, so
// the socket itself is asked.
func (c *Conn) WasReset() bool {
	fd, ok := c.fd()
	if !ok {
		return false
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == tcpClose
}

// Line returns the first line in the connection's buffer, its end included, without taking it out. It
// waits for the rest of a line that has come in part until the deadline, if one is given, or the connection's
// end. netpoll's callbacks need that: one that returns with bytes unread is called again at once, and would spin.
func Line(c netpoll.Connection, until time.Time) ([]byte, error) {
	r := c.Reader()
	seen := 0
	for {
		n := min(max(r.Len(), seen+1), lineproto.MaxLine)
		c.SetReadDeadline(until)
		buf, err := r.Peek(n)
		c.SetReadDeadline(time.Time{})
		if err != nil {
			return nil, err
		}
		if i := bytes.IndexByte(buf[seen:], '\n'); i >= 0 {
			return buf[:seen+i+1], nil
		}
		if n == lineproto.MaxLine {
			return nil, lineproto.ErrTooLong
		}
		seen = n
	}
}

// Discard drops all that has been read.
func Discard(c netpoll.Connection) {
	r := c.Reader()
	if n := r.Len(); n > 0 {
		r.Skip(n)
	}
	r.Release()
}

// IsTimeout tells a peer that does not read or write from one that has gone.
func IsTimeout(err error) bool {
	return errors.Is(err, netpoll.ErrReadTimeout) || errors.Is(err, netpoll.ErrWriteTimeout)
}
