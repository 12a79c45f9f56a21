package reactor

import (
	"sync"
	"sync/atomic"
	"time"
)

// quiesceInterval is the interval at which Quiesce checks the loops.
const quiesceInterval = 2 * time.Millisecond

// Group is a set of loops that share the connections.
type Group struct {
	loops []*Loop
	next  atomic.Uint32 // for pick
	wg    sync.WaitGroup

	descriptors descriptors
}

// New starts n loops, and at least one.
func New(n int) (*Group, error) {
	g := &Group{}
	for range max(n, 1) {
		l, err := newLoop(g)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.loops = append(g.loops, l)
		g.wg.Go(l.run)
	}
	return g, nil
}

// Close ends the loops and all connections, without notifying handlers, and waits for the loops.
func (g *Group) Close() {
	for _, l := range g.loops {
		l.end()
		for _, s := range l.sources() {
			switch s := s.(type) {
			case *Conn:
				s.Abort(false)
			case *Listener:
				s.Close()
			}
		}
		l.wake()
	}
	g.wg.Wait()
	for _, l := range g.loops {
		l.closeFDs()
	}
}

// pick is the loop for the next connection.
func (g *Group) pick() *Loop { return g.loops[int(g.next.Add(1))%len(g.loops)] }

// Each has the loop of every connection call f with the connection's handler soon, after OnOpen.
func (g *Group) Each(f func(Handler)) {
	for _, l := range g.loops {
		l.Post(func() {
			for _, s := range l.sources() {
				if c, ok := s.(*Conn); ok {
					f(c.handler)
				}
			}
		})
	}
}

// Quiesce waits until the loops have run what was posted, and until no connection lingers or has bytes to write before it
// closes; for the timeout at most.
func (g *Group) Quiesce(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) && !g.isQuiescent() {
		time.Sleep(quiesceInterval)
	}
}

// isQuiescent checks each loop after what was posted to it before.
func (g *Group) isQuiescent() bool {
	for _, l := range g.loops {
		done := make(chan struct{})
		l.Post(func() { close(done) })
		select {
		case <-done:
		case <-time.After(lingerTimeout): // a handler is running for long
			return false
		}
		for _, s := range l.sources() {
			if c, ok := s.(*Conn); ok && c.isLeaving() {
				return false
			}
		}
	}
	return true
}
