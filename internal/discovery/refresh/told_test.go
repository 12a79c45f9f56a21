package refresh

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// span is a stretch of time in which the service is not as it should be.
type span struct {
	from, until time.Duration
	refuses     bool // else it says nothing, and whoever connects waits in vain
}

// service is discovery on a clock of its own: it is away for some spans, at some moments all watches that are open fall
// silent, and its list changes now and then.
type service struct {
	away    []span
	silence []time.Duration
	changes []time.Duration
	latency time.Duration
}

func (s *service) awayAt(t time.Duration) (span, bool) {
	for _, a := range s.away {
		if t >= a.from && t < a.until {
			return a, true
		}
	}
	return span{}, false
}

func first(times []time.Duration, from, until time.Duration) (at time.Duration, ok bool) {
	for _, t := range times {
		if t >= from && t < until {
			return t, true
		}
	}
	return 0, false
}

// call carries a call out that is sent at a time: what came of it and when, and with an answer when that was written.
func (s *service) call(c Poll, sent time.Duration) (ev Event, at, written time.Duration) {
	if a, is := s.awayAt(sent); is {
		if a.refuses {
			return Failed{}, sent + s.latency, 0
		}
		return TimedOut{}, sent + sec, 0 // it does not even connect
	}
	end := sent + c.Wait + s.latency
	if !c.Complete && c.Wait > 0 {
		if at, ok := first(s.changes, sent, end); ok {
			end = at + s.latency
		}
	}
	for _, a := range s.away {
		if a.from > sent && a.from < end {
			if a.refuses {
				return Failed{}, a.from + s.latency, 0
			}
			return TimedOut{}, sent + c.Timeout, 0
		}
	}
	if _, ok := first(s.silence, sent, end); ok && c.Wait > 0 {
		return TimedOut{}, sent + c.Timeout, 0
	}
	return ListReceived{Version: int64(end), Complete: c.Complete}, end, end - s.latency/2
}

// Whatever becomes of calls, a change is known before it counts as told: 6 s after discovery had it and could be reached.
func TestChangesAreKnownBeforeTheyCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pushed := rapid.Bool().Draw(t, "pushed")
		between := func(from, to time.Duration, label string) time.Duration {
			return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(t, label))
		}
		s := &service{latency: between(ms, 300*ms, "latency")}
		set := Settings{Gateways: rapid.SampledFrom([]int{1, 3, 30, 300}).Draw(t, "gateways"), MaxPollInterval: 10 * sec,
			DrainGrace: between(200*ms, 800*ms, "grace"), Seed: rapid.Uint64().Draw(t, "seed"), LocalAgent: pushed}
		if pushed {
			s.latency = between(0, 20*ms, "latency of an agent")
		}
		for range rapid.IntRange(0, 3).Draw(t, "spans") {
			from := between(0, 40*sec, "from")
			s.away = append(s.away, span{from, from + between(100*ms, 12*sec, "long"), rapid.Bool().Draw(t, "refuses")})
		}
		for range rapid.IntRange(0, 2).Draw(t, "silences") {
			s.silence = append(s.silence, between(0, 40*sec, "silent"))
		}
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			s.changes = append(s.changes, between(0, 40*sec, "change"))
		}
		c := New(set)
		have := rapid.Bool().Draw(t, "have")
		next := c.Handle(0, Start{HasList: have})
		known := make([]time.Duration, len(s.changes))
		for now := time.Duration(0); now < 80*sec; {
			ev, at, written := s.call(next, now+next.Delay)
			if _, ok := ev.(ListReceived); ok {
				for i, change := range s.changes {
					if known[i] == 0 && change <= written {
						known[i] = at
					}
				}
			}
			now = max(at, now+ms)
			next = c.Handle(now, ev)
		}
		for i, change := range s.changes {
			counts := change + ToldAfter
			for again := true; again; {
				again = false
				for _, a := range s.away {
					if a.from < counts && a.until+ToldAfter > counts {
						counts, again = a.until+ToldAfter, true
					}
				}
			}
			if known[i] == 0 || known[i] > counts {
				t.Fatalf("the change of %v counts at %v and is known at %v", change, counts, known[i])
			}
		}
	})
}

// What is older than the list that is held is not gone by, whole or not; the whole list that is asked for then is.
func TestAStaleListIsAskedForAgain(t *testing.T) {
	for _, whole := range []bool{false, true} {
		c := New(Settings{})
		c.Handle(0, Start{HasList: true, Version: 9})
		if c.Accepts(7, whole) || !c.Accepts(9, whole) || !c.Accepts(10, whole) {
			t.Errorf("whole %v: takes 7 %v, 9 %v, 10 %v", whole, c.Accepts(7, whole), c.Accepts(9, whole), c.Accepts(10, whole))
		}
		call := c.Handle(sec, ListReceived{Version: 7, Complete: whole})
		if !call.Complete || !c.Accepts(7, true) || c.Accepts(8, false) {
			t.Errorf("whole %v: goes on with %+v", whole, call)
		}
		if c.Handle(2*sec, ListReceived{Version: 7, Complete: true}); !c.Accepts(8, false) {
			t.Error("changes to the list that was asked for are not taken")
		}
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "11")
	flag.Set("rapid.nofailfile", "true")
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		flag.Set("rapid.checks", "3000") // on a clock of its own: a second
	}
	os.Exit(m.Run())
}

// A call that does not wait is given the time that a busy service was seen to have callers stand in line, 2 s: who gives up
// earlier stands in line again, behind the others, and may never be answered.
func TestBusyServicesAreWaitedFor(t *testing.T) {
	c := asked(300, 1)
	for _, call := range []Poll{c.Handle(0, Start{}), c.Handle(sec, Failed{}), c.Handle(4*sec, TimedOut{})} {
		if call.Wait != 0 || call.Timeout <= 2*sec {
			t.Errorf("%+v", call)
		}
	}
}
