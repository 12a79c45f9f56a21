package backend

import (
	"sync"
	"time"

	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
	"example.org/milletvane/internal/timerqueue"
)

// LoopState is what the sessions of one reactor loop share: their timers, and the connections to nodes that requests use if
// their session is connected to another node. It may be used on the loop only.
type LoopState struct {
	loop       *reactor.Loop
	timers     timerqueue.Queue[func()]
	wakeup     *time.Timer
	wakeupTime time.Duration // since epoch; 0: not set
	shared     map[sharedKey]*NodeConn
	frame      codec.Frame // the frame being handled; a local variable would be allocated for each frame
}

// Timer is a function that is to be called later.
type Timer = timerqueue.Timer[func()]

// loopStates holds the state of each loop.
type loopStates struct {
	mu     sync.Mutex // protects byLoop
	byLoop map[*reactor.Loop]*LoopState
}

// LoopState returns the state of a connection's loop.
func (b *Backend) LoopState(c *reactor.Conn) *LoopState {
	b.loops.mu.Lock()
	defer b.loops.mu.Unlock()
	s := b.loops.byLoop[c.Loop()]
	if s == nil {
		s = &LoopState{loop: c.Loop(), shared: map[sharedKey]*NodeConn{}}
		if b.loops.byLoop == nil {
			b.loops.byLoop = map[*reactor.Loop]*LoopState{}
		}
		b.loops.byLoop[c.Loop()] = s
	}
	return s
}

// epoch is the origin of the times of timers.
var epoch = time.Now()

func now() time.Duration { return time.Since(epoch) }

// After calls f on the loop after d.
func (s *LoopState) After(d time.Duration, f func()) *Timer {
	t := s.timers.Add(now()+d, f)
	s.scheduleWakeup()
	return t
}

// Cancel stops a timer. It does nothing if the timer is nil, has expired or was cancelled.
func (s *LoopState) Cancel(t *Timer) { s.timers.Remove(t) }

// scheduleWakeup has the loop call expireTimers when the first timer expires.
func (s *LoopState) scheduleWakeup() {
	next, ok := s.timers.Next()
	if !ok || s.wakeupTime > 0 && s.wakeupTime <= next {
		return
	}
	s.wakeupTime = next
	delay := max(next-now(), 0)
	if s.wakeup == nil {
		s.wakeup = time.AfterFunc(delay, func() { s.loop.Post(s.expireTimers) })
	} else {
		s.wakeup.Reset(delay)
	}
}

// expireTimers calls the functions of all timers that have expired.
func (s *LoopState) expireTimers() {
	s.wakeupTime = 0
	for {
		f, ok := s.timers.PopExpired(now())
		if !ok {
			break
		}
		f()
	}
	s.scheduleWakeup()
}
