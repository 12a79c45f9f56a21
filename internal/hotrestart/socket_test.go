package hotrestart

import (
	"net"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// copyOf is a copy of a socket's descriptor, as a process inherits it.
func copyOf(t *testing.T, s syscall.Conn) (fd int) {
	t.Helper()
	raw, err := s.SyscallConn()
	if err == nil {
		err = raw.Control(func(f uintptr) { fd, err = unix.Dup(int(f)) })
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	return fd
}

func TestSocket(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	addr := l.Addr().String()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	u, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	good := copyOf(t, l.(syscall.Conn))
	if err := unix.SetNonblock(good, false); err != nil {
		t.Fatal(err)
	}
	const closed = 1 << 15 // no descriptor has this number
	for _, x := range []struct {
		fd   int
		at   string
		want string // of the fault; empty: none
	}{
		{good, addr, ""},
		{closed, addr, "is no socket"},
		{copyOf(t, u.(syscall.Conn)), addr, "is no TCP socket"},
		{copyOf(t, c.(syscall.Conn)), addr, "does not listen"},
		{good, "127.0.0.2" + strings.TrimPrefix(addr, "127.0.0.1"), "listens at"},
		{good, "127.0.0.1:1", "listens at"},
	} {
		err := PrepareListener(x.fd, x.at)
		if (err == nil) != (x.want == "") || err != nil && !strings.Contains(err.Error(), x.want) {
			t.Errorf("descriptor %d for %s: %v, want %q", x.fd, x.at, err, x.want)
		}
	}
	if flags, _ := unix.FcntlInt(uintptr(good), unix.F_GETFL, 0); flags&unix.O_NONBLOCK == 0 {
		t.Error("a passed socket would wait")
	}
}
