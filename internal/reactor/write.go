package reactor

import (
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// StallAfter is how long a peer may read nothing while bytes are pending for it before it is disconnected.
const StallAfter = 900 * time.Millisecond

// Limits of the bytes pending for one peer. Above highWater, the connections that send to it are paused; at lowWater or
// below, they are resumed. More bytes than highWater can be pending: those that had been read when the pause began, and
// those that a handler sends on its own.
const (
	highWater = 64 << 10
	lowWater  = 16 << 10
)

// maxParts is how many parts a single system call writes.
const maxParts = 16

// Send writes the parts in order, after the pending bytes. Bytes that the kernel does not accept at once are copied and
// kept, so the caller may reuse the parts. Send returns ErrClosed if this side is closing the connection or it has ended,
// otherwise nil.
func (c *Conn) Send(parts ...[]byte) error { return c.SendFrom(nil, parts...) }

// SendFrom is like Send for bytes that were read from the connection source, which is paused while too many bytes are
// pending here.
func (c *Conn) SendFrom(source *Conn, parts ...[]byte) error {
	c.mu.Lock()
	if c.state > established {
		c.mu.Unlock()
		return ErrClosed
	}
	c.enqueue(parts)
	overfull := source != nil && c.pending() > max(c.maxPending, highWater)
	if overfull {
		c.pausedSources = append(c.pausedSources, source)
	}
	c.mu.Unlock()
	if overfull {
		source.pause(pausedByBacklog)
	}
	return nil
}

// enqueue writes as much as the kernel accepts, if nothing was pending, and keeps the rest. The caller holds mu.
func (c *Conn) enqueue(parts [][]byte) {
	wasEmpty := c.pending() == 0
	if wasEmpty && c.state == established {
		parts = writeParts(c.fd, parts)
	}
	for _, p := range parts {
		c.out = append(c.out, p...)
	}
	if wasEmpty && c.pending() > 0 && c.state == established {
		c.updateInterest()
		c.armStallTimer()
	}
}

// writeParts writes as much as the kernel accepts and returns the rest. An error is not reported, since the next read
// reports it.
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

// writeOnce writes at most maxParts parts with one system call. It returns how many bytes were written and the size of the
// parts in bytes.
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

// skipBytes returns the parts without their first n bytes.
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

// flush writes pending bytes, and resumes the paused sources if at most lowWater bytes remain.
func (c *Conn) flush() {
	for _, s := range c.writePending() {
		s.resume(pausedByBacklog)
	}
}

// writePending writes pending bytes and returns the sources to resume.
func (c *Conn) writePending() (resumable []*Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != established && c.state != flushing || c.pending() == 0 {
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
		resumable, c.pausedSources = c.pausedSources, nil
	}
	return resumable
}

// trimOut frees the written part of c.out if it is more than half of c.out. If all bytes are written, trimOut starts lingering
// if this side is closing the connection, and otherwise stops waiting for the socket to become writable. The caller holds mu.
func (c *Conn) trimOut() {
	switch {
	case c.pending() == 0:
		c.out, c.outWritten = nil, 0
		c.stallTimer.Stop()
		if c.state == flushing {
			c.linger()
		} else {
			c.updateInterest()
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

// checkStall disconnects a peer that doesn't read, since its pending bytes would be kept without a time limit.
func (c *Conn) checkStall() {
	if c.isStalled() {
		c.handleEnd(ErrStalled)
	}
}

// isStalled reports whether the peer has read nothing since the stall timer was armed, and rearms the timer if it has read
// something. It compares the lengths of the kernel's send queue, since the kernel holds pending bytes too and reports the
// socket as writable only after many of them have been sent.
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

// SetMaxPending sets how many bytes may be pending for the peer before the connections that send to it are paused. Defaults
// to 64 KiB, which is also the minimum.
func (c *Conn) SetMaxPending(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxPending = limit
}

// PendingBytes returns the number of bytes pending for the peer in this process. Bytes that the kernel has accepted are not
// counted.
func (c *Conn) PendingBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending()
}
