package reactor

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// pollEvents returns the number of events that are ready, without waiting for any. The raw system call skips the
// notification of the runtime's scheduler, which a call that doesn't block doesn't need.
func pollEvents(epoll int, events []unix.EpollEvent) int {
	n, _, errno := syscall.RawSyscall6(unix.SYS_EPOLL_PWAIT, uintptr(epoll),
		uintptr(unsafe.Pointer(&events[0])), uintptr(len(events)), 0, 0, 0)
	return eventCount(n, errno)
}

// waitEvents waits until at least one event is ready and returns the number of events. It returns 0 if the call was
// interrupted.
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

// readFD reads from a non-blocking descriptor into b, which must not be empty.
func readFD(fd int, b []byte) (int, syscall.Errno) {
	n, _, errno := syscall.RawSyscall(unix.SYS_READ, uintptr(fd), uintptr(unsafe.Pointer(&b[0])), uintptr(len(b)))
	if errno != 0 {
		return 0, errno
	}
	return int(n), 0
}

// isRetryable reports whether a read failed only temporarily and may be repeated.
func isRetryable(errno syscall.Errno) bool { return errno == unix.EAGAIN || errno == unix.EINTR }

// closeFD closes a descriptor. Linux frees the descriptor even if close fails, so the error is ignored.
func closeFD(fd int) { _ = unix.Close(fd) }

// setNoDelay turns Nagle's algorithm off. The error is ignored, since the connection still works with the algorithm, only
// slower.
func setNoDelay(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) }
