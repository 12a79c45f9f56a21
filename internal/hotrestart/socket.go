// Package hotrestart is what one process of a gateway passes to the next while both run: the clients' listening socket,
// and what was learned. It decides nothing of either.
package hotrestart

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// PrepareListener checks that a descriptor is what the platform should have passed, a TCP socket that listens at the address, and
// makes it fit for a reactor. The open file is shared with other processes: it is set not to wait, which all of them
// want, and nothing else of it is changed.
func PrepareListener(fd int, listen string) error {
	kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil {
		return fmt.Errorf("descriptor %d is no socket: %w", fd, err)
	}
	protocol, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_PROTOCOL)
	if err != nil || kind != unix.SOCK_STREAM || protocol != unix.IPPROTO_TCP && protocol != unix.IPPROTO_MPTCP {
		return fmt.Errorf("descriptor %d is no TCP socket", fd)
	}
	if listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listens == 0 {
		return fmt.Errorf("descriptor %d does not listen", fd)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return fmt.Errorf("descriptor %d: %w", fd, err)
	}
	var at netip.AddrPort
	switch a := name.(type) {
	case *unix.SockaddrInet4:
		at = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		at = netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	want, err := netip.ParseAddrPort(listen)
	if err != nil {
		return fmt.Errorf("descriptor %d: listen is %q, not an address that can be compared", fd, listen)
	}
	if at.Port() != want.Port() || at.Addr() != want.Addr().Unmap() && !at.Addr().IsUnspecified() {
		return fmt.Errorf("descriptor %d listens at %v, not at %v", fd, at, want)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return fmt.Errorf("descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	return nil
}
