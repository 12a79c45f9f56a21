package reactor

import (
	"sync"
	"sync/atomic"
	"time"
)

// quiesceInterval is how long Quiesce waits between two checks of the loops.
const quiesceInterval = 2 * time.Millisecond

// Group is a set of event loops and the connections and listeners that they drive.
type Group struct {
	loops []*Loop
	next  atomic.Uint32 // counts the calls of pickLoop
	wg    sync.WaitGroup

	descriptors descriptors
}

// New returns a group of n loops, or of one if n is less than 1, and starts the loops.
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

// Close stops the loops and closes all connections and listeners without notifying handlers, and waits for the loops. A
// handler must not call it.
func (g *Group) Close() {
	for _, l := range g.loops {
		l.stop()
		for _, s := range l.targets() {
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

// pickLoop returns the loop for the next connection, round robin.
func (g *Group) pickLoop() *Loop { return g.loops[int(g.next.Add(1))%len(g.loops)] }

// ForEachHandler makes every loop call f soon with the handlers of the loop's connections. For an accepted connection, OnOpen has
// been called before.
func (g *Group) ForEachHandler(f func(Handler)) {
	for _, l := range g.loops {
		l.Post(func() {
			for _, s := range l.targets() {
				if c, ok := s.(*Conn); ok {
					f(c.handler)
				}
			}
		})
	}
}

// Quiesce waits until the loops have run all posted calls and no connection is being closed. A connection that is being
// closed lingers, or still has bytes to write. No check of the loops starts after the timeout; a check waits at most
// lingerTimeout for each loop. A handler must not call Quiesce.
func (g *Group) Quiesce(timeout time.Duration) {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) && !g.isQuiescent() {
		time.Sleep(quiesceInterval)
	}
}

// isQuiescent reports whether no connection is being closed. It checks the connections of a loop after the loop has run the
// calls that were posted to it earlier. It returns false if a loop takes longer than lingerTimeout for these calls.
func (g *Group) isQuiescent() bool {
	for _, l := range g.loops {
		done := make(chan struct{})
		l.Post(func() { close(done) })
		select {
		case <-done:
		case <-time.After(lingerTimeout): // a handler has been running for too long
			return false
		}
		for _, s := range l.targets() {
			if c, ok := s.(*Conn); ok && c.isClosing() {
				return false
			}
		}
	}
	return true
}
