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

// stopServer is a server of the line protocol that changes its behaviour at some moment.
type stopServer struct {
	number   int
	listener net.Listener
	recorder *stopRecorder
	attempts *stopAttempts
	tasks    sync.WaitGroup

	answersTwice bool // a planted fault

	mu        sync.Mutex
	behaviour stopBehaviour
	conns     map[net.Conn]*stopServerConn
	toldAt    time.Time // when the gateway was told that it drains; zero: it was not
	halves    int       // answers that were sent in parts
}

// stopServerConn is a connection to the server.
type stopServerConn struct {
	established bool
	endedHere   bool // by the server
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

// change takes up a behaviour. A server that drains asks those that it serves to leave.
func (s *stopServer) change(b stopBehaviour) {
	s.recorder.note("server %d %s", s.number, b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
	if b != serverDrains {
		return
	}
	for conn, c := range s.conns {
		if c.established {
			c.endedHere = true
			_, _ = io.WriteString(conn, "MOVE\r\n") // it may have ended
			_ = conn.(*net.TCPConn).CloseWrite()
		}
	}
}

// told is called when the gateway has the list that says that the server drains.
func (s *stopServer) told() {
	s.recorder.note("server %d drains, and the gateway knows it", s.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toldAt = time.Now()
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
	s.checkDrain(request)
	attempt := s.attempts.begin(request, s.number, conn)
	defer s.attempts.answer(attempt)
	if s.answerOpen(conn, attempt) {
		s.mu.Lock()
		c.established = true
		s.mu.Unlock()
		s.echo(conn, lines)
	}
}

// checkDrain looks whether a request comes after the grace of a drain.
func (s *stopServer) checkDrain(request string) {
	s.mu.Lock()
	toldAt := s.toldAt
	s.mu.Unlock()
	if late := time.Since(toldAt); !toldAt.IsZero() && late > stopDrainGrace+stopSlack {
		s.recorder.violate(sentToDraining, "server %d got %s %v after the gateway knew that it drains", s.number, request, late)
	}
}

// answerOpen answers an opening line by the behaviour, and reports whether the connection is established.
func (s *stopServer) answerOpen(conn net.Conn, attempt *serverAttempt) bool {
	s.mu.Lock()
	behaviour := s.behaviour
	s.halves++
	completes := s.halves%2 == 0
	s.mu.Unlock()
	switch behaviour {
	case serverHangs:
		_, _ = io.Copy(io.Discard, conn) // until the gateway gives up
		return false
	case serverResets:
		s.attempts.answer(attempt)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case serverRejects, serverDrains:
		s.attempts.answer(attempt)
		_, _ = io.WriteString(conn, "BUSY\r\n") // the gateway may have gone
		return false
	case serverHalves:
		return s.answerInHalves(conn, completes)
	}
	answer := fmt.Sprintf("UP r%d\r\n", s.number)
	if s.answersTwice {
		answer += "BUSY\r\n"
	}
	_, err := io.WriteString(conn, answer)
	return err == nil
}

// answerInHalves sends half a line, and the rest a moment later or never.
func (s *stopServer) answerInHalves(conn net.Conn, completes bool) bool {
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

// echo returns each line. A server that hangs reads them and returns nothing.
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

// isSteady reports whether the server has answered everything so far.
func (s *stopServer) isSteady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour != serverHangs && s.behaviour != serverDrains
}

// sendAsAGateway sends an opening line to the server as a faulty gateway would.
func (s *stopServer) sendAsAGateway(request string, until <-chan struct{}) error {
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
