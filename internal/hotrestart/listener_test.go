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

func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
}

// inherited is a copy of a socket's descriptor, as a process inherits it.
func inherited(t *testing.T, socket any) (fd int) {
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
	closeAtEnd(t, listener)
	addr := listener.Addr().String()
	_, port, _ := net.SplitHostPort(addr)
	connection, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, connection)
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, packets)
	everywhere, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, everywhere)
	_, everywherePort, _ := net.SplitHostPort(everywhere.Addr().String())

	good := inherited(t, listener)
	if err := unix.SetNonblock(good, false); err != nil {
		t.Fatal(err)
	}
	const closed = 1 << 15 // no descriptor has this number
	for _, c := range []struct {
		name    string
		fd      int
		address string
		want    string // of the error; empty: none
	}{
		{"the listener", good, addr, ""},
		{"a listener at all addresses", inherited(t, everywhere), "127.0.0.1:" + everywherePort, ""},
		{"no descriptor", closed, addr, "is no socket"},
		{"a UDP socket", inherited(t, packets), addr, "is no TCP socket"},
		{"a connection", inherited(t, connection), addr, "does not listen"},
		{"another IP", good, "127.0.0.2:" + port, "listens at"},
		{"another port", good, "127.0.0.1:1", "listens at"},
		{"a host name", good, "localhost:" + port, "can't be compared"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := PrepareListener(c.fd, c.address)
			if c.want == "" {
				if err != nil {
					t.Errorf("PrepareListener: %v", err)
				}
				return
			}
			var wrong *ListenerError
			if !errors.As(err, &wrong) || wrong.FD != c.fd || !strings.Contains(err.Error(), c.want) {
				t.Errorf("PrepareListener: %v, want %q of descriptor %d", err, c.want, c.fd)
			}
		})
	}
	if flags, err := unix.FcntlInt(uintptr(good), unix.F_GETFL, 0); err != nil || flags&unix.O_NONBLOCK == 0 {
		t.Errorf("flags %o, %v: an inherited listener would block", flags, err)
	}
}
