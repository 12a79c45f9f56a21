package balancer

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// When all gateways are asked at once, each for the first time in long, no cold server gets more in TipTime
// than the limit, in the mean over many such bursts: each gateway knows of its one request alone.
func TestBurstOverAllGatewaysKeepsColdLimit(t *testing.T) {
	const members, bursts = 13, 60
	for _, gateways := range []int{3, 80, 300} {
		for _, tip := range []time.Duration{sec, 2 * sec} {
			set := settings()
			set.Gateways, set.ColdOverloadDuration = gateways, tip
			sent, id := 0, RequestID(0)
			w := newWorld(t, set, members-1)
			w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1, Started: w.now}}})
			w.b.refreshTable()
			s := w.b.servers[900]
			w.b.startedAt = w.now - time.Hour
			for range bursts * gateways { // one world stands for all: nothing of the last request is left
				w.b.now += ms
				w.b.recentRequests, s.warmupLookups = decayingCounter{}, decayingCounter{}
				s.warmupSentAt, s.Started = 0, w.b.now-sec
				w.b.recentRequests.add(w.b.now, 1)
				id++
				for j := range maxNearLookups {
					if mix(uint64(id), uint64(j))%members == 0 &&
						w.b.admitToWarmingServer(&request{Request: Request{ID: id}}, s) {
						sent++
						break
					}
				}
			}
			limit := set.ColdOverloadFactor * minWarmConnections /
				set.WarmupDuration.Seconds() * tip.Seconds()
			if mean := float64(sent) / bursts; mean > 1.2*limit || mean < 0.2*limit {
				t.Errorf("%d gateways, %v: %.2f in a burst, the limit is %.2f", gateways, tip, mean, limit)
			}
		}
	}
}

// The members of a large group share their lookups, so that many may try one cold server at once, however
// many servers there are. On a day with 300 gateways 111 came back together; servers fell at 15 connections
// and more.
func TestGroupsBurstTipsNoColdServer(t *testing.T) {
	const members, bursts, bears, falls = 111, 200, 20, 15
	set := settings()
	set.Gateways, set.ColdOverloadFactor, set.WarmupDuration = 300, 4, 21*sec
	w := newWorld(t, set, 80)
	w.feed(EndpointList{Mode: ListDelta, Servers: []Server{{ID: 900, Capacity: 1, Started: w.now}}})
	w.b.refreshTable()
	w.b.startedAt = w.now - time.Hour
	w.b.connectionCapacity.add(bears)
	s := w.b.servers[900]
	sent := 0
	for id := range bursts * members {
		w.b.now += ms
		w.b.recentRequests, s.warmupLookups = decayingCounter{}, decayingCounter{}
		s.warmupSentAt, s.Started = 0, w.b.now-sec
		w.b.recentRequests.add(w.b.now, 1)
		if w.b.admitToWarmingServer(&request{Request: Request{ID: RequestID(id + 1)}}, s) {
			sent++
		}
	}
	if mean := float64(sent) / bursts; mean >= falls || mean < 1 {
		t.Errorf("%.2f in a burst", mean)
	}
}

// coldFleet is a fleet of gateways on rules alone that all send to servers of which some are cold.
type coldFleet struct {
	t        *rapid.T
	rnd      *rand.Rand
	set      Settings
	fleet    []*Balancer
	told     []time.Duration // when each gateway hears of the cold servers
	list     EndpointList    // with these
	cold     ServerID        // the first of them; warm ones have lower numbers
	n        float64         // requests that the settings allow a cold server in TipTime
	id       RequestID
	sends    map[ServerID][]time.Duration
	age      time.Duration // of the gateways when the servers start
	failures float64       // part of the attempts that come back as turned away, and are tried elsewhere
}

func drawColdFleet(t *rapid.T) *coldFleet {
	between := func(from, to float64, label string) float64 {
		return rapid.Float64Range(from, to).Draw(t, label)
	}
	f := &coldFleet{t: t, set: settings(), sends: map[ServerID][]time.Duration{}}
	gateways := rapid.SampledFrom([]int{3, 20, 30, 80, 300}).Draw(t, "gateways")
	warm, cold := rapid.IntRange(8, 60).Draw(t, "warm"), rapid.IntRange(1, 8).Draw(t, "cold")
	f.set.Gateways, f.set.CanPollLoad = gateways, false
	f.set.ColdOverloadFactor = between(2, 6, "multiple")
	f.set.WarmupDuration = time.Duration(between(10, 25, "cold time") * 1e9)
	f.set.ColdOverloadDuration = time.Duration(between(1, 2, "tip time") * 1e9)
	f.failures = between(0, 0.3, "turned away")
	weight, each := between(0.5, 4, "weight"), between(1.5, 20, "allowed a second")
	bears := each * f.set.WarmupDuration.Seconds() / f.set.ColdOverloadFactor / weight
	f.n = max(each, minWarmConnections*f.set.ColdOverloadFactor/f.set.WarmupDuration.Seconds()) *
		f.set.ColdOverloadDuration.Seconds()
	f.rnd = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	f.cold = ServerID(100 + warm)
	before := EndpointList{Mode: ListComplete}
	for i := range warm + cold {
		s := Server{ID: ServerID(100 + i), Capacity: 1}
		if i >= warm {
			s.Capacity, s.Started = weight, coldStart
		} else {
			before.Servers = append(before.Servers, s)
		}
		f.list.Servers = append(f.list.Servers, s)
	}
	f.list.Mode = ListComplete
	f.age = rapid.SampledFrom([]time.Duration{0, 8 * sec}).Draw(t, "age")
	late := between(0, 2, "lists come apart") // by so many seconds
	for i := range gateways {
		f.set.Seed = uint64(i) + 1
		b := mustNew(nil, f.set)
		b.Handle(coldStart-f.age, before)
		b.connectionCapacity.add(bears)
		f.fleet = append(f.fleet, b)
		f.told = append(f.told, coldStart+time.Duration(f.rnd.Float64()*late*1e9))
	}
	return f
}

const coldStart = 100 * sec

// ask has a request come to a gateway; some get several times the mean.
func (f *coldFleet) ask(now time.Duration, group string, returned bool) {
	i := int(math.Pow(f.rnd.Float64(), 1.5) * float64(len(f.fleet)))
	b := f.fleet[i]
	if f.told[i] > 0 && now >= f.told[i] {
		f.told[i] = 0
		b.Handle(now, f.list)
	}
	f.id++
	next := find[Send](b.Handle(now, Request{ID: f.id, Class: "safe", Key: fmt.Sprint(f.id), Group: group,
		Reconnecting: returned, Timeout: 2 * sec}))
	for n := 0; len(next) > 0; n++ {
		s := next[0]
		if s.Server >= f.cold {
			f.sends[s.Server] = append(f.sends[s.Server], now)
		}
		if f.rnd.Float64() >= f.failures {
			b.Handle(now, AttemptEstablished{ID: s.ID, Attempt: n, Server: s.Server})
			return
		}
		next = find[Send](b.Handle(now,
			AttemptEnded{ID: s.ID, Attempt: n, Server: s.Server, Result: Rejected}))
	}
}

// most is the most that one cold server was sent within TipTime.
func (f *coldFleet) most() (most int) {
	for _, at := range f.sends {
		from := 0
		for to := range at {
			for at[to]-at[from] >= f.set.ColdOverloadDuration {
				from++
			}
			most = max(most, to-from+1)
		}
	}
	return most
}

// Whatever the fleet, its traffic and its groups are, what all gateways together send to a cold server
// within TipTime stays within N + 2 x root of N + 2, N being the multiple of what fills the server over its
// warm-up: also where all gateways have only just started and know nothing of their traffic, where they hear
// of the server at different times, and where attempts fail and are tried again. In the middle of it a large
// group returns within 0.3 s, as large a part of the fleet as was seen (111 clients of 300 gateways), and its
// entry is a cold server. By chance one of 2,400 draws passed it (12 sent of 11.7), and more do where one
// group is most of the traffic.
func TestColdServersAreKeptInSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawColdFleet(t)
		gateways := len(f.fleet)
		share := rapid.Float64Range(0.3, 1.5).Draw(t, "requests a second for each gateway")
		if gateways < 80 {
			share *= 80 / float64(gateways+10) // the fewer, the more of the traffic is each one's
		}
		zipf := rapid.IntRange(6, 40).Draw(t, "groups")
		whole := mustNew(nil, f.set)
		whole.Handle(coldStart, f.list)
		whole.refreshTable()
		hot := "h"
		for whole.tableServers[whole.table.at(hashKey(hot), 0)].ID < f.cold {
			hot += "h"
		}
		now, burst := coldStart-f.age, coldStart+3*sec
		for now < coldStart+5*sec {
			next := now + time.Duration(f.rnd.ExpFloat64()/share/float64(gateways)*1e9)
			if now < burst && next >= burst {
				back := max(111*gateways/300, 6)
				for i := range back {
					f.ask(burst+time.Duration(i)*300*ms/time.Duration(back), hot, true)
				}
				next = burst + 300*ms
			}
			now = next
			f.ask(now, fmt.Sprint("g", f.rnd.IntN(f.rnd.IntN(zipf)+1)), f.rnd.IntN(3) > 0)
		}
		if limit := f.n + 2*math.Sqrt(f.n) + 2; float64(f.most()) > limit {
			t.Fatalf("sent %d in %v, it falls at %.1f (N %.1f)",
				f.most(), f.set.ColdOverloadDuration, limit, f.n)
		}
	})
}

// The same draws each time, and no file is left behind where one fails.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "9")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.shrinktime", "5s")
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		flag.Set("rapid.checks", "30") // some 10 s under the race detector
	}
	os.Exit(m.Run())
}
