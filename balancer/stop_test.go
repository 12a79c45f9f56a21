package balancer

import "testing"

// The program's end answers what waits: an attempt that fails at that time is followed by no other, and what
// is held for a list is held no longer. What has been answered or stands is left alone.
func TestStopLeavesNothingWaiting(t *testing.T) {
	w := newWorld(t, settings(), 5)
	stands, at := w.open("safe", "")
	w.request("safe", "")
	out := w.sent()
	w.feed(Shutdown{Deadline: w.now + 300*ms})
	if wakes := find[SetTimer](w.last); len(wakes) != 1 || wakes[0].After > 300*ms {
		t.Errorf("looks again %+v", wakes)
	}
	w.now += 300 * ms
	w.end(out, 0, TimedOut)
	if r := find[Reject](w.last); len(r) != 1 || len(find[Send](w.last)) != 0 {
		t.Errorf("at the end: %+v", w.last)
	}
	if got := find[Migrate](w.wait(sec)); len(got) != 0 {
		t.Errorf("%d at %d is moved", stands, at)
	}

	w = unlisted(t, settings())
	w.request("safe", "")
	w.feed(Shutdown{Deadline: w.now + 200*ms})
	w.now += 200 * ms
	w.feed(TimerFired{Ref: oneShotTimer})
	if r := find[Reject](w.last); len(r) != 1 {
		t.Errorf("held for a list: %+v", w.last)
	}
}
