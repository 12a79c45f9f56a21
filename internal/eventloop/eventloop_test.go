package eventloop

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/internal/engine"
)

// fakeEngine records its calls. Its timers expire at the given times. A shutdown sets one more timer, and the engine has
// ended once all timers have expired.
type fakeEngine struct {
	calls      []string
	timers     []time.Duration
	isShutDown bool
	ready      atomic.Bool
}

const drainDuration = time.Second

func (e *fakeEngine) Start(time.Duration) { e.calls = append(e.calls, "start") }

func (e *fakeEngine) Handle(now time.Duration, event engine.Event) {
	switch event := event.(type) {
	case engine.Shutdown:
		e.calls = append(e.calls, "shutdown at "+now.String())
		e.isShutDown = true
		e.timers = append(e.timers, now+drainDuration)
	case engine.ClientActive:
		e.calls = append(e.calls, "event at "+now.String())
	default:
		panic(event)
	}
}

func (e *fakeEngine) Expire(now time.Duration) {
	for len(e.timers) > 0 && e.timers[0] <= now {
		e.calls = append(e.calls, "timer at "+now.String())
		e.timers = e.timers[1:]
	}
}

func (e *fakeEngine) Next() (time.Duration, bool) {
	if len(e.timers) == 0 {
		return 0, false
	}
	return e.timers[0], true
}

func (e *fakeEngine) Ended() bool { return e.isShutDown && len(e.timers) == 0 }

func (e *fakeEngine) Ready() bool { return e.ready.Load() }

// startLoop starts a loop whose clock begins at 0. It returns the loop, a function that cancels its context and a function
// that waits for the end of Run.
func startLoop(e Engine) (l *Loop, cancel context.CancelFunc, wait func()) {
	l = New(e)
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, func() time.Duration { return time.Since(began) })
	}()
	return l, cancel, func() { <-done }
}

// Events and timers are handled in order of their times, and the engine gets one Shutdown when the context is cancelled.
func TestRunHandlesEventsTimersAndShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{timers: []time.Duration{2 * time.Second, 5 * time.Second}}
		l, cancel, wait := startLoop(e)
		time.Sleep(time.Second)
		l.Post(engine.ClientActive{})
		time.Sleep(2 * time.Second)
		l.TryPost(engine.ClientActive{})
		time.Sleep(3 * time.Second)
		cancel()
		wait()
		want := []string{"start", "event at 1s", "timer at 2s", "event at 3s", "timer at 5s", "shutdown at 6s", "timer at 7s"}
		if diff := cmp.Diff(want, e.calls); diff != "" {
			t.Errorf("calls (-want +got):\n%s", diff)
		}
	})
}

// Guards against callers that are blocked forever: Post blocks while the queue is full but not once Run has returned, and
// TryPost drops the event if the queue is full.
func TestFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{}
		l := New(e)
		began := time.Now()
		for range QueueCapacity {
			l.Post(engine.ClientActive{})
		}
		l.TryPost(engine.ClientActive{}) // dropped, because the queue is full
		posted := make(chan struct{})
		go func() {
			defer close(posted)
			l.Post(engine.ClientActive{})
		}()
		synctest.Wait()
		select {
		case <-posted:
			t.Error("Post returned while the queue was full")
		default:
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.Run(ctx, func() time.Duration { return time.Since(began) })
		}()
		<-posted
		synctest.Wait() // wait until all events are handled
		cancel()
		<-done
		const start, shutdown, drained = 1, 1, 1
		if want := start + QueueCapacity + 1 + shutdown + drained; len(e.calls) != want {
			t.Errorf("engine got %d calls, want %d", len(e.calls), want)
		}
		for range 2 * QueueCapacity {
			l.Post(engine.ClientActive{})
		}
	})
}

func TestReadyReturnsReadinessOfEngine(t *testing.T) {
	e := &fakeEngine{}
	l := New(e)
	if l.Ready() {
		t.Error("loop is ready before the engine, want not ready")
	}
	e.ready.Store(true)
	if !l.Ready() {
		t.Error("loop is not ready although the engine is")
	}
}
