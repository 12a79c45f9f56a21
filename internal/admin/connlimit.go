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
	// maxConnections is the maximum number of operators' connections, including the one that waits to be admitted. The
	// gateway reserves descriptors for them.
	maxConnections = 16
	// minRequestTime is the minimum time that a connection has for sending its request before a new connection may evict it.
	// With this value, 200 connections that send nothing delay the next one by 0.4 s.
	minRequestTime = 30 * time.Millisecond
)

// connLimiter is a listener that limits the number of connections, as a protection against peers that connect and send no
// request. At the limit, a new connection evicts the one that has been waiting longest for its request to be read.
type connLimiter struct {
	net.Listener

	mu          sync.Mutex // guards conns and unreadConns
	conns       map[net.Conn]*limitedConn
	unreadConns *list.List    // of *limitedConn whose request has not been read yet, oldest first
	connRemoved chan struct{} // receives a value when a connection is removed
	closed      chan struct{}
	closeOnce   sync.Once
}

// limitedConn is a connection that a connLimiter has admitted.
type limitedConn struct {
	limiter    *connLimiter
	conn       net.Conn
	admittedAt time.Time
	element    *list.Element // in the limiter's unreadConns, guarded by its mu; nil: the request has been read
}

func newConnLimiter(listener net.Listener) *connLimiter {
	return &connLimiter{
		Listener:    listener,
		conns:       map[net.Conn]*limitedConn{},
		unreadConns: list.New(),
		connRemoved: make(chan struct{}, 1),
		closed:      make(chan struct{}),
	}
}

// Accept implements net.Listener. It returns a connection only after the connection has been admitted.
func (l *connLimiter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.admit(conn) {
		select {
		case <-l.connRemoved:
		case <-time.After(minRequestTime):
		case <-l.closed:
			_ = conn.Close() // nothing has been sent on it
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

// admit admits a connection; at the limit it evicts another one. It returns false if no connection may be evicted yet.
func (l *connLimiter) admit(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= maxConnections-1 && !l.evictOldest() { // conn itself uses one of the descriptors
		return false
	}
	admitted := &limitedConn{limiter: l, conn: conn, admittedAt: time.Now()}
	admitted.element = l.unreadConns.PushBack(admitted)
	l.conns[conn] = admitted
	return true
}

// evictOldest closes the connection that has been waiting longest for its request to be read. It returns false if there is
// none or if minRequestTime has not passed for it. The caller holds mu.
func (l *connLimiter) evictOldest() bool {
	front := l.unreadConns.Front()
	if front == nil {
		return false
	}
	oldest := front.Value.(*limitedConn)
	if time.Since(oldest.admittedAt) < minRequestTime {
		return false
	}
	l.remove(oldest)
	_ = oldest.conn.Close() // its request is dropped
	return true
}

func (l *connLimiter) remove(c *limitedConn) {
	l.markRead(c)
	if l.conns[c.conn] != c {
		return
	}
	delete(l.conns, c.conn)
	select {
	case l.connRemoved <- struct{}{}:
	default:
	}
}

func (l *connLimiter) markRead(c *limitedConn) {
	if c.element != nil {
		l.unreadConns.Remove(c.element)
		c.element = nil
	}
}

// connState is the ConnState callback of the http.Server. It removes a closed connection.
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

// connContext is the ConnContext callback of the http.Server. It stores the connection in the context, from which
// markRequestRead takes it.
func (l *connLimiter) connContext(ctx context.Context, conn net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return context.WithValue(ctx, connKey{}, l.conns[conn])
}

// markRequestRead records that the request of the connection in ctx has been read. The connection is not evicted any more.
func markRequestRead(ctx context.Context) {
	if c, _ := ctx.Value(connKey{}).(*limitedConn); c != nil {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.limiter.markRead(c)
	}
}
