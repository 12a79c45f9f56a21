package fakeserver_test

import (
	"errors"
	"net"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"

	"example.org/milletvane/internal/fakeserver"
)

func TestReserveAddressKeepsPortExclusive(t *testing.T) {
	addr, release, err := fakeserver.ReserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	if err := bindExclusively(t, addr); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("binding the reserved port without SO_REUSEADDR: got error %v, want %v", err, unix.EADDRINUSE)
	}
	for range 2 { // the program and the one that replaces it
		acceptOneConnection(t, addr)
	}
	release()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatalf("listening after release: %v", err)
	}
	closeOrFail(t, l)
}

// bindExclusively binds the port of addr without SO_REUSEADDR, as the kernel requires of a port that it chooses.
func bindExclusively(t *testing.T, addr string) error {
	t.Helper()
	_, text, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := unix.Close(fd); err != nil {
			t.Error(err)
		}
	}()
	return unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
}

func acceptOneConnection(t *testing.T, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	closeOrFail(t, c)
	closeOrFail(t, l)
}

func closeOrFail(t *testing.T, c interface{ Close() error }) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
