package experiment

import (
	"errors"
	"fmt"
	"time"
)

// powerResult is what a loss of power came to, for a fleet that recovers together or one that does not. The times are
// from the return of power.
type powerResult struct {
	Together         bool  `json:"together"`
	Requests         int   `json:"requests"` // that a gateway accepted after power came back
	Served           int   `json:"served"`
	Rejected         int   `json:"refused"`
	Unanswered       int   `json:"unanswered"`
	AnsweredTwice    int   `json:"answered_twice"`
	Overlapping      int   `json:"attempts_overlapping"` // requests that more than one server accepted
	OverloadedServer int   `json:"nodes_tipped"`
	StaleActedOn     int   `json:"stale_acted_on"` // requests to a server that had left, though a peer was back
	StaleAlone       int   `json:"stale_alone"`    // the same before any peer was back
	HalfServedMS     int64 `json:"half_served_ms"` // until half of half a second's requests are served, and stay so
	AllServedMS      int64 `json:"all_served_ms"`  // the same for 99 in 100; -1: not within the run
}

// powerReport is the outcome of the scenario.
type powerReport struct {
	Scenario  string      `json:"play"`
	Seed      uint64      `json:"seed"`
	Instances int         `json:"instances"`
	Order     []string    `json:"order"` // of the faults, as drawn from the seed
	Recovered powerResult `json:"recovered"`
	Plain     powerResult `json:"plain"` // the same fleet without a cluster, in the same run
}

// faults returns an error for each figure of the clustered fleet that must be zero and is not.
func (r *powerReport) faults() error {
	figures := []struct {
		description string
		count       int
	}{
		{"requests were not answered", r.Recovered.Unanswered},
		{"requests were answered twice", r.Recovered.AnsweredTwice},
		{"requests were taken by more than one node", r.Recovered.Overlapping},
		{"cold nodes were pushed over", r.Recovered.OverloadedServer},
		{"requests went by a list that peers knew to be old", r.Recovered.StaleActedOn},
	}
	var errs []error
	for _, figure := range figures {
		if figure.count > 0 {
			errs = append(errs, fmt.Errorf("seed %d: %d %s", r.Seed, figure.count, figure.description))
		}
	}
	return errors.Join(errs...)
}

const powerBucket = 500 * time.Millisecond

// servedRatio is how many of a period's requests were served.
type servedRatio struct{ asked, served int }

func (s servedRatio) atLeast(ratio float64) bool { return float64(s.served) >= ratio*float64(s.asked) }

// add counts requests, and finds when service was back for good.
func (r *powerResult) add(outcomes []requestOutcome) {
	var buckets []servedRatio
	for _, o := range outcomes {
		i := int(o.sentAt / powerBucket)
		for len(buckets) <= i {
			buckets = append(buckets, servedRatio{})
		}
		buckets[i].asked++
		if o.served {
			buckets[i].served++
		}
		r.addOutcome(o)
	}
	r.HalfServedMS = servedSince(buckets, 0.5)
	r.AllServedMS = servedSince(buckets, 0.99)
}

func (r *powerResult) addOutcome(o requestOutcome) {
	if o.served {
		r.Served++
	}
	if !o.accepted {
		return
	}
	r.Requests++
	if o.answer == "" {
		r.Unanswered++
	}
	if o.rejected() {
		r.Rejected++
	}
	if o.answeredTwice {
		r.AnsweredTwice++
	}
}

// servedSince returns the time in milliseconds from which on a ratio was served, or -1. The last bucket may be
// incomplete and is ignored.
func servedSince(buckets []servedRatio, ratio float64) int64 {
	since := int64(-1)
	for i := len(buckets) - 2; i >= 0 && buckets[i].atLeast(ratio); i-- {
		since = int64(i) * powerBucket.Milliseconds()
	}
	return since
}
