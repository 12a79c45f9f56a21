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

// Failed polls are retried often enough that a drain that discovery lists in the meantime does not count as notified before
// the next poll. The times of the retries differ from gateway to gateway.
func TestRetriesStayWithinNotificationDelay(t *testing.T) {
	const polls, interval = 200, 500 * ms
	sentAt := make([][polls]time.Duration, 2)
	for seed := range sentAt {
		s := New(Settings{Gateways: 300, MaxPollInterval: interval, Seed: uint64(seed) + 1})
		now := s.Handle(0, Start{HasList: true, Version: 3}).Delay
		for i := range polls {
			poll := s.Handle(now, Failed{})
			if poll.Delay > 4*interval {
				t.Fatalf("got a delay of %v, want at most %v", poll.Delay, 4*interval)
			}
			if poll.StaleAt != 4*interval {
				t.Fatalf("got the list stale at %v, want %v after the first poll, which was sent at 0", poll.StaleAt, 4*interval)
			}
			now += poll.Delay
			sentAt[seed][i] = now
		}
	}
	for i, at := range sentAt[0] {
		if at == sentAt[1][i] {
			t.Errorf("poll %d: both gateways poll at %v, want different times", i, at)
		}
	}
}

// Gateways whose polls were rejected at the same time spread their retries. If all retried within one second, discovery would
// reject most of them again.
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
				t.Errorf("got retries after %v to %v, want them spread over at least %v, none before %v or after %v",
					earliest, latest, want*2/3, initialBackoff/2, MaxNotificationDelay/3)
			}
		})
	}
}

// If the polls of a whole fleet time out at the same time, each gateway's retry ends about when the list becomes stale or
// earlier, and the retries are spread.
func TestTimedOutPollsAreRetriedInTime(t *testing.T) {
	retries := map[time.Duration]int{}
	for seed := range uint64(300) {
		s := discoveryScheduler(300, seed)
		watch := s.Handle(0, Start{HasList: true, Version: 3})
		retry := s.Handle(watch.Timeout, TimedOut{})
		sentAt := watch.Timeout + retry.Delay
		retries[sentAt.Truncate(25*ms)]++
		if sentAt+retry.Timeout > MaxNotificationDelay+500*ms || retry.Wait != 0 || retry.Complete {
			t.Fatalf("got retry %+v, which may take until %v, want an immediate poll for changes that ends by %v",
				retry, sentAt+retry.Timeout, MaxNotificationDelay+500*ms)
		}
		if retry.StaleAt != MaxNotificationDelay {
			t.Fatalf("got the list stale at %v, want %v", retry.StaleAt, MaxNotificationDelay)
		}
		next := s.Handle(sentAt+ms, ListReceived{Version: 3})
		if next.Wait != discoveryWait || next.Delay != 0 || next.StaleAt != 0 {
			t.Fatalf("after the answer: got poll %+v, want a long poll without delay", next)
		}
	}
	for at, n := range retries {
		if n > 60 {
			t.Errorf("got %d of 300 retries within 25 ms at %v, want at most 60", n, at)
		}
	}
}

// As long as polls of discovery time out, the delay between them grows.
func TestTimeoutsBackOff(t *testing.T) {
	s, now, polls := discoveryScheduler(300, 5), 0*sec, 0
	poll := s.Handle(0, Start{HasList: true})
	for now < 60*sec {
		now += poll.Delay + poll.Timeout
		polls++
		poll = s.Handle(now, TimedOut{})
	}
	if polls > 30 {
		t.Errorf("got %d polls in a minute, want at most 30", polls)
	}
}

// A start without a list polls for the complete list, and the poll after an answer has no delay.
func TestPollSequence(t *testing.T) {
	for _, localAgent := range []bool{false, true} {
		t.Run(fmt.Sprint("local agent ", localAgent), func(t *testing.T) {
			s := New(Settings{LocalAgent: localAgent})
			if poll := s.Handle(0, Start{}); !poll.Complete || poll.Wait != 0 || poll.Delay != 0 {
				t.Errorf("first poll: got %+v, want an immediate poll for the complete list without delay", poll)
			}
			poll := s.Handle(sec, ListReceived{Version: 4, Complete: true})
			if poll.Complete || poll.AfterVersion != 4 || poll.Wait == 0 || poll.Delay != 0 {
				t.Errorf("after the complete list: got %+v, want a long poll after version 4 without delay", poll)
			}
			poll = s.Handle(sec+poll.Wait, ListReceived{Version: 4})
			if poll.Delay != 0 || poll.AfterVersion != 4 {
				t.Errorf("after a wait without changes: got %+v, want a poll after version 4 without delay", poll)
			}
			if poll = s.Handle(4*sec, ListReceived{Version: 2}); !poll.Complete {
				t.Errorf("after changes to an older list: got %+v, want a poll for the complete list", poll)
			}
			if version, ok := s.Version(); ok {
				t.Errorf("after changes to an older list: got version %d held, want none", version)
			}
		})
	}
}

// An older list is rejected, whether complete or not. The complete list for which the scheduler then polls is accepted.
func TestOlderListIsPolledAgain(t *testing.T) {
	for _, complete := range []bool{false, true} {
		t.Run(fmt.Sprint("complete ", complete), func(t *testing.T) {
			s := New(Settings{})
			s.Handle(0, Start{HasList: true, Version: 9})
			for version, want := range map[int64]bool{7: false, 9: true, 10: true} {
				if got := s.Accepts(version, complete); got != want {
					t.Errorf("version %d: got accepted %v, want %v", version, got, want)
				}
			}
			poll := s.Handle(sec, ListReceived{Version: 7, Complete: complete})
			if !poll.Complete || !s.Accepts(7, true) || s.Accepts(8, false) {
				t.Errorf("after an older list: got poll %+v, want one for the complete list, and only that list accepted", poll)
			}
			if s.Handle(2*sec, ListReceived{Version: 7, Complete: true}); !s.Accepts(8, false) {
				t.Error("changes to the complete list are rejected, want them accepted")
			}
		})
	}
}

// The timeout of an immediate poll is longer than the 2 s for which a busy discovery was seen to queue its callers. A gateway
// that gives up earlier joins the end of the queue again and may never be answered.
func TestImmediatePollTimeoutCoversBusyDiscovery(t *testing.T) {
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
			t.Errorf("%s: got %+v, want an immediate poll with a timeout above 2s", c.name, c.poll)
		}
	}
}
