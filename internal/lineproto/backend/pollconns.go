package backend

import (
	"bufio"
	"container/list"
	"net"
	"sync"
	"time"

	"example.org/milletvane/internal/lineproto/codec"
)

// maxPollConns limits the connections of load polls. They take their descriptors from those that the program reserves for
// them and for connections that are accepted and not admitted yet.
const maxPollConns = 12

// descriptorCounter counts descriptors that are opened outside a reactor.Group towards the group's budget.
type descriptorCounter interface {
	ReserveDescriptor()
	ReleaseDescriptor()
}

// noopCounter is a descriptorCounter that counts nothing.
type noopCounter struct{}

func (noopCounter) ReserveDescriptor() {}
func (noopCounter) ReleaseDescriptor() {}

// pollConn is a connection to a server for load polls.
type pollConn struct {
	net.Conn
	reader *bufio.Reader
}

// pollConns holds the connections of load polls. If a poll needs a new connection while maxPollConns are open, the one that
// has been idle longest is closed, or the poll waits until another poll has ended. The methods may be called by any
// goroutine.
type pollConns struct {
	descriptors descriptorCounter

	mu           sync.Mutex
	idle         list.List // of *idleConn, longest idle first
	idleByPoller map[*loadPoller]*list.Element
	openCount    int
	available    sync.Cond // signaled when a connection becomes idle or is closed
}

// idleConn is a connection that is kept for the next poll of a poller.
type idleConn struct {
	poller *loadPoller
	conn   *pollConn
}

func newPollConns() *pollConns {
	p := &pollConns{descriptors: noopCounter{}, idleByPoller: map[*loadPoller]*list.Element{}}
	p.available.L = &p.mu
	return p
}

// get returns the poller's idle connection or dials a new one. The caller owns the connection until it calls put or
// closeConn. isReused is true for a connection that was used before, which its server may have closed.
func (p *pollConns) get(poller *loadPoller) (conn *pollConn, isReused bool, err error) {
	if conn := p.takeIdle(poller); conn != nil {
		return conn, true, nil
	}
	p.reserve()
	dialed, err := net.DialTimeout("tcp", poller.addr, pollTimeout)
	if err != nil {
		p.release()
		return nil, false, err
	}
	return &pollConn{Conn: dialed, reader: bufio.NewReaderSize(dialed, codec.MaxLineLength)}, false, nil
}

func (p *pollConns) takeIdle(poller *loadPoller) *pollConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	element := p.idleByPoller[poller]
	if element == nil {
		return nil
	}
	return p.removeIdle(element)
}

// removeIdle removes an idle connection and returns it. The caller holds mu.
func (p *pollConns) removeIdle(element *list.Element) *pollConn {
	removed := p.idle.Remove(element).(*idleConn)
	delete(p.idleByPoller, removed.poller)
	return removed.conn
}

// reserve waits until a connection may be opened, and counts it. If maxPollConns are open, it closes an idle
// connection instead, and the new connection takes over the place of that one in the counts.
func (p *pollConns) reserve() {
	p.mu.Lock()
	for p.openCount >= maxPollConns && p.idle.Len() == 0 {
		p.available.Wait()
	}
	var evicted *pollConn
	if p.openCount >= maxPollConns {
		evicted = p.removeIdle(p.idle.Front())
	} else {
		p.openCount++
	}
	p.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close() // idle, so no answer is pending on it
		return              // the new connection takes over its count
	}
	p.descriptors.ReserveDescriptor()
}

// put keeps a connection for the poller's next poll.
func (p *pollConns) put(poller *loadPoller, conn *pollConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleByPoller[poller] = p.idle.PushBack(&idleConn{poller: poller, conn: conn})
	p.available.Signal()
}

// closeConn closes a connection that get has returned.
func (p *pollConns) closeConn(conn *pollConn) {
	_ = conn.Close() // the error is ignored, because nothing on the connection is needed any more
	p.release()
}

func (p *pollConns) release() {
	p.descriptors.ReleaseDescriptor()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
	p.available.Signal()
}

// forget closes the idle connection of a poller if there is one.
func (p *pollConns) forget(poller *loadPoller) {
	if conn := p.takeIdle(poller); conn != nil {
		p.closeConn(conn)
	}
}

// exchange sends STATS and returns the load report of the answer. The report is valid until the next exchange.
func (c *pollConn) exchange() (report []byte, err error) {
	// SetDeadline fails only on a closed connection, where the write fails too.
	_ = c.SetDeadline(time.Now().Add(pollTimeout))
	if _, err := c.Write([]byte(codec.Stats)); err != nil {
		return nil, err
	}
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	report, ok := codec.ParsePong(line)
	if !ok {
		return nil, errNoReport
	}
	return report, nil
}
