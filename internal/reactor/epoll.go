package reactor

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// pollEvents takes the events that are ready without waiting. The runtime need not be notified of a call that doesn't block,
// hence the raw system call.
func pollEvents(epoll int, events []unix.EpollEvent) int {
	n, _, errno := syscall.RawSyscall6(unix.SYS_EPOLL_PWAIT, uintptr(epoll),
		uintptr(unsafe.Pointer(&events[0])), uintptr(len(events)), 0, 0, 0)
	return eventCount(n, errno)
}

// waitEvents waits until an event is ready.
func waitEvents(epoll int, events []unix.EpollEvent) int {
	const noTimeout = ^uintptr(0)
	n, _, errno := syscall.Syscall6(unix.SYS_EPOLL_PWAIT, uintptr(epoll),
		uintptr(unsafe.Pointer(&events[0])), uintptr(len(events)), noTimeout, 0, 0)
	return eventCount(n, errno)
}

func eventCount(n uintptr, errno syscall.Errno) int {
	if errno != 0 {
		return 0
	}
	return int(n)
}

// readFD reads into b, which must not be empty, from a non-blocking descriptor.
func readFD(fd int, b []byte) (int, syscall.Errno) {
	n, _, errno := syscall.RawSyscall(unix.SYS_READ, uintptr(fd), uintptr(unsafe.Pointer(&b[0])), uintptr(len(b)))
	if errno != 0 {
		return 0, errno
	}
	return int(n), 0
}

// isRetryable reports whether a read failed only for the moment.
func isRetryable(errno syscall.Errno) bool { return errno == unix.EAGAIN || errno == unix.EINTR }

// closeFD closes a descriptor. Linux frees it also if close fails, so that nothing is left to do then.
func closeFD(fd int) { _ = unix.Close(fd) }

// setNoDelay turns Nagle's algorithm off. Without it the connection works all the same, if slower.
func setNoDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }
