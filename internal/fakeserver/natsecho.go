package fakeserver

import (
	"bufio"
	"net"
	"sync"

	"example.org/milletvane/internal/nats/codec"
)

// NATSEcho is the least NATS server for benchmarks: a connection is given back what it publishes on the subject that it has
// subscribed to last, and a request is answered with its payload.
type NATSEcho struct {
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// NewNATSEcho starts a server on a port of loopback that the kernel picks.
func NewNATSEcho() (*NATSEcho, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &NATSEcho{listener: l, conns: map[net.Conn]struct{}{}}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			s.wg.Go(func() {
				s.serve(c)
				c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			})
		}
	})
	return s, nil
}

// Addr is where the server listens.
func (s *NATSEcho) Addr() string { return s.listener.Addr().String() }

// Close ends the server with all its connections.
func (s *NATSEcho) Close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *NATSEcho) serve(c net.Conn) {
	w := bufio.NewWriterSize(c, 64<<10)
	w.Write(codec.AppendJSON(nil, "INFO", codec.ServerInfo{ID: "echo", Name: "echo", Version: "2.10.0", Headers: true,
		MaxPayload: 1 << 20, Proto: 1}))
	if w.Flush() != nil {
		return
	}
	buf, kept := make([]byte, 128<<10), 0
	var sid, inbox, head []byte
	for {
		n, err := c.Read(buf[kept:])
		if err != nil {
			return
		}
		b := buf[:kept+n]
		for len(b) > 0 {
			f, n, err := codec.Parse(b, codec.Limits{MaxPayload: 64 << 10})
			if err != nil {
				return
			}
			if n == 0 {
				break
			}
			switch f.Op {
			case codec.Ping:
				w.WriteString(codec.PongFrame)
			case codec.Sub:
				if len(f.SID) > 0 && f.SID[0] == '!' {
					inbox = append(inbox[:0], f.SID...) // of a gateway's request; what follows is its message
				} else {
					sid = append(sid[:0], f.SID...)
				}
			case codec.Pub, codec.HPub:
				head = head[:0]
				switch {
				case len(f.Reply) > 0 && len(inbox) > 0:
					head = codec.AppendMsg(head, f.Reply, inbox, nil, f.HeaderSize, len(f.Body))
				case len(f.Reply) > 0:
					head = codec.AppendMsg(head, f.Reply, sid, nil, f.HeaderSize, len(f.Body))
				default:
					head = codec.AppendMsg(head, f.Subject, sid, nil, f.HeaderSize, len(f.Body))
				}
				w.Write(head)
				w.Write(f.Body)
				w.WriteString("\r\n")
			}
			b = b[n:]
		}
		kept = copy(buf, b)
		if kept == len(buf) || w.Flush() != nil {
			return
		}
	}
}
