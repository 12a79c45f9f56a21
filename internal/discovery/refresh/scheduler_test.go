package refresh

import (
	"fmt"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// discoveryScheduler returns a Scheduler that polls discovery.
func discoveryScheduler(gateways int, seed uint64) *Scheduler {
	return New(Settings{Gateways: gateways, MaxPollInterval: 10 * sec, DrainGrace: 500 * ms, Seed: seed})
}

// Failed polls are retried often enough that a drain listed meanwhile does not count as notified, at times that differ from
// gateway to gateway.
func TestRetriesStayWithinNotificationDelay(t *testing.T) {
	const polls, interval = 200, 500 * ms
	sentAt := make([][polls]time.Duration, 2)
	for seed := range sentAt {
		s := New(Settings{Gateways: 300, MaxPollInterval: interval, Seed: uint64(seed) + 1})
		now := s.Handle(0, Start{HasList: true, Version: 3}).Delay
		for i := range polls {
			poll := s.Handle(now, Failed{})
			if poll.Delay > 4*interval {
				t.Fatalf("no poll for %v", poll.Delay)
			}
			if poll.StaleAt != 4*interval {
				t.Fatalf("the list is stale at %v, the first poll was sent at 0", poll.StaleAt)
			}
			now += poll.Delay
			sentAt[seed][i] = now
		}
	}
	for i, at := range sentAt[0] {
		if at == sentAt[1][i] {
			t.Errorf("both gateways poll at %v", at)
		}
	}
}

// Gateways that were rejected together retry one by one, not all within the second in which discovery would reject most of
// them again.
func TestRetriesAreSpread(t *testing.T) {
	for _, gateways := range []int{3, 36, 300} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			earliest, latest := 60*sec, 0*sec
			for i := range max(gateways, 20) {
				s := discoveryScheduler(gateways, uint64(i)+1)
				s.Handle(0, Start{})
				poll := s.Handle(sec, Failed{})
				earliest, latest = min(earliest, poll.Delay), max(latest, poll.Delay)
			}
			want := min(max(initialBackoff, backoffJitterPerGateway*time.Duration(gateways)), maxBackoffJitter)
			if latest-earliest < want*2/3 || earliest < initialBackoff/2 || latest > MaxNotificationDelay/3 {
				t.Errorf("retries come after %v to %v", earliest, latest)
			}
		})
	}
}

// Polls of a whole fleet that time out together are retried in time for two more polls each, and not all at once.
func TestTimedOutPollsAreRetriedInTime(t *testing.T) {
	retries := map[time.Duration]int{}
	for seed := range uint64(300) {
		s := discoveryScheduler(300, seed)
		watch := s.Handle(0, Start{HasList: true, Version: 3})
		retry := s.Handle(watch.Timeout, TimedOut{})
		sentAt := watch.Timeout + retry.Delay
		retries[sentAt.Truncate(25*ms)]++
		if sentAt+retry.Timeout > MaxNotificationDelay+500*ms || retry.Wait != 0 || retry.Complete {
			t.Fatalf("%+v may take until %v, the list is stale at %v", retry, sentAt+retry.Timeout, MaxNotificationDelay)
		}
		if retry.StaleAt != MaxNotificationDelay {
			t.Fatalf("the list is stale at %v, want %v", retry.StaleAt, MaxNotificationDelay)
		}
		next := s.Handle(sentAt+ms, ListReceived{Version: 3})
		if next.Wait != discoveryWait || next.Delay != 0 || next.StaleAt != 0 {
			t.Fatalf("the watch continues with %+v", next)
		}
	}
	for at, n := range retries {
		if n > 60 {
			t.Errorf("%d of 300 retry within 25 ms at %v", n, at)
		}
	}
}

// While no poll of discovery is answered, polls back off.
func TestTimeoutsBackOff(t *testing.T) {
	s, now, polls := discoveryScheduler(300, 5), 0*sec, 0
	poll := s.Handle(0, Start{HasList: true})
	for now < 60*sec {
		now += poll.Delay + poll.Timeout
		polls++
		poll = s.Handle(now, TimedOut{})
	}
	if polls > 30 {
		t.Errorf("%d polls in a minute", polls)
	}
}

// A start without a list polls for the complete one, and the poll after an answer follows without a delay.
func TestPollSequence(t *testing.T) {
	for _, localAgent := range []bool{false, true} {
		t.Run(fmt.Sprint("local agent ", localAgent), func(t *testing.T) {
			s := New(Settings{LocalAgent: localAgent})
			if poll := s.Handle(0, Start{}); !poll.Complete || poll.Wait != 0 || poll.Delay != 0 {
				t.Errorf("first poll: %+v", poll)
			}
			poll := s.Handle(sec, ListReceived{Version: 4, Complete: true})
			if poll.Complete || poll.AfterVersion != 4 || poll.Wait == 0 || poll.Delay != 0 {
				t.Errorf("after the complete list: %+v", poll)
			}
			poll = s.Handle(sec+poll.Wait, ListReceived{Version: 4})
			if poll.Delay != 0 || poll.AfterVersion != 4 {
				t.Errorf("after a wait without changes: %+v", poll)
			}
			if poll = s.Handle(4*sec, ListReceived{Version: 2}); !poll.Complete {
				t.Errorf("after changes to an older list: %+v", poll)
			}
			if version, ok := s.Version(); ok {
				t.Errorf("version %d is held after changes to an older list", version)
			}
		})
	}
}

// An older list is not accepted, complete or not; the complete list that is polled for then is.
func TestOlderListIsPolledAgain(t *testing.T) {
	for _, complete := range []bool{false, true} {
		t.Run(fmt.Sprint("complete ", complete), func(t *testing.T) {
			s := New(Settings{})
			s.Handle(0, Start{HasList: true, Version: 9})
			for version, want := range map[int64]bool{7: false, 9: true, 10: true} {
				if got := s.Accepts(version, complete); got != want {
					t.Errorf("accepts version %d: %v, want %v", version, got, want)
				}
			}
			poll := s.Handle(sec, ListReceived{Version: 7, Complete: complete})
			if !poll.Complete || !s.Accepts(7, true) || s.Accepts(8, false) {
				t.Errorf("after an older list: %+v", poll)
			}
			if s.Handle(2*sec, ListReceived{Version: 7, Complete: true}); !s.Accepts(8, false) {
				t.Error("changes to the complete list are not accepted")
			}
		})
	}
}

// An immediate poll has more time than the 2 s for which a busy discovery was seen to queue its callers: a gateway that
// gives up earlier joins the end of the queue again and may never be answered.
func TestImmediatePollsOutwaitBusyDiscovery(t *testing.T) {
	s := discoveryScheduler(300, 1)
	for _, c := range []struct {
		name string
		poll Poll
	}{
		{"start", s.Handle(0, Start{})},
		{"failed", s.Handle(sec, Failed{})},
		{"timed out", s.Handle(4*sec, TimedOut{})},
	} {
		if c.poll.Wait != 0 || c.poll.Timeout <= 2*sec {
			t.Errorf("%s: %+v", c.name, c.poll)
		}
	}
}
