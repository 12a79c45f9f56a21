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
	gatewayInboxTag = '!' // first byte of the SIDs that a gateway uses for subscriptions to single requests
)

// NATSEcho is a minimal NATS server for benchmarks. It returns each message that a connection publishes to the latest
// subscription of that connection, and answers a request with the request's payload.
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

// Close stops the server, closes all its connections and waits for its goroutines.
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

// serveEcho handles frames until the connection ends or sends a malformed or too long frame.
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

// echoConn is the protocol state of one connection. It reuses its slices to avoid an allocation per message.
type echoConn struct {
	w          *bufio.Writer
	sid        []byte // of the latest subscription
	inboxSID   []byte // of the latest subscription by a gateway for a single request, which the request follows
	headerLine []byte // buffer for the header line of a frame
}

// handleFrames handles the complete frames in a buffer and returns the remaining bytes.
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
	e.headerLine = codec.AppendMsg(e.headerLine[:0], subject, sid, nil, f.HeaderSize, len(f.Body))
	if _, err := e.w.Write(e.headerLine); err != nil {
		return err
	}
	if _, err := e.w.Write(f.Body); err != nil {
		return err
	}
	_, err := e.w.WriteString("\r\n")
	return err
}
