package experiment

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stopAttempts follows the attempts of requests at all servers, and the clients that they are made for. Its methods may be
// called from several goroutines.
type stopAttempts struct {
	recorder *stopRecorder

	mu     sync.Mutex
	open   map[string]*serverAttempt // by request: the one that is out
	leftAt map[string]time.Time      // by request: when its client closed its connection
	last   map[string]int            // by request: the server of its last attempt
	checks sync.WaitGroup
}

// serverAttempt is a connection on which a server has read an opening line.
type serverAttempt struct {
	request  string
	server   int
	conn     net.Conn
	answered bool // with an answer after which it is over
}

func newStopAttempts(recorder *stopRecorder) *stopAttempts {
	return &stopAttempts{recorder: recorder, open: map[string]*serverAttempt{}, leftAt: map[string]time.Time{}, last: map[string]int{}}
}

// clientLeft is called when a client has closed its connection.
func (a *stopAttempts) clientLeft(request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leftAt[request] = time.Now()
}

// begin is called with each opening line that a server reads.
func (a *stopAttempts) begin(request string, server int, conn net.Conn) *serverAttempt {
	now := time.Now()
	attempt := &serverAttempt{request: request, server: server, conn: conn}
	a.recorder.note("server %d got %s", server, request)
	a.mu.Lock()
	earlier, leftAt := a.open[request], a.leftAt[request]
	a.open[request] = attempt
	a.last[request] = server
	a.mu.Unlock()
	if late := now.Sub(leftAt); !leftAt.IsZero() && late > stopLeaveLimit+stopSlack {
		a.recorder.violate(sentAfterLeaving, "server %d got %s %v after its client left", server, request, late)
	}
	if earlier != nil {
		a.checks.Go(func() { a.checkOverlap(earlier, attempt) })
	}
	return attempt
}

// checkOverlap looks whether the earlier attempt is still out once the platform's slack has passed.
func (a *stopAttempts) checkOverlap(earlier, later *serverAttempt) {
	time.Sleep(stopSlack)
	if a.isOut(earlier) {
		a.recorder.violate(overlappingAttempts, "%s is at server %d and at server %d", later.request, earlier.server, later.server)
	}
}

// isOut reports whether an attempt is neither answered nor given up.
func (a *stopAttempts) isOut(attempt *serverAttempt) bool {
	a.mu.Lock()
	answered := attempt.answered
	a.mu.Unlock()
	return !answered && !hasEnded(attempt.conn)
}

// answer is called before a server sends an answer after which the attempt is over, or closes its connection.
func (a *stopAttempts) answer(attempt *serverAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt.answered = true
	if a.open[attempt.request] == attempt {
		delete(a.open, attempt.request)
	}
}

func (a *stopAttempts) wait() { a.checks.Wait() }

// serverOf returns the server of a request's last attempt; -1: there was none.
func (a *stopAttempts) serverOf(request string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if server, ok := a.last[request]; ok {
		return server
	}
	return -1
}

// hasEnded reports whether the peer of a connection has ended it, as the kernel knows it: the goroutine that reads may be late.
func hasEnded(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	_ = raw.Read(func(fd uintptr) bool { // an error: it is closed on this side
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != unix.EAGAIN
		return true
	})
	return ended
}
