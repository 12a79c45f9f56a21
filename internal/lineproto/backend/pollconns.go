package backend

import (
	"bufio"
	"container/list"
	"net"
	"sync"
	"time"

	"example.org/milletvane/internal/lineproto/codec"
)

// maxPollConns bounds the connections of load polls. They share the descriptors that the program sets aside with
// connections that are accepted and not admitted yet.
const maxPollConns = 12

// descriptorCounter counts descriptors that are opened outside a reactor.Group towards the group's budget.
type descriptorCounter interface {
	ReserveDescriptor()
	ReleaseDescriptor()
}

// uncounted is a descriptorCounter without a budget.
type uncounted struct{}

func (uncounted) ReserveDescriptor() {}
func (uncounted) ReleaseDescriptor() {}

// pollConn is a connection to a server for its load polls.
type pollConn struct {
	net.Conn
	reader *bufio.Reader
}

// pollConns holds the connections of load polls. A poll that needs a new one while maxPollConns are open has the one that has
// been idle longest closed, or waits until another poll is over. Its methods may be called by any goroutine.
type pollConns struct {
	descriptors descriptorCounter

	mu      sync.Mutex
	idle    list.List // of *idleConn, the one that has been idle longest first
	idleOf  map[*loadPoller]*list.Element
	open    int
	changed sync.Cond // signalled when a connection becomes idle or is closed
}

// idleConn is a connection that is kept for its poller's next poll.
type idleConn struct {
	poller *loadPoller
	conn   *pollConn
}

func newPollConns() *pollConns {
	p := &pollConns{descriptors: uncounted{}, idleOf: map[*loadPoller]*list.Element{}}
	p.changed.L = &p.mu
	return p
}

// get returns the poller's connection, which belongs to the caller until put or closeConn. isReused says that it was used
// before, so that its server may have closed it.
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
	element := p.idleOf[poller]
	if element == nil {
		return nil
	}
	return p.removeIdle(element)
}

// removeIdle is called with the lock held.
func (p *pollConns) removeIdle(element *list.Element) *pollConn {
	removed := p.idle.Remove(element).(*idleConn)
	delete(p.idleOf, removed.poller)
	return removed.conn
}

// reserve waits until a connection may be opened.
func (p *pollConns) reserve() {
	p.mu.Lock()
	for p.open >= maxPollConns && p.idle.Len() == 0 {
		p.changed.Wait()
	}
	var evicted *pollConn
	if p.open >= maxPollConns {
		evicted = p.removeIdle(p.idle.Front())
	} else {
		p.open++
	}
	p.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close() // nothing is pending on it
		return              // its descriptor is counted on
	}
	p.descriptors.ReserveDescriptor()
}

// put keeps a connection for the poller's next poll.
func (p *pollConns) put(poller *loadPoller, conn *pollConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleOf[poller] = p.idle.PushBack(&idleConn{poller: poller, conn: conn})
	p.changed.Signal()
}

// closeConn closes a connection that get has returned.
func (p *pollConns) closeConn(conn *pollConn) {
	_ = conn.Close() // nothing sent on it is of use any more
	p.release()
}

func (p *pollConns) release() {
	p.descriptors.ReleaseDescriptor()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.changed.Signal()
}

// forget closes the connection that is kept for a poller, if there is one.
func (p *pollConns) forget(poller *loadPoller) {
	if conn := p.takeIdle(poller); conn != nil {
		p.closeConn(conn)
	}
}

// exchange sends STATS and reads the answer.
func (c *pollConn) exchange() (report []byte, err error) {
	_ = c.SetDeadline(time.Now().Add(pollTimeout)) // on a closed connection; the write then fails too
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
