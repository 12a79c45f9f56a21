package fakeserver_test

import (
	"errors"
	"net"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"

	"example.org/milletvane/internal/fakeserver"
)

// A reserved address is for who is told it: the kernel gives its port to no connection and to nobody who takes any.
func TestReservedAddressesAreNobodyElses(t *testing.T) {
	addr, release, err := fakeserver.ReserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := net.SplitHostPort(addr)
	port, _ := strconv.Atoi(text)
	// As the kernel looks when it chooses: a port that is bound by who does not share it is not free.
	taken := func() error {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer unix.Close(fd)
		return unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err := taken(); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("another could have the reserved port: %v", err)
	}
	for range 2 { // a program, and the one after it
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		l.Close()
	}
	release()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal("not given back: ", err)
	}
	l.Close()
}
