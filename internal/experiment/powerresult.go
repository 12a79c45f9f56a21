package experiment

import (
	"errors"
	"fmt"
	"time"
)

// powerResult is the result of a power loss for one fleet, with or without a cluster. Times are relative to the return of
// power.
type powerResult struct {
	Together          bool  `json:"together"` // the instances form a cluster
	Requests          int   `json:"requests"` // that a gateway accepted after the return of power
	Served            int   `json:"served"`
	Rejected          int   `json:"refused"`
	Unanswered        int   `json:"unanswered"`
	AnsweredTwice     int   `json:"answered_twice"`
	Overlapping       int   `json:"attempts_overlapping"` // requests that more than one server accepted
	OverloadedServers int   `json:"nodes_tipped"`
	StaleActedOn      int   `json:"stale_acted_on"` // requests to the retired server after a peer was back
	StaleAlone        int   `json:"stale_alone"`    // requests to the retired server before any peer was back
	HalfServedMS      int64 `json:"half_served_ms"` // time from which half of the requests of each powerBucket are served
	AllServedMS       int64 `json:"all_served_ms"`  // the same for 99 % of the requests; -1 if not within the run
}

// powerReport is the result of the scenario for both fleets.
type powerReport struct {
	Scenario  string      `json:"play"`
	Seed      uint64      `json:"seed"`
	Instances int         `json:"instances"`
	Order     []string    `json:"order"` // the faults and starts that were drawn from the seed
	Recovered powerResult `json:"recovered"`
	Plain     powerResult `json:"plain"` // the same fleet without a cluster, in the same run
}

// faults returns an error for each figure of the clustered fleet that is not zero but must be.
func (r *powerReport) faults() error {
	figures := []struct {
		description string
		count       int
	}{
		{"requests were not answered", r.Recovered.Unanswered},
		{"requests were answered twice", r.Recovered.AnsweredTwice},
		{"requests were accepted by more than one node", r.Recovered.Overlapping},
		{"cold nodes were overloaded", r.Recovered.OverloadedServers},
		{"requests followed an endpoint list that peers knew to be old", r.Recovered.StaleActedOn},
	}
	var errs []error
	for _, figure := range figures {
		if figure.count > 0 {
			errs = append(errs, fmt.Errorf("seed %d: %d %s", r.Seed, figure.count, figure.description))
		}
	}
	return errors.Join(errs...)
}

const powerBucket = 500 * time.Millisecond // the period over which served ratios are computed

// servedRatio holds the numbers of all requests and of served requests in a period.
type servedRatio struct{ asked, served int }

func (s servedRatio) atLeast(ratio float64) bool { return float64(s.served) >= ratio*float64(s.asked) }

// add counts the outcomes, and determines the times from which half and 99 % of the requests are served.
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

// servedSince returns the time in milliseconds from which at least the given ratio of requests was served in each bucket,
// or -1. It ignores the last bucket, which may be incomplete.
func servedSince(buckets []servedRatio, ratio float64) int64 {
	since := int64(-1)
	for i := len(buckets) - 2; i >= 0 && buckets[i].atLeast(ratio); i-- {
		since = int64(i) * powerBucket.Milliseconds()
	}
	return since
}
