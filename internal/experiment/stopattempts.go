package experiment

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stopAttempts records the attempts of requests at all servers and the times at which clients disconnect. It checks that
// no two attempts of a request overlap and that no attempt starts after its client disconnected. Its methods may be called
// from several goroutines.
type stopAttempts struct {
	recorder *stopRecorder

	mu             sync.Mutex
	openAttempts   map[string]*serverAttempt // by request: the latest attempt, while it is open
	disconnectedAt map[string]time.Time      // by request: the time at which the client closed its connection
	lastServers    map[string]int            // by request: the number of the server of the latest attempt
	overlapChecks  sync.WaitGroup
}

// serverAttempt is a connection on which a server has read an OPEN line.
type serverAttempt struct {
	request  string
	server   int
	conn     net.Conn
	answered bool // the server has sent the answer that ends the attempt, or is closing the connection
}

func newStopAttempts(recorder *stopRecorder) *stopAttempts {
	return &stopAttempts{
		recorder: recorder, openAttempts: map[string]*serverAttempt{}, disconnectedAt: map[string]time.Time{},
		lastServers: map[string]int{},
	}
}

// clientDisconnected records that the client of a request has closed its connection.
func (a *stopAttempts) clientDisconnected(request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.disconnectedAt[request] = time.Now()
}

// attemptStarted records an OPEN line that a server has read, and checks the attempt.
func (a *stopAttempts) attemptStarted(request string, server int, conn net.Conn) *serverAttempt {
	now := time.Now()
	attempt := &serverAttempt{request: request, server: server, conn: conn}
	a.recorder.traceEvent("server %d received request %s", server, request)
	a.mu.Lock()
	earlier, disconnectedAt := a.openAttempts[request], a.disconnectedAt[request]
	a.openAttempts[request] = attempt
	a.lastServers[request] = server
	a.mu.Unlock()
	if late := now.Sub(disconnectedAt); !disconnectedAt.IsZero() && late > stopDisconnectLimit+stopTolerance {
		a.recorder.recordViolation(sentAfterDisconnect, "server %d received request %s %v after its client disconnected",
			server, request, late)
	}
	if earlier != nil {
		a.overlapChecks.Go(func() { a.checkOverlap(earlier, attempt) })
	}
	return attempt
}

// checkOverlap records a violation if the earlier attempt is still open after the platform's tolerance.
func (a *stopAttempts) checkOverlap(earlier, later *serverAttempt) {
	time.Sleep(stopTolerance)
	if a.isOpen(earlier) {
		a.recorder.recordViolation(overlappingAttempts, "request %s is at server %d and at server %d",
			later.request, earlier.server, later.server)
	}
}

// isOpen reports whether an attempt is neither answered by the server nor closed by the gateway.
func (a *stopAttempts) isOpen(attempt *serverAttempt) bool {
	a.mu.Lock()
	answered := attempt.answered
	a.mu.Unlock()
	return !answered && !connHasEnded(attempt.conn)
}

// attemptEnded records that a server is about to send the answer that ends the attempt, or to close its connection.
func (a *stopAttempts) attemptEnded(attempt *serverAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt.answered = true
	if a.openAttempts[attempt.request] == attempt {
		delete(a.openAttempts, attempt.request)
	}
}

func (a *stopAttempts) wait() { a.overlapChecks.Wait() }

// lastServer returns the number of the server of a request's latest attempt, or -1 if there was no attempt.
func (a *stopAttempts) lastServer(request string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if server, ok := a.lastServers[request]; ok {
		return server
	}
	return -1
}

// connHasEnded reports whether the peer has ended a connection, or it is closed on this side. It asks the kernel, because
// the goroutine that reads from the connection may lag behind.
func connHasEnded(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	_ = raw.Read(func(fd uintptr) bool { // fails if the connection is closed on this side
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != unix.EAGAIN
		return true
	})
	return ended
}
