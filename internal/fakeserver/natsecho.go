package fakeserver

import (
	"bufio"
	"net"
	"sync"

	"example.org/milletvane/internal/nats/codec"
)

const (
	echoReadBytes   = 128 << 10
	echoWriteBytes  = 64 << 10
	echoMaxPayload  = 64 << 10
	gatewayInboxTag = '!' // begins the SIDs of a gateway's subscriptions for single requests
)

// NATSEcho is a minimal NATS server for benchmarks: a connection receives what it publishes on its latest subscription,
// and a request is answered with its payload.
type NATSEcho struct {
	listener net.Listener
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// NewNATSEcho starts a server on a loopback port chosen by the kernel.
func NewNATSEcho() (*NATSEcho, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	s := &NATSEcho{listener: listener, conns: map[net.Conn]struct{}{}}
	s.wg.Go(s.accept)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *NATSEcho) Addr() string { return s.listener.Addr().String() }

// Close ends the server with all its connections and waits for its goroutines.
func (s *NATSEcho) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *NATSEcho) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() {
			serveEcho(conn)
			_ = conn.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.conns, conn)
		})
	}
}

// serveEcho handles frames until the connection ends or sends something that is not understood.
func serveEcho(conn net.Conn) {
	e := echoConn{w: bufio.NewWriterSize(conn, echoWriteBytes)}
	if _, err := e.w.Write(appendServerInfo(nil, "echo", false)); err != nil || e.w.Flush() != nil {
		return
	}
	buf, buffered := make([]byte, echoReadBytes), 0
	for {
		n, err := conn.Read(buf[buffered:])
		if err != nil {
			return
		}
		rest, err := e.handleFrames(buf[:buffered+n])
		if err != nil {
			return
		}
		buffered = copy(buf, rest)
		if buffered == len(buf) || e.w.Flush() != nil {
			return
		}
	}
}

// echoConn is the protocol state of one connection. Its slices are reused, so that a message costs no allocation.
type echoConn struct {
	w        *bufio.Writer
	sid      []byte
	inboxSID []byte // of a gateway's request, whose message follows its subscription
	head     []byte
}

// handleFrames handles the complete frames in a buffer and returns what is left of it.
func (e *echoConn) handleFrames(buf []byte) (rest []byte, err error) {
	for len(buf) > 0 {
		f, n, err := codec.Parse(buf, codec.Limits{MaxPayload: echoMaxPayload})
		if err != nil {
			return nil, err
		}
		if n == 0 {
			break
		}
		if err := e.handle(&f); err != nil {
			return nil, err
		}
		buf = buf[n:]
	}
	return buf, nil
}

func (e *echoConn) handle(f *codec.Frame) (err error) {
	switch f.Op {
	case codec.Ping:
		_, err = e.w.WriteString(codec.PongFrame)
	case codec.Sub:
		if len(f.SID) > 0 && f.SID[0] == gatewayInboxTag {
			e.inboxSID = append(e.inboxSID[:0], f.SID...)
		} else {
			e.sid = append(e.sid[:0], f.SID...)
		}
	case codec.Pub, codec.HPub:
		err = e.echo(f)
	}
	return err
}

func (e *echoConn) echo(f *codec.Frame) error {
	subject, sid := f.Subject, e.sid
	if len(f.Reply) > 0 {
		subject = f.Reply
		if len(e.inboxSID) > 0 {
			sid = e.inboxSID
		}
	}
	e.head = codec.AppendMsg(e.head[:0], subject, sid, nil, f.HeaderSize, len(f.Body))
	if _, err := e.w.Write(e.head); err != nil {
		return err
	}
	if _, err := e.w.Write(f.Body); err != nil {
		return err
	}
	_, err := e.w.WriteString("\r\n")
	return err
}
