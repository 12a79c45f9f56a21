package reactor

import (
	"errors"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dial starts a connection to an IP address and port, and returns at once. The handler's OnOpen is called when the dial has
// ended, with ErrTimeout if that takes longer than the timeout. The connection shares the loop of sibling, if that is not
// nil.
func (g *Group) Dial(addr string, timeout time.Duration, h Handler, sibling *Conn) *Conn {
	l := g.pick()
	if sibling != nil {
		l = sibling.loop
	}
	c := &Conn{loop: l, fd: -1, handler: h, watched: unix.EPOLLOUT}
	l.Post(func() { c.connect(addr, timeout) })
	return c
}

func (c *Conn) connect(addr string, timeout time.Duration) {
	c.loop.group.descriptors.reserve()
	if err := c.startConnect(addr, timeout); err != nil {
		c.handler.OnOpen(c, err)
	}
}

// startConnect starts the dial with the descriptor that is reserved, unless the connection is closed already. The connection
// is closed if that fails.
func (c *Conn) startConnect(addr string, timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == closed {
		c.loop.group.ReleaseDescriptor()
		return nil
	}
	fd, err := connectSocket(addr)
	if err != nil {
		c.state = closed
		c.loop.group.ReleaseDescriptor()
		return err
	}
	c.fd = fd
	if err := c.enlist(); err != nil {
		return err
	}
	c.deadline = time.AfterFunc(timeout, func() {
		c.loop.Post(func() { c.finishDial(ErrTimeout) })
	})
	return nil
}

// connectSocket returns a non-blocking socket that connects to an address.
func connectSocket(addr string) (fd int, err error) {
	remote, err := netip.ParseAddrPort(addr)
	if err != nil {
		return -1, err
	}
	family, sockaddr := socketAddr(remote)
	fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	setNoDelay(fd)
	if err := unix.Connect(fd, sockaddr); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		closeFD(fd)
		return -1, err
	}
	return fd, nil
}

// socketAddr is an address in the form of the system calls, with its family.
func socketAddr(addr netip.AddrPort) (family int, sockaddr unix.Sockaddr) {
	port := int(addr.Port())
	if addr.Addr().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: addr.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: addr.Addr().As16()}
}

// finishDial ends the dial: with an error, or with the socket's own result if err is nil.
func (c *Conn) finishDial(err error) {
	c.mu.Lock()
	if c.state != dialing {
		c.mu.Unlock()
		return
	}
	c.state = established
	c.deadline.Stop()
	if err == nil {
		err = socketError(c.fd)
	}
	if err != nil {
		c.close(false)
	} else {
		c.rewatch() // what was sent meanwhile is to be written
	}
	c.mu.Unlock()
	c.handler.OnOpen(c, err)
}

// socketError is the result of a non-blocking connect.
func socketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return syscall.Errno(code)
	}
	return nil
}
