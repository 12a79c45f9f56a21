package rules

import (
	"testing"
	"time"
)

// When all gateways are asked at once, each for the first time in long, no cold server gets more in TipTime
// than the limit, in the mean over many such bursts: each gateway knows of its one request alone.
func TestBurstOverAllGatewaysKeepsColdLimit(t *testing.T) {
	const members, bursts = 13, 60
	for _, gateways := range []int{3, 80, 300} {
		for _, tip := range []time.Duration{sec, 2 * sec} {
			set := settings()
			set.Gateways, set.TipTime = gateways, tip
			sent, id := 0, RequestID(0)
			w := newWorld(t, set, members-1)
			w.feed(List{Mode: Changes, Servers: []Server{{ID: 900, Capacity: 1, Started: w.now}}})
			w.b.refresh()
			s := w.b.servers[900]
			for range bursts * gateways { // one world stands for all: nothing of the last request is left
				w.b.now += ms
				w.b.came, s.coldAt, s.Started = fading{}, 0, w.b.now-sec
				w.b.came.add(w.b.now, 1)
				id++
				for j := range coldTries {
					if mix(uint64(id), uint64(j))%members == 0 &&
						w.b.admitCold(&request{Request: Request{ID: id}}, s) {
						sent++
						break
					}
				}
			}
			limit := set.TipMultiple * coldRoom / set.ColdTime.Seconds() * tip.Seconds()
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
	set.Gateways, set.TipMultiple, set.ColdTime = 300, 4, 21*sec
	w := newWorld(t, set, 80)
	w.feed(List{Mode: Changes, Servers: []Server{{ID: 900, Capacity: 1, Started: w.now}}})
	w.b.refresh()
	w.b.bears.add(bears)
	s := w.b.servers[900]
	sent := 0
	for id := range bursts * members {
		w.b.now += ms
		w.b.came, s.coldAt, s.Started = fading{}, 0, w.b.now-sec
		w.b.came.add(w.b.now, 1)
		if w.b.admitCold(&request{Request: Request{ID: RequestID(id + 1)}}, s) {
			sent++
		}
	}
	if mean := float64(sent) / bursts; mean >= falls || mean < 1 {
		t.Errorf("%.2f in a burst", mean)
	}
}
