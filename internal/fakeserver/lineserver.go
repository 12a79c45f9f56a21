package fakeserver

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// LineServer is a server of lines: it answers OPEN with UP and returns each line of an open connection.
type LineServer struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]*lineConn
	draining bool
	room     int // connections that it holds at the most; 0: without end
	held     int
	times    []time.Time    // of all openings
	names    map[string]int // openings by the client's name for them

	opened atomic.Int64
	late   atomic.Int64
}

type lineConn struct {
	w    *bufio.Writer
	mu   sync.Mutex // of the writer
	open bool
}

// NewLineServer starts a server on a port of loopback that the kernel picks.
func NewLineServer() (*LineServer, error) { return NewLineServerAt("127.0.0.1:0") }

// NewLineServerAt starts a server at an address.
func NewLineServerAt(addr string) (*LineServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &LineServer{listener: l, conns: map[net.Conn]*lineConn{}, names: map[string]int{}}
	s.wg.Go(s.accept)
	return s, nil
}

// Addr is where the server listens.
func (s *LineServer) Addr() string { return s.listener.Addr().String() }

// Open counts the connections that stand.
func (s *LineServer) Open() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.open {
			n++
		}
	}
	return n
}

// Opened counts the connections that ever stood, and Late those that came after Drain.
func (s *LineServer) Opened() int64 { return s.opened.Load() }

// Late counts the openings that came after Drain.
func (s *LineServer) Late() int64 { return s.late.Load() }

// MaxOpenedWithin is the largest number of openings in any span of time.
func (s *LineServer) MaxOpenedWithin(span time.Duration) (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := 0
	for to, at := range s.times {
		for at.Sub(s.times[from]) >= span {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// OpenedByName counts the openings by the client's name for them.
func (s *LineServer) OpenedByName() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.names)
}

// SetCapacity bounds the connections that it holds; it turns away what comes beyond.
func (s *LineServer) SetCapacity(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room = n
}

// Drain turns new connections away and sends those that stand away, one after another.
func (s *LineServer) Drain(between time.Duration) {
	s.mu.Lock()
	s.draining = true
	conns := make(map[net.Conn]*lineConn, len(s.conns))
	for nc, c := range s.conns {
		if c.open {
			conns[nc] = c
		}
	}
	s.mu.Unlock()
	for nc, c := range conns {
		c.mu.Lock()
		c.w.WriteString("MOVE\r\n")
		c.w.Flush()
		c.mu.Unlock()
		nc.Close()
		time.Sleep(between)
	}
}

// Close ends the server with all its connections.
func (s *LineServer) Close() {
	s.listener.Close()
	s.mu.Lock()
	for nc := range s.conns {
		nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *LineServer) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := &lineConn{w: bufio.NewWriter(nc)}
		s.mu.Lock()
		s.conns[nc] = c
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serve(nc, c)
			nc.Close()
			s.mu.Lock()
			delete(s.conns, nc)
			if c.open {
				s.held--
			}
			s.mu.Unlock()
		})
	}
}

func (s *LineServer) serve(nc net.Conn, c *lineConn) {
	r := bufio.NewReaderSize(nc, 4<<10)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		c.mu.Lock()
		switch {
		case c.open:
			c.w.Write(line)
		case strings.HasPrefix(string(line), "OPEN "):
			s.mu.Lock()
			turnedAway := s.draining || s.room > 0 && s.held >= s.room
			if c.open = !turnedAway; c.open {
				s.held++
				s.times = append(s.times, time.Now())
				if words := strings.Fields(string(line)); len(words) > 1 {
					s.names[words[1]]++
				}
			}
			s.mu.Unlock()
			if turnedAway {
				s.late.Add(1)
				c.w.WriteString("BUSY\r\n")
			} else {
				fmt.Fprintf(c.w, "UP r%d\r\n", s.opened.Add(1))
			}
		case strings.HasPrefix(string(line), "STATS"):
			s.mu.Lock()
			n := len(s.conns)
			s.mu.Unlock()
			fmt.Fprintf(c.w, "PONG inflight=%d\r\n", n)
		case strings.HasPrefix(string(line), "PING"):
			c.w.WriteString("PONG\r\n")
		default:
			c.w.WriteString("ERR\r\n")
		}
		if r.Buffered() == 0 {
			err = c.w.Flush()
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}
