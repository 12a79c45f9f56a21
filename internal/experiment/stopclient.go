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
	stopLineInterval = 40 * time.Millisecond // between the lines of a client
	stopReadMargin   = 400 * time.Millisecond
)

// stopClientKind is how a client sends its opening line.
type stopClientKind int

const (
	clientWhole  stopClientKind = iota
	clientHalved                // in two parts, some milliseconds apart
	clientLeaves                // it closes its connection right after its line, or a moment later
	clientKinds
)

// stopClient is a client with one request.
type stopClient struct {
	run     *stopRun
	request string
	conn    net.Conn

	mu          sync.Mutex
	established bool
	moved       bool // it was asked to leave
	ended       bool
	unanswered  []time.Time // lines without an echo
	heldBack    bool        // a line was, which was recorded
}

// ask connects and sends a request, and follows it to its end. again marks a client that was moved.
func (r *stopRun) ask(kind stopClientKind, pause time.Duration, again bool) {
	c := &stopClient{run: r, request: r.nextRequest()}
	conn, err := net.Dial("tcp", r.listen)
	if err != nil {
		if r.isFrontOpen() {
			r.recorder.violate(requestUnanswered, "%s can't connect: %v", c.request, err)
		}
		return
	}
	c.conn = conn
	defer c.leave()
	suffix := ""
	if again {
		suffix = ",again=1"
	}
	line := fmt.Sprintf("OPEN %s %s c=lines,d=%d%s\r\n", c.request, c.request, stopDeadline.Milliseconds(), suffix)
	if !c.sendOpening(kind, line, pause) {
		return
	}
	r.count(func(report *stopReport) { report.Requests++ })
	if kind == clientLeaves {
		time.Sleep(pause)
		if r.scenario.plant == plantLateAttempt {
			r.plantAttempt(r.servers[stopServers-1], c.request, plantLeaveDelay)
		}
		return
	}
	c.follow()
}

// sendOpening sends the opening line, and reports whether all of it was taken.
func (c *stopClient) sendOpening(kind stopClientKind, line string, pause time.Duration) bool {
	parts := []string{line}
	if kind == clientHalved {
		parts = []string{line[:len(line)/2], line[len(line)/2:]}
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c.conn, part); err != nil {
			return false // ended before the line's last byte
		}
	}
	return true
}

// follow reads the answer and goes on by it.
func (c *stopClient) follow() {
	r := c.run
	_ = c.conn.SetReadDeadline(r.endAt().Add(stopReadMargin)) // an error shows at the next read
	lines := bufio.NewReader(c.conn)
	answer, err := lines.ReadString('\n')
	switch {
	case err != nil:
		r.recorder.violate(requestUnanswered, "%s got %q, then %v", c.request, answer, err)
	case strings.HasPrefix(answer, "UP "):
		r.count(func(report *stopReport) { report.Served++ })
		c.use(lines)
	case strings.HasPrefix(answer, "BUSY"):
		r.count(func(report *stopReport) { report.Rejected++ })
		c.expectNoMore(lines)
	case strings.HasPrefix(answer, "ERR"):
		r.count(func(report *stopReport) { report.Failed++ })
		c.expectNoMore(lines)
	default:
		r.recorder.violate(requestUnanswered, "%s got %q, which is no answer", c.request, answer)
	}
}

// expectNoMore reads to the end of a connection whose request has its answer.
func (c *stopClient) expectNoMore(lines *bufio.Reader) {
	if rest, _ := lines.ReadString('\n'); rest != "" { // the end may be in any order
		c.run.recorder.violate(answeredTwice, "%s got %q behind its answer", c.request, rest)
	}
}

// use sends lines on an established connection and reads what returns, until the connection or the run ends.
func (c *stopClient) use(lines *bufio.Reader) {
	c.run.addUser(c)
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
		c.run.count(func(report *stopReport) { report.Moved++ })
		c.leave()
		c.run.comeAgain()
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
			c.unanswered = append(c.unanswered, time.Now())
		}
		c.mu.Unlock()
		if _, err := fmt.Fprintf(c.conn, "L%d\r\n", i); err != nil {
			return
		}
		c.checkHeldBack()
	}
}

// checkHeldBack looks whether a line is without its echo for too long, though the server returns each at once.
func (c *stopClient) checkHeldBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.moved || c.ended || c.heldBack || len(c.unanswered) == 0 || !c.run.serverIsSteady(c.request) {
		return
	}
	if waited := time.Since(c.unanswered[0]); waited > stopLineLimit+stopSlack {
		c.heldBack = true
		c.run.recorder.violate(lineHeldBack, "a line of %s is without its echo for %v", c.request, waited)
	}
}

// readLines reads until the connection ends.
func (c *stopClient) readLines(lines *bufio.Reader) {
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			c.connectionEnded(line, err)
			return
		}
		switch {
		case line == "MOVE\r\n":
			if c.run.scenario.plant != plantLostMove {
				c.setMoved()
			}
		case strings.HasPrefix(line, "L"):
			c.echoed()
		default:
			c.run.recorder.violate(answeredTwice, "%s got %q on its connection", c.request, line)
		}
	}
}

func (c *stopClient) setMoved() {
	c.run.recorder.note("%s is moved", c.request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moved = true
	c.unanswered = nil
}

func (c *stopClient) echoed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered) > 0 {
		c.unanswered = c.unanswered[1:]
	}
}

// connectionEnded looks whether an end without MOVE is one that the gateway owed it for.
func (c *stopClient) connectionEnded(rest string, err error) {
	c.mu.Lock()
	moved := c.moved
	c.mu.Unlock()
	var timeout net.Error
	if moved || errors.As(err, &timeout) && timeout.Timeout() || c.run.mayCut() || !c.run.serverIsSteady(c.request) {
		return
	}
	c.run.recorder.violate(cutWithoutMove, "%s got %q, then %v", c.request, rest, err)
}

// isHeld reports whether the connection stands, and was not asked to end, as the kernel knows it.
func (c *stopClient) isHeld() bool {
	c.mu.Lock()
	stands := c.established && !c.moved && !c.ended
	c.mu.Unlock()
	return stands && !hasEnded(c.conn) && !hasUnread(c.conn)
}

// leave closes the connection.
func (c *stopClient) leave() {
	_ = c.conn.Close() // it may be closed
	c.run.attempts.clientLeft(c.request)
}
