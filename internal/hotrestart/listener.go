package hotrestart

import (
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// ListenerError reports that an inherited descriptor is not the listening socket that the gateway needs. The process manager
// must pass a TCP socket that listens at the configured address.
type ListenerError struct {
	FD      int
	Problem string // the predicate of a sentence whose subject is the descriptor
	Err     error  // of the system call that failed; nil: none failed
}

func (e *ListenerError) Error() string {
	text := fmt.Sprintf("descriptor %d %s", e.FD, e.Problem)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the system call's error.
func (e *ListenerError) Unwrap() error { return e.Err }

// PrepareListener checks that a descriptor is a TCP socket that listens at an address, given as IP:port, and prepares it for
// a reactor. Other processes share the open file description, so PrepareListener sets only non-blocking mode on it, which all
// of them need. It sets close-on-exec on the descriptor, which is not shared. All errors are of type *ListenerError.
func PrepareListener(fd int, address string) error {
	if err := checkListens(fd); err != nil {
		return err
	}
	if err := checkAddress(fd, address); err != nil {
		return err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return &ListenerError{FD: fd, Problem: "cannot be made non-blocking", Err: err}
	}
	unix.CloseOnExec(fd)
	return nil
}

// checkListens checks that a descriptor is a listening TCP socket.
func checkListens(fd int) error {
	socketType, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil {
		return &ListenerError{FD: fd, Problem: "is not a socket", Err: err}
	}
	protocol, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_PROTOCOL)
	isTCP := protocol == unix.IPPROTO_TCP || protocol == unix.IPPROTO_MPTCP
	if err != nil || socketType != unix.SOCK_STREAM || !isTCP {
		return &ListenerError{FD: fd, Problem: "is not a TCP socket", Err: err}
	}
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listens == 0 {
		return &ListenerError{FD: fd, Problem: "does not listen", Err: err}
	}
	return nil
}

// checkAddress checks that a socket listens at an address, or at all addresses of the host on the same port.
func checkAddress(fd int, address string) error {
	local, err := localAddress(fd)
	if err != nil {
		return &ListenerError{FD: fd, Problem: "has no local address", Err: err}
	}
	want, err := netip.ParseAddrPort(address)
	if err != nil {
		return &ListenerError{FD: fd, Problem: fmt.Sprintf("cannot be compared: listen is %q, want IP:port", address)}
	}
	sameIP := local.Addr() == want.Addr().Unmap() || local.Addr().IsUnspecified()
	if local.Port() != want.Port() || !sameIP {
		return &ListenerError{FD: fd, Problem: fmt.Sprintf("listens at %v, want %v", local, want)}
	}
	return nil
}

var errNotIPSocket = errors.New("not an IPv4 or IPv6 socket")

func localAddress(fd int) (netip.AddrPort, error) {
	name, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	switch a := name.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), nil
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)), nil
	}
	return netip.AddrPort{}, errNotIPSocket
}
