package fakeserver

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// ReserveAddress returns a loopback address whose port the kernel does not assign to any other socket until release is
// called. Only a listener that sets SO_REUSEADDR, as net.Listen does, can bind it. A test can therefore start and
// restart a program on this port; a port that was only found free might be taken before the program binds it.
func ReserveAddress() (addr string, release func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("fakeserver: create socket to reserve a loopback address: %w", err)
	}
	release = func() { _ = unix.Close(fd) }
	port, err := bindLoopback(fd)
	if err != nil {
		release()
		return "", nil, fmt.Errorf("fakeserver: bind socket to reserve a loopback address: %w", err)
	}
	return fmt.Sprintf("127.0.0.1:%d", port), release, nil
}

// bindLoopback binds a socket to a loopback port chosen by the kernel and returns the port. The socket must never
// listen, because it would then receive connections that are meant for the program under test.
func bindLoopback(fd int) (port int, err error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, fmt.Errorf("set SO_REUSEADDR: %w", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, fmt.Errorf("bind: %w", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return 0, fmt.Errorf("getsockname: %w", err)
	}
	inet4, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		return 0, fmt.Errorf("getsockname: unexpected address type %T", bound)
	}
	return inet4.Port, nil
}
