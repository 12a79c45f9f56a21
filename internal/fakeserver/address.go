package fakeserver

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// ReserveAddress returns an address of loopback that nobody but who is told it can have until release: a program that is yet to
// start, or to start again, finds its port free. One that was merely free a moment ago may by then be another's, or one
// end of any connection. Who listens there must ask for the address's reuse, as net.Listen does.
func ReserveAddress() (addr string, release func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("standin: no address to reserve: %w", err)
	}
	port, err := bindLoopback(fd)
	if err != nil {
		unix.Close(fd)
		return "", nil, fmt.Errorf("standin: no address to reserve: %w", err)
	}
	return fmt.Sprint("127.0.0.1:", port), func() { unix.Close(fd) }, nil
}

// bindLoopback binds a socket to a port of the kernel's choice. It is never listened on: who does has the port's connections.
func bindLoopback(fd int) (int, error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	return sa.(*unix.SockaddrInet4).Port, nil
}
