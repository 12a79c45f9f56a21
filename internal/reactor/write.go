package reactor

import (
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// StallAfter is how long a peer may read nothing while bytes are pending for it.
const StallAfter = 900 * time.Millisecond

// Bounds of what is pending for one peer. Above the first its sources are paused, at the second or below they are resumed;
// what has been read by then and what a handler adds on its own comes on top.
const (
	highWater = 64 << 10
	lowWater  = 16 << 10
)

// maxParts is how many parts are gathered into one write.
const maxParts = 16

// Send writes the parts in order, after what is pending. What the kernel does not take at once is copied and kept; the
// caller may reuse the parts. The error is ErrClosed if this side or the peer has ended the connection, otherwise nil.
func (c *Conn) Send(parts ...[]byte) error { return c.SendFrom(nil, parts...) }

// SendFrom is Send for bytes that were read from another connection, which is paused while too much is pending here.
func (c *Conn) SendFrom(source *Conn, parts ...[]byte) error {
	c.mu.Lock()
	if c.state > established {
		c.mu.Unlock()
		return ErrClosed
	}
	c.enqueue(parts)
	overfull := source != nil && c.pending() > max(c.maxPending, highWater)
	if overfull {
		c.sources = append(c.sources, source)
	}
	c.mu.Unlock()
	if overfull {
		source.pause(pausedByBacklog)
	}
	return nil
}

// enqueue writes what the kernel takes, if nothing is pending, and keeps the rest.
func (c *Conn) enqueue(parts [][]byte) {
	wasEmpty := c.pending() == 0
	if wasEmpty && c.state == established {
		parts = writeParts(c.fd, parts)
	}
	for _, p := range parts {
		c.out = append(c.out, p...)
	}
	if wasEmpty && c.pending() > 0 && c.state == established {
		c.rewatch()
		c.armStallTimer()
	}
}

// writeParts writes what the kernel takes and returns the rest. An error is left to the next read.
func writeParts(fd int, parts [][]byte) [][]byte {
	for len(parts) > 0 {
		written, size, errno := writeOnce(fd, parts[:min(len(parts), maxParts)])
		if errno == unix.EINTR {
			continue
		}
		if errno != 0 {
			return parts
		}
		parts = skipBytes(parts, written)
		if written < size {
			return parts
		}
	}
	return nil
}

// writeOnce writes at most maxParts parts with one system call. It returns how many bytes of their size were written.
func writeOnce(fd int, parts [][]byte) (written, size int, errno syscall.Errno) {
	var vectors [maxParts]unix.Iovec
	count := 0
	for _, p := range parts {
		if len(p) > 0 {
			vectors[count].Base = &p[0]
			vectors[count].SetLen(len(p))
			count++
			size += len(p)
		}
	}
	var n uintptr
	switch count {
	case 0:
		return 0, 0, 0
	case 1:
		n, _, errno = syscall.RawSyscall6(unix.SYS_SENDTO, uintptr(fd),
			uintptr(unsafe.Pointer(vectors[0].Base)), uintptr(size), unix.MSG_NOSIGNAL, 0, 0)
	default:
		n, _, errno = syscall.RawSyscall(unix.SYS_WRITEV, uintptr(fd),
			uintptr(unsafe.Pointer(&vectors[0])), uintptr(count))
	}
	return int(n), size, errno
}

// skipBytes is the parts without their first n bytes.
func skipBytes(parts [][]byte, n int) [][]byte {
	for len(parts) > 0 && n >= len(parts[0]) {
		n -= len(parts[0])
		parts = parts[1:]
	}
	if n == 0 {
		return parts
	}
	return append([][]byte{parts[0][n:]}, parts[1:]...)
}

// flush writes what is pending, and resumes the sources once that is little enough.
func (c *Conn) flush() {
	for _, s := range c.writePending() {
		s.resume(pausedByBacklog)
	}
}

// writePending writes what is pending and returns the sources to resume.
func (c *Conn) writePending() (resumable []*Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != established && c.state != closing || c.pending() == 0 {
		return nil
	}
	rest := 0
	for _, p := range writeParts(c.fd, [][]byte{c.out[c.outWritten:]}) {
		rest += len(p)
	}
	if rest < c.pending() {
		c.outWritten = len(c.out) - rest
		c.armStallTimer()
	}
	c.trimOut()
	if c.pending() <= lowWater {
		resumable, c.sources = c.sources, nil
	}
	return resumable
}

// trimOut frees what is written, once that is everything or more than half, and goes on to what follows the last byte.
func (c *Conn) trimOut() {
	switch {
	case c.pending() == 0:
		c.out, c.outWritten = nil, 0
		c.stallTimer.Stop()
		if c.state == closing {
			c.linger()
		} else {
			c.rewatch()
		}
	case c.outWritten > len(c.out)/2:
		c.out = append(c.out[:0], c.out[c.outWritten:]...)
		c.outWritten = 0
	}
}

func (c *Conn) armStallTimer() {
	if c.stallTimer == nil {
		c.stallTimer = time.AfterFunc(StallAfter, func() { c.loop.Post(c.checkStall) })
		return
	}
	c.stallTimer.Reset(StallAfter)
}

// checkStall ends a connection whose peer doesn't read: its bytes would be kept for an unlimited time.
func (c *Conn) checkStall() {
	if c.isStalled() {
		c.endByPeer(ErrStalled)
	}
}

// isStalled reports whether the peer has read nothing since the timer was armed, and arms it again if the peer has. The
// kernel holds bytes too, and reports the socket writable only after many have been sent.
func (c *Conn) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state >= lingering || c.pending() == 0 {
		return false
	}
	queued, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ)
	if err == nil && queued != c.sendQueue {
		c.sendQueue = queued
		c.armStallTimer()
		return false
	}
	return true
}

// SetMaxPending sets how many bytes may be pending for the peer before what sends to it is paused. The default, 64 KiB, is
// also the minimum.
func (c *Conn) SetMaxPending(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxPending = limit
}

// Buffered is the number of bytes pending for the peer on this side; what the kernel has taken is not counted.
func (c *Conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending()
}
