package balancer

import (
	"math"
	"testing"
	"time"
)

// objections are all that can speak against a server.
type objections struct {
	ejected, tried, unreported, awaitsFirst, overFairShare bool
	utilization                                            float64
}

// allObjections lists every combination, with utilizations that differ by rounding errors alone among them.
func allObjections() (all []objections) {
	utilizations := []float64{
		0, lowUtilization, 0.7, math.Nextafter(0.7, 1), 0.7 + 3e-16, 0.7 + 1e-15, maxUtilization,
	}
	for bits := range 1 << 5 {
		o := objections{
			ejected: bits&1 > 0, tried: bits&2 > 0, unreported: bits&4 > 0, awaitsFirst: bits&8 > 0,
			overFairShare: bits&16 > 0,
		}
		if o.unreported {
			all = append(all, o)
			continue
		}
		for _, o.utilization = range utilizations {
			all = append(all, o)
		}
	}
	return all
}

// weight is the rank as one number, added up in a fixed order.
func (o objections) weight() float64 {
	weight := 0.0
	if o.tried {
		weight += 4
	}
	if o.ejected {
		weight += 8
	}
	if o.awaitsFirst {
		weight += 2
	}
	switch {
	case o.unreported:
		weight += 4
	case o.utilization > lowUtilization:
		weight += o.utilization
	}
	if o.overFairShare {
		weight++
	}
	return weight
}

// rank has the Balancer rank a server against which all this speaks.
func (o objections) rank(b *Balancer) rank {
	s := &server{Server: Server{ID: 1, Capacity: 1}, polledAt: b.now}
	r := &request{}
	p := placement{meanLoad: 1, boundPerCapacity: 1e9}
	if o.ejected {
		s.ejectedUntil = b.now + time.Second
	}
	if o.tried {
		r.triedServers = []ServerID{s.ID}
	}
	if o.awaitsFirst {
		s.onProbation, s.pendingAttempts = true, 1
	}
	if o.overFairShare {
		p.boundPerCapacity = -1e9
	}
	if !o.unreported {
		s.reportedAt, s.utilization = b.now, o.utilization
	}
	return b.rankOf(r, s, &p)
}

// Ranks are ordered as the sums of what each objection weighs, ties included: 8 for an ejection, 4 for an
// earlier attempt or an unanswered poll, 2 for a pending first attempt, 1 for a load over the fair share,
// and the utilization.
func TestRankOrderIsThatOfTheWeights(t *testing.T) {
	settings := testSettings()
	settings.CanPollLoad = true
	b := newBalancer(t, settings)
	b.now = time.Hour
	all := allObjections()
	for _, x := range all {
		for _, y := range all {
			want := x.weight() < y.weight()
			if got := x.rank(b).less(y.rank(b)); got != want {
				t.Errorf("rank of %+v is less than that of %+v: %v, want %v", x, y, got, want)
			}
		}
		if got, want := x.rank(b).isBestPossible(), x.weight() == 0; got != want {
			t.Errorf("nothing speaks against %+v: %v, want %v", x, got, want)
		}
		if got, want := x.rank(b).suitsWarmup(), x.weight() < 2; got != want {
			t.Errorf("%+v suits a server that is warming up: %v, want %v", x, got, want)
		}
	}
}
