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

// stopServer is a server of the line protocol whose behaviour can be changed.
type stopServer struct {
	number   int
	listener net.Listener
	recorder *stopRecorder
	attempts *stopAttempts
	tasks    sync.WaitGroup

	answersTwice bool // planted fault: the server sends a second answer

	mu           sync.Mutex
	behaviour    serverBehaviour
	conns        map[net.Conn]*stopServerConn
	drainKnownAt time.Time // time since which the gateway knows of the drain; zero means that it does not
	openLines    int       // number of OPEN lines answered so far; its parity decides which split answers are completed
}

// stopServerConn is a connection to the server.
type stopServerConn struct {
	established    bool
	closedByServer bool // the server has closed its side
}

func newStopServer(number int, recorder *stopRecorder, attempts *stopAttempts) (*stopServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &stopServer{
		number: number, listener: l, recorder: recorder, attempts: attempts, behaviour: serverSteady,
		conns: map[net.Conn]*stopServerConn{},
	}
	s.tasks.Go(s.accept)
	return s, nil
}

func (s *stopServer) addr() string { return s.listener.Addr().String() }

func (s *stopServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

// setBehaviour changes the behaviour. A server that starts to drain sends MOVE on its established connections.
func (s *stopServer) setBehaviour(b serverBehaviour) {
	s.recorder.traceEvent("server %d %s", s.number, b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
	if b != serverDrains {
		return
	}
	for conn, c := range s.conns {
		if c.established {
			c.closedByServer = true
			_, _ = io.WriteString(conn, "MOVE\r\n") // fails if the connection has ended
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}
}

// drainKnown records that the gateway holds the endpoint list in which the server drains.
func (s *stopServer) drainKnown() {
	s.recorder.traceEvent("the gateway knows that server %d drains", s.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainKnownAt = time.Now()
}

func (s *stopServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		c := &stopServerConn{}
		s.conns[conn] = c
		s.mu.Unlock()
		s.tasks.Go(func() {
			s.serve(conn, c)
			_ = conn.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.conns, conn)
		})
	}
}

func (s *stopServer) serve(conn net.Conn, c *stopServerConn) {
	lines := bufio.NewReader(conn)
	line, err := lines.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "OPEN ") {
		return
	}
	words := strings.Fields(line)
	if len(words) < 2 {
		return
	}
	request := words[1]
	s.checkDrainGrace(request)
	attempt := s.attempts.attemptStarted(request, s.number, conn)
	defer s.attempts.attemptEnded(attempt)
	if s.answerOpen(conn, attempt) {
		s.mu.Lock()
		c.established = true
		s.mu.Unlock()
		s.echo(conn, lines)
	}
}

// checkDrainGrace records a violation if a request arrives after the drain grace.
func (s *stopServer) checkDrainGrace(request string) {
	s.mu.Lock()
	drainKnownAt := s.drainKnownAt
	s.mu.Unlock()
	if late := time.Since(drainKnownAt); !drainKnownAt.IsZero() && late > stopDrainGrace+stopTolerance {
		s.recorder.recordViolation(sentToDraining, "server %d received request %s %v after the gateway knew of its drain",
			s.number, request, late)
	}
}

// answerOpen answers an OPEN line according to the behaviour, and reports whether the connection is established.
func (s *stopServer) answerOpen(conn net.Conn, attempt *serverAttempt) bool {
	s.mu.Lock()
	behaviour := s.behaviour
	s.openLines++
	completes := s.openLines%2 == 0
	s.mu.Unlock()
	switch behaviour {
	case serverHangs:
		_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
		return false
	case serverResets:
		s.attempts.attemptEnded(attempt)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case serverRejects, serverDrains:
		s.attempts.attemptEnded(attempt)
		_, _ = io.WriteString(conn, "BUSY\r\n") // fails if the gateway has closed the connection
		return false
	case serverSplitsAnswers:
		return s.answerInParts(conn, completes)
	}
	answer := fmt.Sprintf("UP r%d\r\n", s.number)
	if s.answersTwice {
		answer += "BUSY\r\n"
	}
	_, err := io.WriteString(conn, answer)
	return err == nil
}

// answerInParts sends the first part of an answer, and the rest after a quarter of the deadline or never.
func (s *stopServer) answerInParts(conn net.Conn, completes bool) bool {
	if _, err := io.WriteString(conn, "UP "); err != nil {
		return false
	}
	if !completes {
		_, _ = io.Copy(io.Discard, conn)
		return false
	}
	time.Sleep(stopDeadline / 4)
	_, err := io.WriteString(conn, "r\r\n")
	return err == nil
}

// echo echoes each line until the connection ends. While the server hangs, it reads lines and does not echo them.
func (s *stopServer) echo(conn net.Conn, lines *bufio.Reader) {
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		s.mu.Lock()
		hangs := s.behaviour == serverHangs
		s.mu.Unlock()
		if hangs {
			continue
		}
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
	}
}

// isServing reports whether the server keeps its connections and echoes each line: it neither hangs nor drains.
func (s *stopServer) isServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour != serverHangs && s.behaviour != serverDrains
}

// sendAsGateway sends an OPEN line to the server, as a faulty gateway would, and closes the connection when until is
// closed.
func (s *stopServer) sendAsGateway(request string, until <-chan struct{}) error {
	conn, err := net.Dial("tcp", s.addr())
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "OPEN %s 0a c=lines,d=600\r\n", request); err != nil {
		return errors.Join(err, conn.Close())
	}
	<-until
	return conn.Close()
}
