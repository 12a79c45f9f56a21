package reactor

import (
	"errors"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dial starts a connection to an IP address and port and returns at once. The handler's OnOpen is called when the dial has
// succeeded or failed, with ErrTimeout if it took longer than the timeout. It is not called if the connection is closed
// first. If sibling is not nil, the connection is driven by the loop of sibling.
func (g *Group) Dial(addr string, timeout time.Duration, h Handler, sibling *Conn) *Conn {
	l := g.pickLoop()
	if sibling != nil {
		l = sibling.loop
	}
	c := &Conn{loop: l, fd: -1, handler: h, interest: unix.EPOLLOUT}
	l.Post(func() { c.connect(addr, timeout) })
	return c
}

func (c *Conn) connect(addr string, timeout time.Duration) {
	c.loop.group.descriptors.reserve()
	if err := c.startConnect(addr, timeout); err != nil {
		c.handler.OnOpen(c, err)
	}
}

// startConnect starts the dial with the descriptor that was reserved, unless the connection is closed already. If the dial
// can't be started, the connection is closed.
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
	if err := c.register(); err != nil {
		return err
	}
	c.timeoutTimer = time.AfterFunc(timeout, func() {
		c.loop.Post(func() { c.finishDial(ErrTimeout) })
	})
	return nil
}

// connectSocket returns a non-blocking socket that is connecting to an address.
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

// socketAddr converts an address to the form of the system calls and returns it with its address family.
func socketAddr(addr netip.AddrPort) (family int, sockaddr unix.Sockaddr) {
	port := int(addr.Port())
	if addr.Addr().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: addr.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: addr.Addr().As16()}
}

// finishDial ends the dial, with err if it is not nil, otherwise with the result of the socket's connect. The connection's
// loop calls it.
func (c *Conn) finishDial(err error) {
	c.mu.Lock()
	if c.state != dialing {
		c.mu.Unlock()
		return
	}
	c.state = established
	c.timeoutTimer.Stop()
	if err == nil {
		err = socketError(c.fd)
	}
	if err != nil {
		c.close(false)
	} else {
		c.updateInterest() // also waits until bytes that were sent meanwhile can be written
	}
	c.mu.Unlock()
	c.handler.OnOpen(c, err)
}

// socketError returns the result of a non-blocking connect.
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
