package experiment

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	stopLineInterval = 40 * time.Millisecond  // between the lines that a client sends
	stopReadMargin   = 400 * time.Millisecond // for which a client goes on reading after the kill
)

// stopClientKind says how a client sends its OPEN line.
type stopClientKind int

const (
	clientSendsAtOnce  stopClientKind = iota
	clientSendsInParts                // in two parts, with a pause of some milliseconds between them
	clientDisconnects                 // at once; the client closes its connection immediately or shortly afterwards
	clientKindCount
)

// stopClient is a client that sends one request.
type stopClient struct {
	run     *stopRun
	request string
	conn    net.Conn

	mu                sync.Mutex
	established       bool
	moved             bool // the client has received MOVE
	ended             bool
	pendingEchoes     []time.Time // send times of the lines that were not echoed yet
	echoDelayRecorded bool        // an overdue echo was recorded as a violation
}

// runClient connects a client, sends a request and handles it until it ends. again says that the client reconnects after
// MOVE.
func (r *stopRun) runClient(kind stopClientKind, pause time.Duration, again bool) {
	c := &stopClient{run: r, request: r.nextRequest()}
	conn, err := net.Dial("tcp", r.listen)
	if err != nil {
		if r.routesNewClients() {
			r.recorder.recordViolation(requestUnanswered, "request %s: connect: %v", c.request, err)
		}
		return
	}
	c.conn = conn
	defer c.disconnect()
	suffix := ""
	if again {
		suffix = ",again=1"
	}
	line := fmt.Sprintf("OPEN %s %s c=lines,d=%d%s\r\n", c.request, c.request, stopDeadline.Milliseconds(), suffix)
	if !c.sendOpenLine(kind, line, pause) {
		return
	}
	r.updateReport(func(report *stopReport) { report.Requests++ })
	if kind == clientDisconnects {
		time.Sleep(pause)
		if r.scenario.plantedFault == plantLateAttempt {
			r.sendPlantedAttempt(r.servers[stopServers-1], c.request, plantDisconnectDelay)
		}
		return
	}
	c.handleAnswer()
}

// sendOpenLine sends the OPEN line, and reports whether all of it was written.
func (c *stopClient) sendOpenLine(kind stopClientKind, line string, pause time.Duration) bool {
	parts := []string{line}
	if kind == clientSendsInParts {
		parts = []string{line[:len(line)/2], line[len(line)/2:]}
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c.conn, part); err != nil {
			return false // the connection ended before the last byte of the line
		}
	}
	return true
}

// handleAnswer reads the answer to OPEN. It uses an established connection, and expects nothing after BUSY or ERR.
func (c *stopClient) handleAnswer() {
	r := c.run
	_ = c.conn.SetReadDeadline(r.killTime().Add(stopReadMargin)) // the next read reports an error
	lines := bufio.NewReader(c.conn)
	answer, err := lines.ReadString('\n')
	switch {
	case err != nil:
		r.recorder.recordViolation(requestUnanswered, "request %s received %q, then %v", c.request, answer, err)
	case strings.HasPrefix(answer, "UP "):
		r.updateReport(func(report *stopReport) { report.Served++ })
		c.useConnection(lines)
	case strings.HasPrefix(answer, "BUSY"):
		r.updateReport(func(report *stopReport) { report.Rejected++ })
		c.expectNoSecondAnswer(lines)
	case strings.HasPrefix(answer, "ERR"):
		r.updateReport(func(report *stopReport) { report.Failed++ })
		c.expectNoSecondAnswer(lines)
	default:
		r.recorder.recordViolation(requestUnanswered, "request %s received %q, which is not a valid answer", c.request, answer)
	}
}

// expectNoSecondAnswer reads from a connection whose request was answered, and records a violation if anything follows.
func (c *stopClient) expectNoSecondAnswer(lines *bufio.Reader) {
	if rest, _ := lines.ReadString('\n'); rest != "" { // the connection may end with or without an error
		c.run.recorder.recordViolation(answeredTwice, "request %s received %q after its answer", c.request, rest)
	}
}

// useConnection sends lines on an established connection and reads the echoes, until the connection or the run ends. A
// client that received MOVE then reconnects.
func (c *stopClient) useConnection(lines *bufio.Reader) {
	c.run.addEstablishedClient(c)
	c.mu.Lock()
	c.established = true
	c.mu.Unlock()
	done := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() { c.sendLines(done) })
	c.readLines(lines)
	c.mu.Lock()
	c.ended = true
	moved := c.moved
	c.mu.Unlock()
	close(done)
	sender.Wait()
	if moved {
		c.run.updateReport(func(report *stopReport) { report.Moved++ })
		c.disconnect()
		c.run.reconnectClient()
	}
}

func (c *stopClient) sendLines(done <-chan struct{}) {
	ticker := time.NewTicker(stopLineInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		if !c.moved {
			c.pendingEchoes = append(c.pendingEchoes, time.Now())
		}
		c.mu.Unlock()
		if _, err := fmt.Fprintf(c.conn, "L%d\r\n", i); err != nil {
			return
		}
		c.checkEchoDelay()
	}
}

// checkEchoDelay records a violation if the echo of a line is overdue, although the server echoes each line immediately.
func (c *stopClient) checkEchoDelay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.moved || c.ended || c.echoDelayRecorded || len(c.pendingEchoes) == 0 || !c.run.isLastServerServing(c.request) {
		return
	}
	if waited := time.Since(c.pendingEchoes[0]); waited > stopEchoLimit+stopTolerance {
		c.echoDelayRecorded = true
		c.run.recorder.recordViolation(echoDelayed, "request %s: a line has not been echoed for %v", c.request, waited)
	}
}

// readLines reads lines until the connection ends, and handles each.
func (c *stopClient) readLines(lines *bufio.Reader) {
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			c.checkConnectionEnd(line, err)
			return
		}
		switch {
		case line == "MOVE\r\n":
			if c.run.scenario.plantedFault != plantLostMove {
				c.setMoved()
			}
		case strings.HasPrefix(line, "L"):
			c.echoReceived()
		default:
			c.run.recorder.recordViolation(answeredTwice, "request %s received %q on its established connection", c.request, line)
		}
	}
}

func (c *stopClient) setMoved() {
	c.run.recorder.traceEvent("request %s received MOVE", c.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moved = true
	c.pendingEchoes = nil
}

func (c *stopClient) echoReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pendingEchoes) > 0 {
		c.pendingEchoes = c.pendingEchoes[1:]
	}
}

// checkConnectionEnd records a violation if the connection ended without a MOVE that the gateway had to send first.
func (c *stopClient) checkConnectionEnd(rest string, err error) {
	c.mu.Lock()
	moved := c.moved
	c.mu.Unlock()
	var timeout net.Error
	if moved || errors.As(err, &timeout) && timeout.Timeout() || c.run.mayCloseWithoutMove() ||
		!c.run.isLastServerServing(c.request) {
		return
	}
	c.run.recorder.recordViolation(closedWithoutMove, "request %s received %q, then %v", c.request, rest, err)
}

// isOpen reports whether the connection is established and open and has not received MOVE. It asks the kernel for an end
// or for data that the client has not read yet.
func (c *stopClient) isOpen() bool {
	c.mu.Lock()
	stands := c.established && !c.moved && !c.ended
	c.mu.Unlock()
	return stands && !connHasEnded(c.conn) && !connHasUnread(c.conn)
}

// disconnect closes the connection.
func (c *stopClient) disconnect() {
	_ = c.conn.Close() // fails if it is closed already
	c.run.attempts.clientDisconnected(c.request)
}
