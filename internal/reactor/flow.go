package reactor

import (
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// StallAfter is how long a peer may take nothing while bytes wait for it.
const StallAfter = 900 * time.Millisecond

// Bounds of what waits for one peer. Over the first its sources are left unread, under the second they are read again;
// what has been read by then and what a handler adds by itself goes on top.
const (
	highWater = 64 << 10
	lowWater  = 16 << 10
)

// partsMost is how many parts are gathered into one write.
const maxParts = 16

// Send writes the parts in order, behind what waits already. What the kernel does not take at once is kept; the parts may
// be reused. An error says that the connection is closed.
func (c *Conn) Send(parts ...[]byte) error { return c.SendFrom(nil, parts...) }

// SendFrom is Send for bytes that came from another connection, which is left unread while too much waits here.
func (c *Conn) SendFrom(source *Conn, parts ...[]byte) error {
	c.mu.Lock()
	if c.state > standing {
		c.mu.Unlock()
		return ErrClosed
	}
	if len(c.out) == c.taken && c.state == standing {
		parts = c.write(parts)
	}
	empty := len(c.out) == c.taken
	for _, p := range parts {
		c.out = append(c.out, p...)
	}
	if len(c.out) > c.taken && empty && c.state == standing {
		c.rewatch()
		c.armStall()
	}
	var pause *Conn
	if source != nil && len(c.out)-c.taken > max(c.high, highWater) {
		pause = source
		c.sources = append(c.sources, source)
	}
	c.mu.Unlock()
	if pause != nil {
		pause.pause(crowded)
	}
	return nil
}

// write writes what the kernel takes and returns the rest. A broken connection is found by reading.
func (c *Conn) write(parts [][]byte) [][]byte {
	for len(parts) > 0 {
		var vec [maxParts]unix.Iovec
		n, size := 0, 0
		for _, p := range parts[:min(len(parts), maxParts)] {
			if len(p) > 0 {
				vec[n].Base = &p[0]
				vec[n].SetLen(len(p))
				n++
				size += len(p)
			}
		}
		if n == 0 {
			parts = parts[min(len(parts), maxParts):]
			continue
		}
		var done uintptr
		var e syscall.Errno
		if n == 1 {
			done, _, e = syscall.RawSyscall6(unix.SYS_SENDTO, uintptr(c.fd), uintptr(unsafe.Pointer(vec[0].Base)), uintptr(size), unix.MSG_NOSIGNAL, 0, 0)
		} else {
			done, _, e = syscall.RawSyscall(unix.SYS_WRITEV, uintptr(c.fd), uintptr(unsafe.Pointer(&vec[0])), uintptr(n))
		}
		if e == unix.EINTR {
			continue
		}
		if e != 0 {
			return parts
		}
		rest := int(done)
		for len(parts) > 0 && rest >= len(parts[0]) {
			rest -= len(parts[0])
			parts = parts[1:]
		}
		if rest > 0 {
			first := append([][]byte{parts[0][rest:]}, parts[1:]...)
			return first
		}
		if int(done) < size {
			return parts
		}
	}
	return nil
}

// flush writes what waits.
func (c *Conn) flush() {
	c.mu.Lock()
	if c.state != standing && c.state != closing || len(c.out) == c.taken {
		c.mu.Unlock()
		return
	}
	left := 0
	for _, p := range c.write([][]byte{c.out[c.taken:]}) {
		left += len(p)
	}
	if done := len(c.out) - left; done > c.taken {
		c.taken = done
		c.armStall()
	}
	switch {
	case c.taken == len(c.out):
		c.out, c.taken = nil, 0
		c.stall.Stop()
		if c.state == closing {
			c.linger()
		} else {
			c.rewatch()
		}
	case c.taken > len(c.out)/2:
		c.out = append(c.out[:0], c.out[c.taken:]...)
		c.taken = 0
	}
	var resume []*Conn
	if len(c.out)-c.taken <= lowWater {
		resume, c.sources = c.sources, nil
	}
	c.mu.Unlock()
	for _, s := range resume {
		s.resume(crowded)
	}
}

func (c *Conn) armStall() {
	if c.stall == nil {
		c.stall = time.AfterFunc(StallAfter, func() { c.loop.post(c.stalled) })
		return
	}
	c.stall.Reset(StallAfter)
}

// stalled ends a connection whose peer does not read: its bytes would be held back without bound.
func (c *Conn) stalled() {
	c.mu.Lock()
	waits := c.state < lingering && len(c.out) > c.taken
	if waits {
		// The kernel holds bytes too, and says that there is room for more only after many have gone.
		if queued, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ); err == nil && queued != c.queued {
			c.queued, waits = queued, false
			c.armStall()
		}
	}
	c.mu.Unlock()
	if waits {
		c.end(ErrStalled)
	}
}

// SetMaxPending sets how many bytes may wait for the peer before what sends to it is left unread. The default is 64 KiB, and
// the least.
func (c *Conn) SetMaxPending(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.high = most
}

// Buffered is how many bytes wait for the peer to read.
func (c *Conn) Buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.out) - c.taken
}

// Reasons to leave a connection unread. Each is taken back by itself.
const (
	asked   uint8 = 1 << iota // by Pause
	crowded                   // by what waits at the connection that it sends to
)

// Pause leaves the connection unread from the end of the handler's call on.
func (c *Conn) Pause() { c.pause(asked) }

// Resume has it read again, what was not taken first.
func (c *Conn) Resume() { c.resume(asked) }

func (c *Conn) pause(why uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.paused
	c.paused |= why
	if c.state == standing && was == 0 {
		c.rewatch()
	}
}

func (c *Conn) resume(why uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state > standing || c.paused&why == 0 {
		return
	}
	if c.paused &^= why; c.paused == 0 {
		c.hung = false
		c.loop.post(c.readOn)
	}
}

// readOn shows what was not taken, and has the connection watched again.
func (c *Conn) readOn() {
	c.mu.Lock()
	stop := c.paused != 0 || c.state > standing
	c.mu.Unlock()
	if stop {
		return
	}
	if len(c.in) > 0 {
		c.show(c.in)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == standing {
		c.rewatch()
	}
}
