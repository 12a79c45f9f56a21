package refresh

import (
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

func asked(gateways int, seed uint64) *Scheduler {
	return New(Settings{Gateways: gateways, MaxPollInterval: 10 * sec, DrainGrace: 500 * ms, Seed: seed})
}

// Calls that fail are made again often enough that a drain which is listed meanwhile does not count as told, at times that
// differ from gateway to gateway.
func TestFailedCallsKeepWithinTheStatedTime(t *testing.T) {
	together := 0
	var other []time.Duration
	for seed := range uint64(2) {
		c, now := New(Settings{Gateways: 300, MaxPollInterval: 500 * ms, Seed: seed + 1}), 0*sec
		now += c.Handle(now, Start{HasList: true, Version: 3}).Delay
		for i := range 200 {
			call := c.Handle(now, Failed{})
			if call.Delay > 4*500*ms {
				t.Fatalf("not asked for %v", call.Delay)
			}
			if call.StaleAt != 4*500*ms {
				t.Fatalf("news count at %v, the first call was made at 0", call.StaleAt)
			}
			now += call.Delay
			if seed == 0 {
				other = append(other, now)
			} else if other[i] == now {
				together++
			}
		}
	}
	if together > 0 {
		t.Errorf("asked together %d times", together)
	}
}

// Gateways that were turned away together ask again one by one, not all within the second that the service takes to turn
// most of them away again.
func TestManyAskAgainApart(t *testing.T) {
	for _, gateways := range []int{3, 36, 300} {
		least, most := 60*sec, 0*sec
		for i := range max(gateways, 20) {
			c := asked(gateways, uint64(i)+1)
			c.Handle(0, Start{})
			call := c.Handle(sec, Failed{})
			least, most = min(least, call.Delay), max(most, call.Delay)
		}
		want := min(max(failFirst, failEach*time.Duration(gateways)), apartFail)
		if most-least < want*2/3 || least < failFirst/2 || most > ToldAfter/3 {
			t.Errorf("%d gateways ask again after %v to %v", gateways, least, most)
		}
	}
}

// Watches of a whole fleet that fall silent together are begun anew in time for two more calls each, and not all at once.
func TestSilentWatchesAreBegunAnewInTime(t *testing.T) {
	times := map[time.Duration]int{}
	for seed := range uint64(300) {
		c := asked(300, seed)
		watch := c.Handle(0, Start{HasList: true, Version: 3})
		counts := ToldAfter
		call := c.Handle(watch.Timeout, TimedOut{})
		times[(watch.Timeout+call.Delay).Truncate(25*ms)]++
		if last := watch.Timeout + call.Delay + call.Timeout; last > counts+500*ms || call.Wait != 0 || call.Complete {
			t.Fatalf("%+v is made anew until %v, news count from %v on", call, last, counts)
		}
		if call.StaleAt != counts {
			t.Fatalf("news count from %v on, not %v", call.StaleAt, counts)
		}
		if next := c.Handle(watch.Timeout+call.Delay+ms, ListReceived{Version: 3}); next.Wait != askWait || next.Delay != 0 || next.StaleAt != 0 {
			t.Fatalf("the watch goes on with %+v", next)
		}
	}
	for at, n := range times {
		if n > 60 {
			t.Errorf("%d of 300 call within 25 ms at %v", n, at)
		}
	}
}

// Where discovery says nothing to anyone, it is not called without pause.
func TestASilentServiceIsLeftAlone(t *testing.T) {
	c, now, calls := asked(300, 5), 0*sec, 0
	call := c.Handle(0, Start{HasList: true})
	for now < 60*sec {
		now += call.Delay + call.Timeout
		calls++
		call = c.Handle(now, TimedOut{})
	}
	if calls > 30 {
		t.Errorf("%d calls in a minute", calls)
	}
}

// A watch goes on: the call after an answer comes without a pause, and a start without a list asks for the whole.
func TestCalls(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		c := New(Settings{LocalAgent: pushed})
		if call := c.Handle(0, Start{}); !call.Complete || call.Wait != 0 || call.Delay != 0 {
			t.Errorf("pushed %v: begins with %+v", pushed, call)
		}
		call := c.Handle(sec, ListReceived{Version: 4, Complete: true})
		if call.Complete || call.AfterVersion != 4 || call.Wait == 0 || call.Delay != 0 {
			t.Errorf("pushed %v: goes on with %+v", pushed, call)
		}
		if call = c.Handle(sec+call.Wait, ListReceived{Version: 4}); call.Delay != 0 || call.AfterVersion != 4 {
			t.Errorf("pushed %v: after a wait for nothing goes on with %+v", pushed, call)
		}
		if call = c.Handle(4*sec, ListReceived{Version: 2}); !call.Complete {
			t.Errorf("pushed %v: after changes to another list goes on with %+v", pushed, call)
		}
		if v, ok := c.Version(); ok {
			t.Errorf("pushed %v: holds %d", pushed, v)
		}
	}
}
