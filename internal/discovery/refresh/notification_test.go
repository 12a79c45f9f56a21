package refresh

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		settings["rapid.checks"] = "3000" // replaces the default of 100; on simulated time 3000 checks take a second
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// outage is a period in which the service refuses connections, or in which it neither answers polls nor accepts connections.
type outage struct {
	from, until time.Duration
	refuses     bool
}

// fakeService simulates discovery or an agent on simulated time.
type fakeService struct {
	outages []outage
	stalls  []time.Duration // times at which all waiting polls stall and are never answered
	changes []time.Duration // times at which the list changes
	latency time.Duration
}

// outcome is the result of a poll.
type outcome struct {
	event   Event
	at      time.Duration
	written time.Duration // time at which the service wrote its answer; 0 if there is none
}

// poll returns the outcome of a poll that is sent at the given time.
func (s *fakeService) poll(p Poll, sent time.Duration) outcome {
	if o, ok := s.outageAt(sent); ok {
		if o.refuses {
			return outcome{event: Failed{}, at: sent + s.latency}
		}
		return outcome{event: TimedOut{}, at: sent + sec} // the connection itself times out
	}
	end := s.answerAt(p, sent)
	if o, ok := s.outageBetween(sent, end); ok {
		if o.refuses {
			return outcome{event: Failed{}, at: o.from + s.latency}
		}
		return outcome{event: TimedOut{}, at: sent + p.Timeout}
	}
	if _, ok := firstBetween(s.stalls, sent, end); ok && p.Wait > 0 {
		return outcome{event: TimedOut{}, at: sent + p.Timeout}
	}
	return outcome{event: ListReceived{Version: int64(end), Complete: p.Complete}, at: end, written: end - s.latency/2}
}

// answerAt returns the time at which a poll is answered if there is no outage and no stall.
func (s *fakeService) answerAt(p Poll, sent time.Duration) time.Duration {
	end := sent + p.Wait + s.latency
	if p.Complete || p.Wait == 0 {
		return end
	}
	if change, ok := firstBetween(s.changes, sent, end); ok {
		return change + s.latency
	}
	return end
}

// outageAt returns the outage at t, if there is one.
func (s *fakeService) outageAt(t time.Duration) (outage, bool) {
	for _, o := range s.outages {
		if t >= o.from && t < o.until {
			return o, true
		}
	}
	return outage{}, false
}

// outageBetween returns an outage that begins after from and before until, if there is one.
func (s *fakeService) outageBetween(from, until time.Duration) (outage, bool) {
	for _, o := range s.outages {
		if o.from > from && o.from < until {
			return o, true
		}
	}
	return outage{}, false
}

// notifiedBy returns the time from which a change counts as notified: when the service has been reachable without an outage
// for MaxNotificationDelay.
func (s *fakeService) notifiedBy(change time.Duration) time.Duration {
	at := change + MaxNotificationDelay
	for extended := true; extended; {
		extended = false
		for _, o := range s.outages {
			if o.from < at && o.until+MaxNotificationDelay > at {
				at, extended = o.until+MaxNotificationDelay, true
			}
		}
	}
	return at
}

func firstBetween(times []time.Duration, from, until time.Duration) (at time.Duration, ok bool) {
	for _, t := range times {
		if t >= from && t < until {
			return t, true
		}
	}
	return 0, false
}

func drawBetween(t *rapid.T, from, to time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(t, label))
}

func drawService(t *rapid.T, localAgent bool) *fakeService {
	s := &fakeService{latency: drawBetween(t, ms, 300*ms, "latency")}
	if localAgent {
		s.latency = drawBetween(t, 0, 20*ms, "latency of an agent")
	}
	for range rapid.IntRange(0, 3).Draw(t, "outages") {
		from := drawBetween(t, 0, 40*sec, "from")
		s.outages = append(s.outages, outage{
			from:    from,
			until:   from + drawBetween(t, 100*ms, 12*sec, "length"),
			refuses: rapid.Bool().Draw(t, "refuses"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "stalls") {
		s.stalls = append(s.stalls, drawBetween(t, 0, 40*sec, "stall"))
	}
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		s.changes = append(s.changes, drawBetween(t, 0, 40*sec, "change"))
	}
	return s
}

// run polls the service for 80 s and returns the time at which each change became known. Zero means never.
func (s *fakeService) run(scheduler *Scheduler, start Start) []time.Duration {
	known := make([]time.Duration, len(s.changes))
	poll := scheduler.Handle(0, start)
	for now := time.Duration(0); now < 80*sec; {
		got := s.poll(poll, now+poll.Delay)
		if _, ok := got.event.(ListReceived); ok {
			for i, change := range s.changes {
				if known[i] == 0 && change <= got.written {
					known[i] = got.at
				}
			}
		}
		now = max(got.at, now+ms)
		poll = scheduler.Handle(now, got.event)
	}
	return known
}

// A change is known before it counts as notified, whether polls succeed, fail or time out.
func TestChangesArriveBeforeNotificationDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		localAgent := rapid.Bool().Draw(t, "local agent")
		settings := Settings{
			LocalAgent:      localAgent,
			Gateways:        rapid.SampledFrom([]int{1, 3, 30, 300}).Draw(t, "gateways"),
			MaxPollInterval: 10 * sec,
			DrainGrace:      drawBetween(t, 200*ms, 800*ms, "grace"),
			Seed:            rapid.Uint64().Draw(t, "seed"),
		}
		service := drawService(t, localAgent)
		start := Start{HasList: rapid.Bool().Draw(t, "has list")}
		known := service.run(New(settings), start)
		for i, change := range service.changes {
			if limit := service.notifiedBy(change); known[i] == 0 || known[i] > limit {
				t.Fatalf("the change at %v is known at %v (0s means never), want at most %v, when it counts as notified",
					change, known[i], limit)
			}
		}
	})
}
