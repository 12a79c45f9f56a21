package backend

import (
	"sync"
	"time"

	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
	"example.org/milletvane/internal/timerqueue"
)

// LoopState is what the sessions of one loop share: their deadlines, and connections to nodes for requests that go elsewhere than
// their session. The loop alone uses it.
type LoopState struct {
	loop   *reactor.Loop
	queue  timerqueue.Queue[func()]
	timer  *time.Timer
	armed  time.Duration // 0: not
	shared map[sharedKey]*NodeConn
	frame  codec.Frame // the one that is being handled: on a stack it would be allocated anew for each
}

// Timer is something due later.
type Timer = timerqueue.Timer[func()]

type hubs struct {
	mu  sync.Mutex
	all map[*reactor.Loop]*LoopState
}

// LoopState is that of a connection's loop.
func (b *Backend) LoopState(c *reactor.Conn) *LoopState {
	b.hubs.mu.Lock()
	defer b.hubs.mu.Unlock()
	h := b.hubs.all[c.Loop()]
	if h == nil {
		h = &LoopState{loop: c.Loop(), shared: map[sharedKey]*NodeConn{}}
		if b.hubs.all == nil {
			b.hubs.all = map[*reactor.Loop]*LoopState{}
		}
		b.hubs.all[c.Loop()] = h
	}
	return h
}

var epoch = time.Now()

func now() time.Duration { return time.Since(epoch) }

// After has f called once the time is over.
func (h *LoopState) After(d time.Duration, f func()) *Timer {
	it := h.queue.Add(now()+d, f)
	h.arm()
	return it
}

// Cancel takes a timer back. One that is nil, past or cancelled is let be.
func (h *LoopState) Cancel(t *Timer) { h.queue.Remove(t) }

// arm sees to it that the loop looks when the first is due.
func (h *LoopState) arm() {
	at, ok := h.queue.Next()
	if !ok || h.armed > 0 && h.armed <= at {
		return
	}
	h.armed = at
	wait := max(at-now(), 0)
	if h.timer == nil {
		h.timer = time.AfterFunc(wait, func() { h.loop.Post(h.expire) })
	} else {
		h.timer.Reset(wait)
	}
}

func (h *LoopState) expire() {
	h.armed = 0
	for {
		f, ok := h.queue.PopExpired(now())
		if !ok {
			break
		}
		f()
	}
	h.arm()
}
