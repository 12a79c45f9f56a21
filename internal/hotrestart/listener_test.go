package hotrestart

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

func closeOnCleanup(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
}

// duplicateDescriptor returns a duplicate of a socket's descriptor, which stands for the one that a process inherits.
func duplicateDescriptor(t *testing.T, socket any) (fd int) {
	t.Helper()
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var dupErr error
	if err := raw.Control(func(f uintptr) { fd, dupErr = unix.Dup(int(f)) }); err != nil || dupErr != nil {
		t.Fatal(err, dupErr)
	}
	t.Cleanup(func() {
		if err := unix.Close(fd); err != nil {
			t.Error(err)
		}
	})
	return fd
}

func TestPrepareListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, listener)
	addr := listener.Addr().String()
	_, port, _ := net.SplitHostPort(addr)
	connection, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, connection)
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, packets)
	wildcard, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, wildcard)
	_, wildcardPort, _ := net.SplitHostPort(wildcard.Addr().String())

	valid := duplicateDescriptor(t, listener)
	if err := unix.SetNonblock(valid, false); err != nil {
		t.Fatal(err)
	}
	const closed = 1 << 15 // no open descriptor has this number
	for _, c := range []struct {
		name    string
		fd      int
		address string
		want    string // a part of the error; empty: no error
	}{
		{"the listener", valid, addr, ""},
		{"a listener at all addresses", duplicateDescriptor(t, wildcard), "127.0.0.1:" + wildcardPort, ""},
		{"no descriptor", closed, addr, "is not a socket"},
		{"a UDP socket", duplicateDescriptor(t, packets), addr, "is not a TCP socket"},
		{"a connection", duplicateDescriptor(t, connection), addr, "does not listen"},
		{"another IP", valid, "127.0.0.2:" + port, "listens at"},
		{"another port", valid, "127.0.0.1:1", "listens at"},
		{"a host name", valid, "localhost:" + port, "cannot be compared"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := PrepareListener(c.fd, c.address)
			if c.want == "" {
				if err != nil {
					t.Errorf("PrepareListener: %v", err)
				}
				return
			}
			var listenerErr *ListenerError
			if !errors.As(err, &listenerErr) || listenerErr.FD != c.fd || !strings.Contains(err.Error(), c.want) {
				t.Errorf("PrepareListener: got the error %v, want %q for descriptor %d", err, c.want, c.fd)
			}
		})
	}
	if flags, err := unix.FcntlInt(uintptr(valid), unix.F_GETFL, 0); err != nil || flags&unix.O_NONBLOCK == 0 {
		t.Errorf("got flags %o, %v, want O_NONBLOCK: the inherited listener would block", flags, err)
	}
}
