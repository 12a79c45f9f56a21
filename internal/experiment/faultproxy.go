package experiment

import (
	"bytes"
	"net"
	"sync"

	"example.org/milletvane/internal/nats/codec"
)

// streamFault is the fault that a faultProxy applies to one message of a stream.
type streamFault string

const (
	faultNone   streamFault = ""
	faultDouble streamFault = "double"
	faultLose   streamFault = "lose"
)

// copies returns the number of times that a message is forwarded.
func (f streamFault) copies() int {
	switch f {
	case faultDouble:
		return 2
	case faultLose:
		return 0
	default:
		return 1
	}
}

// faultProxy is a proxy between clients and a gateway. It forwards everything unchanged, except that a fault can be planted
// in the next stream message to a client.
type faultProxy struct {
	listener   net.Listener
	serverAddr string
	wg         sync.WaitGroup
	mu         sync.Mutex
	fault      streamFault // applied to the next stream message
	conns      []net.Conn
}

func startFaultProxy(serverAddr string) (*faultProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &faultProxy{listener: listener, serverAddr: serverAddr}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *faultProxy) addr() string { return p.listener.Addr().String() }

// setFault sets the fault that is applied to the next stream message.
func (p *faultProxy) setFault(fault streamFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

func (p *faultProxy) takeFault() streamFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault := p.fault
	p.fault = faultNone
	return fault
}

func (p *faultProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for _, conn := range p.conns {
		closeQuietly(conn)
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *faultProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.serverAddr)
		if err != nil {
			closeQuietly(client)
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		p.wg.Go(func() { copyConn(server, client) })
		p.wg.Go(func() { p.forwardFrames(client, server) })
	}
}

// forwardFrames forwards the frames that the gateway sends, until either connection ends.
func (p *faultProxy) forwardFrames(client, server net.Conn) {
	defer closeQuietly(server)
	defer closeQuietly(client)
	buf := make([]byte, 64<<10)
	var pending []byte
	for {
		n, err := server.Read(buf)
		if err != nil {
			return
		}
		out, rest, err := p.apply(append(pending, buf[:n]...))
		if err != nil {
			return
		}
		pending = bytes.Clone(rest)
		if _, err := client.Write(out); err != nil {
			return
		}
	}
}

// apply returns the complete frames of a buffer with the planted fault applied, and the remaining bytes.
func (p *faultProxy) apply(in []byte) (out, rest []byte, err error) {
	for len(in) > 0 {
		f, n, err := codec.Parse(in, codec.Limits{})
		if err != nil {
			return nil, nil, err
		}
		if n == 0 {
			break
		}
		copies := 1
		if f.Op == codec.Msg && bytes.HasPrefix(f.Subject, []byte("stream.")) {
			copies = p.takeFault().copies()
		}
		for range copies {
			out = append(out, f.Raw...)
		}
		in = in[n:]
	}
	return out, in, nil
}
