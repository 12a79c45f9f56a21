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
						w.b.takeToken(&request{Request: Request{ID: id}}, s) {
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

// The members of a large group share their lookups, so that all of them may try one cold server at once,
// however many servers there are. It gets no more than the limit of them, but for chance.
func TestGroupsBurstKeepsColdLimit(t *testing.T) {
	for _, gateways := range []int{3, 80, 300} {
		set := settings()
		set.Gateways = gateways
		w := newWorld(t, set, 80)
		w.feed(List{Mode: Changes, Servers: []Server{{ID: 900, Capacity: 1, Started: w.now}}})
		w.b.refresh()
		s := w.b.servers[900]
		sent, bursts := 0, 100*300/gateways
		for id := range bursts * gateways / 10 { // a tenth of the gateways has a member each
			w.b.now += ms
			w.b.came, s.coldAt, s.Started = fading{}, 0, w.b.now-sec
			w.b.came.add(w.b.now, 1)
			if w.b.takeToken(&request{Request: Request{ID: RequestID(id + 1)}}, s) {
				sent++
			}
		}
		limit := set.TipMultiple * coldRoom / set.ColdTime.Seconds()
		if mean := float64(sent) / float64(bursts); mean > 1.3*limit || mean < 0.1*limit {
			t.Errorf("%d gateways: %.2f in a burst, the limit is %.2f", gateways, mean, limit)
		}
	}
}
