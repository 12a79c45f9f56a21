package balancer

import (
	"math"
	"testing"
	"time"
)

// drawbacks holds everything that can lower the rank of a server.
type drawbacks struct {
	ejected, tried, unreported, probationAttemptPending, overLoadBound bool
	utilization                                                        float64
}

// allDrawbacks returns all combinations of drawbacks. The utilizations among them include some that differ
// only by rounding errors.
func allDrawbacks() (all []drawbacks) {
	utilizations := []float64{
		0, lowUtilization, 0.7, math.Nextafter(0.7, 1), 0.7 + 3e-16, 0.7 + 1e-15, maxUtilization,
	}
	for bits := range 1 << 5 {
		o := drawbacks{
			ejected: bits&1 > 0, tried: bits&2 > 0, unreported: bits&4 > 0,
			probationAttemptPending: bits&8 > 0, overLoadBound: bits&16 > 0,
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

// weight returns the rank as one number: the sum of the weights of the drawbacks, added up in a fixed order.
func (o drawbacks) weight() float64 {
	weight := 0.0
	if o.tried {
		weight += 4
	}
	if o.ejected {
		weight += 8
	}
	if o.probationAttemptPending {
		weight += 2
	}
	switch {
	case o.unreported:
		weight += 4
	case o.utilization > lowUtilization:
		weight += o.utilization
	}
	if o.overLoadBound {
		weight++
	}
	return weight
}

// rank returns the rank that the Balancer gives to a server with these drawbacks.
func (o drawbacks) rank(b *Balancer) rank {
	s := &server{Server: Server{ID: 1, Capacity: 1}, polledAt: b.now}
	r := &request{}
	p := placement{meanLoad: 1, boundPerCapacity: 1e9}
	if o.ejected {
		s.ejectedUntil = b.now + time.Second
	}
	if o.tried {
		r.triedServers = []ServerID{s.ID}
	}
	if o.probationAttemptPending {
		s.onProbation, s.pendingAttempts = true, 1
	}
	if o.overLoadBound {
		p.boundPerCapacity = -1e9
	}
	if !o.unreported {
		s.reportedAt, s.utilization = b.now, o.utilization
	}
	return b.rankOf(r, s, &p)
}

// Ranks are ordered like the sums of the weights of their drawbacks, ties included. The weights are 8 for an
// ejection, 4 for an earlier attempt or an unanswered poll, 2 for a pending attempt on probation, 1 for a
// load over the load bound, and the utilization.
func TestRankOrderMatchesSumOfWeights(t *testing.T) {
	settings := testSettings()
	settings.CanPollLoad = true
	b := newBalancer(t, settings)
	b.now = time.Hour
	all := allDrawbacks()
	for _, x := range all {
		for _, y := range all {
			want := x.weight() < y.weight()
			if got := x.rank(b).less(y.rank(b)); got != want {
				t.Errorf("rank of %+v less than rank of %+v: got %v, want %v", x, y, got, want)
			}
		}
		if got, want := x.rank(b).isBestPossible(), x.weight() == 0; got != want {
			t.Errorf("rank of %+v is the best possible: got %v, want %v", x, got, want)
		}
		if got, want := x.rank(b).suitsWarmup(), x.weight() < 2; got != want {
			t.Errorf("rank of %+v suits a server that is warming up: got %v, want %v", x, got, want)
		}
	}
}
