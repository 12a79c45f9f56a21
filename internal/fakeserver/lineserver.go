package fakeserver

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"strings"
	"sync"
	"time"
)

// maxLineBytes is the longest accepted line; a client that sends a longer one is disconnected.
const maxLineBytes = 4 << 10

// LineServer is a fake server of the line protocol. It answers OPEN with UP and echoes each line of an established
// connection. It rejects OPEN with BUSY while its capacity is exhausted.
type LineServer struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu           sync.Mutex
	conns        map[net.Conn]struct{}
	capacity     int // maximum of established connections; 0 means unlimited
	established  int
	openedAt     []time.Time // the time at which each connection was established, ascending
	openedByName map[string]int
}

// NewLineServer starts a server on a loopback port chosen by the kernel.
func NewLineServer() (*LineServer, error) { return NewLineServerAt(anyLoopbackPort) }

// NewLineServerAt starts a server on the given address.
func NewLineServerAt(addr string) (*LineServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &LineServer{listener: listener, conns: map[net.Conn]struct{}{}, openedByName: map[string]int{}}
	s.wg.Go(s.accept)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *LineServer) Addr() string { return s.listener.Addr().String() }

// Opened returns the number of connections that were established since the start.
func (s *LineServer) Opened() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.openedAt))
}

// MaxOpenedWithin returns the largest number of connections that were established within any period of the given
// duration, which must be positive.
func (s *LineServer) MaxOpenedWithin(period time.Duration) (maxOpened int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for last, at := range s.openedAt {
		for at.Sub(s.openedAt[first]) >= period {
			first++
		}
		maxOpened = max(maxOpened, last-first+1)
	}
	return maxOpened
}

// OpenedByName returns the number of established connections by the request name that the client sent in OPEN.
func (s *LineServer) OpenedByName() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.openedByName)
}

// SetCapacity limits the number of established connections; 0 means unlimited. Established connections stay.
func (s *LineServer) SetCapacity(connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = connections
}

// Close stops the server, closes all its connections and waits for its goroutines.
func (s *LineServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *LineServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() {
			established := s.serve(conn)
			_ = conn.Close()
			s.remove(conn, established)
		})
	}
}

func (s *LineServer) remove(conn net.Conn, wasEstablished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	if wasEstablished {
		s.established--
	}
}

// serve answers lines until the connection ends, and reports whether the connection was established.
func (s *LineServer) serve(conn net.Conn) (established bool) {
	r := bufio.NewReaderSize(conn, maxLineBytes)
	w := bufio.NewWriter(conn)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return established
		}
		if established {
			_, err = w.Write(line)
		} else {
			established, err = s.answer(w, string(line))
		}
		if err == nil && r.Buffered() == 0 {
			err = w.Flush()
		}
		if err != nil {
			return established
		}
	}
}

// answer handles a line of a connection that is not established yet. It reports whether the line established it.
func (s *LineServer) answer(w io.Writer, line string) (established bool, err error) {
	switch {
	case strings.HasPrefix(line, "OPEN "):
		number, admitted := s.admit(line)
		if !admitted {
			_, err = io.WriteString(w, "BUSY\r\n")
			return false, err
		}
		_, err = fmt.Fprintf(w, "UP r%d\r\n", number)
		return true, err
	case strings.HasPrefix(line, "STATS"):
		_, err = fmt.Fprintf(w, "PONG inflight=%d\r\n", s.connectionCount())
	case strings.HasPrefix(line, "PING"):
		_, err = io.WriteString(w, "PONG\r\n")
	default:
		_, err = io.WriteString(w, "ERR\r\n")
	}
	return false, err
}

// admit counts a connection as established if the server has capacity for it, and returns its number, counted from 1.
func (s *LineServer) admit(line string) (number int, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.capacity > 0 && s.established >= s.capacity {
		return 0, false
	}
	s.established++
	s.openedAt = append(s.openedAt, time.Now())
	if words := strings.Fields(line); len(words) > 1 {
		s.openedByName[words[1]]++
	}
	return len(s.openedAt), true
}

func (s *LineServer) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
