package backend

import (
	"sync"
	"time"

	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
	"example.org/milletvane/internal/timerqueue"
)

// LoopState holds the state that all sessions of one reactor loop share: their timers, and the shared connections to nodes,
// which a request uses if its session is not connected to the node of the request. It may only be used on the loop.
type LoopState struct {
	loop         *reactor.Loop
	timers       timerqueue.Queue[func()]
	wakeupTimer  *time.Timer
	wakeupTime   time.Duration // time since epoch for which wakeupTimer is set; 0 means not set
	sharedConns  map[sharedConnKey]*NodeConn
	currentFrame codec.Frame // the frame that is being handled; a local variable would be allocated for each frame
}

// Timer is a scheduled call of a function.
type Timer = timerqueue.Timer[func()]

// loopStates holds the LoopState of each loop.
type loopStates struct {
	mu     sync.Mutex // protects byLoop
	byLoop map[*reactor.Loop]*LoopState
}

// LoopState returns the LoopState of the loop that owns a connection. It may be called by any goroutine.
func (b *Backend) LoopState(c *reactor.Conn) *LoopState {
	b.loops.mu.Lock()
	defer b.loops.mu.Unlock()
	s := b.loops.byLoop[c.Loop()]
	if s == nil {
		s = &LoopState{loop: c.Loop(), sharedConns: map[sharedConnKey]*NodeConn{}}
		if b.loops.byLoop == nil {
			b.loops.byLoop = map[*reactor.Loop]*LoopState{}
		}
		b.loops.byLoop[c.Loop()] = s
	}
	return s
}

// epoch is the time from which the expiry times of timers are measured.
var epoch = time.Now()

func now() time.Duration { return time.Since(epoch) }

// After schedules a call of f on the loop after the duration d.
func (s *LoopState) After(d time.Duration, f func()) *Timer {
	t := s.timers.Add(now()+d, f)
	s.scheduleWakeup()
	return t
}

// Cancel cancels a timer. It does nothing if the timer is nil, has expired or was cancelled before.
func (s *LoopState) Cancel(t *Timer) { s.timers.Remove(t) }

// scheduleWakeup makes the loop call expireTimers when the earliest timer expires.
func (s *LoopState) scheduleWakeup() {
	next, ok := s.timers.Next()
	if !ok || s.wakeupTime > 0 && s.wakeupTime <= next {
		return
	}
	s.wakeupTime = next
	delay := max(next-now(), 0)
	if s.wakeupTimer == nil {
		s.wakeupTimer = time.AfterFunc(delay, func() { s.loop.Post(s.expireTimers) })
	} else {
		s.wakeupTimer.Reset(delay)
	}
}

// expireTimers calls the functions of all expired timers.
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
