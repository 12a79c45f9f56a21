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
	// CallersMost is how many callers may be connected: as many descriptors are set aside for them.
	CallersMost = 16
	// callFor is the time that a caller has at the least before a new one may take its place. Two hundred that say nothing
	// hold up the next one for 0.4 s.
	callFor = 30 * time.Millisecond
)

// callers is a listener that bounds who is connected: where there are too many, the one that has left its call
// unfinished for longest gives way. It guards against callers that connect and finish no call.
type callers struct {
	net.Listener

	mu    sync.Mutex
	all   map[net.Conn]*caller
	order *list.List // of those whose call is unfinished, the oldest first
	freed chan struct{}
}

type caller struct {
	calls *callers
	conn  net.Conn
	since time.Time
	at    *list.Element // nil: its call is in
}

func newCallers(l net.Listener) *callers {
	return &callers{Listener: l, all: map[net.Conn]*caller{}, order: list.New(), freed: make(chan struct{}, 1)}
}

// Accept implements net.Listener.
func (c *callers) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !c.enter(conn) {
		select {
		case <-c.freed:
		case <-time.After(callFor):
		}
	}
	return conn, nil
}

// enter takes a caller in, in another's place if need be; false says that each there has had too little time yet.
func (c *callers) enter(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.all) >= CallersMost-1 { // one is for who stands at the door
		oldest := c.order.Front()
		if oldest == nil || time.Since(oldest.Value.(*caller).since) < callFor {
			return false
		}
		o := oldest.Value.(*caller)
		c.leave(o)
		o.conn.Close()
	}
	one := &caller{calls: c, conn: conn, since: time.Now()}
	one.at = c.order.PushBack(one)
	c.all[conn] = one
	return true
}

func (c *callers) leave(o *caller) {
	c.finish(o)
	if c.all[o.conn] == o {
		delete(c.all, o.conn)
		select {
		case c.freed <- struct{}{}:
		default:
		}
	}
}

func (c *callers) finish(o *caller) {
	if o.at != nil {
		c.order.Remove(o.at)
		o.at = nil
	}
}

// state is http.Server's ConnState.
func (c *callers) state(conn net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.all[conn]; o != nil {
		c.leave(o)
	}
}

type callerKey struct{}

// context is http.Server's ConnContext.
func (c *callers) context(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return context.WithValue(ctx, callerKey{}, c.all[conn])
}

// finished notes that a caller's call is in: it gives way to nobody any more.
func finished(ctx context.Context) {
	if o, _ := ctx.Value(callerKey{}).(*caller); o != nil {
		o.calls.mu.Lock()
		defer o.calls.mu.Unlock()
		o.calls.finish(o)
	}
}
