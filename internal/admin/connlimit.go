package admin

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxConnections bounds the connections to operators, with the one that waits to be admitted. The gateway sets
	// descriptors aside for them.
	maxConnections = 16
	// minRequestTime is how long a connection has at least to send its request before a new one may displace it. Two
	// hundred connections that send nothing delay the next one by 0.4 s.
	minRequestTime = 30 * time.Millisecond
)

// connLimiter is a listener that bounds the number of connections against peers that connect and send no request: at the
// limit, a new connection displaces the one whose request has been outstanding for longest.
type connLimiter struct {
	net.Listener

	mu        sync.Mutex // guards what follows
	conns     map[net.Conn]*limitedConn
	unread    *list.List    // *limitedConn whose request is not read yet, the oldest first
	freed     chan struct{} // a connection was removed
	closed    chan struct{}
	closeOnce sync.Once
}

// limitedConn is a connection that a connLimiter has admitted.
type limitedConn struct {
	limiter    *connLimiter
	conn       net.Conn
	admittedAt time.Time
	element    *list.Element // in the limiter's unread; nil: its request is read
}

func newConnLimiter(listener net.Listener) *connLimiter {
	return &connLimiter{
		Listener: listener,
		conns:    map[net.Conn]*limitedConn{},
		unread:   list.New(),
		freed:    make(chan struct{}, 1),
		closed:   make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *connLimiter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.admit(conn) {
		select {
		case <-l.freed:
		case <-time.After(minRequestTime):
		case <-l.closed:
			_ = conn.Close() // nothing was sent
			return nil, net.ErrClosed
		}
	}
	return conn, nil
}

// Close implements net.Listener.
func (l *connLimiter) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit admits a connection, if need be in place of another. It returns false if none may be displaced yet.
func (l *connLimiter) admit(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= maxConnections-1 && !l.displaceOldest() { // one descriptor is that of conn
		return false
	}
	admitted := &limitedConn{limiter: l, conn: conn, admittedAt: time.Now()}
	admitted.element = l.unread.PushBack(admitted)
	l.conns[conn] = admitted
	return true
}

// displaceOldest closes the connection whose request has been outstanding for longest, if it has had its minimal time.
func (l *connLimiter) displaceOldest() bool {
	front := l.unread.Front()
	if front == nil {
		return false
	}
	oldest := front.Value.(*limitedConn)
	if time.Since(oldest.admittedAt) < minRequestTime {
		return false
	}
	l.remove(oldest)
	_ = oldest.conn.Close() // its request is given up
	return true
}

func (l *connLimiter) remove(c *limitedConn) {
	l.markRead(c)
	if l.conns[c.conn] != c {
		return
	}
	delete(l.conns, c.conn)
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

func (l *connLimiter) markRead(c *limitedConn) {
	if c.element != nil {
		l.unread.Remove(c.element)
		c.element = nil
	}
}

// connState is http.Server's ConnState.
func (l *connLimiter) connState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[conn]; c != nil {
		l.remove(c)
	}
}

type connKey struct{}

// connContext is http.Server's ConnContext: the connection's handler finds it again for requestRead.
func (l *connLimiter) connContext(ctx context.Context, conn net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return context.WithValue(ctx, connKey{}, l.conns[conn])
}

// requestRead records that the request of the connection of ctx is read: it is not displaced any more.
func requestRead(ctx context.Context) {
	if c, _ := ctx.Value(connKey{}).(*limitedConn); c != nil {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.limiter.markRead(c)
	}
}
