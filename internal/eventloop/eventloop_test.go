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

// fakeEngine writes down how it is called. Its timers expire at the given times. A shutdown sets one more, and once that
// has expired the engine has ended.
type fakeEngine struct {
	calls  []string
	timers []time.Duration
	drains bool
	ready  atomic.Bool
}

const drainTime = time.Second

func (e *fakeEngine) Start(time.Duration) { e.calls = append(e.calls, "start") }

func (e *fakeEngine) Handle(now time.Duration, event engine.Event) {
	switch event := event.(type) {
	case engine.Shutdown:
		e.calls = append(e.calls, "shutdown at "+now.String())
		e.drains = true
		e.timers = append(e.timers, now+drainTime)
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

func (e *fakeEngine) Ended() bool { return e.drains && len(e.timers) == 0 }

func (e *fakeEngine) Ready() bool { return e.ready.Load() }

// run starts a loop whose clock begins at 0, and returns it with what cancels it and what waits for its end.
func run(e Engine) (l *Loop, cancel context.CancelFunc, wait func()) {
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

// Events and timers are handled in their order, and a cancelled context shuts the engine down once.
func TestRunHandlesEventsTimersAndShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{timers: []time.Duration{2 * time.Second, 5 * time.Second}}
		l, cancel, wait := run(e)
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

// Post waits while the queue is full, TryPost drops, and neither waits for a loop that has ended.
func TestFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{}
		l := New(e)
		began := time.Now()
		for range QueueCapacity {
			l.Post(engine.ClientActive{})
		}
		l.TryPost(engine.ClientActive{}) // dropped
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
		synctest.Wait() // until all events are handled
		cancel()
		<-done
		const start, shutdown, drained = 1, 1, 1
		if want := start + QueueCapacity + 1 + shutdown + drained; len(e.calls) != want {
			t.Errorf("%d calls, want %d", len(e.calls), want)
		}
		for range 2 * QueueCapacity {
			l.Post(engine.ClientActive{})
		}
	})
}

func TestReadyIsTheEngines(t *testing.T) {
	e := &fakeEngine{}
	l := New(e)
	if l.Ready() {
		t.Error("ready before the engine")
	}
	e.ready.Store(true)
	if !l.Ready() {
		t.Error("not ready though the engine is")
	}
}
