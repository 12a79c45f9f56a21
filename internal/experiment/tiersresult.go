package experiment

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const tierCount = 3

// tiersResult is the result of an overload for one fleet, which sheds load by priority or does not. Arrays are indexed by
// priority, the highest first.
type tiersResult struct {
	Tiers           bool               `json:"tiers"`
	ServedRatio     [tierCount]float64 `json:"served_part"`      // 0 to 1, after tiersSettleTime
	InvertedSeconds float64            `json:"inverted_seconds"` // see inversionInterval
	ServedBySecond  []string           `json:"served_by_second"` // the served ratios of all priorities
	Unanswered      int                `json:"unanswered"`
	Requests        int                `json:"requests"`
}

// tiersReport is the result of the scenario for both fleets.
type tiersReport struct {
	Scenario  string      `json:"play"`
	Seed      uint64      `json:"seed"`
	Instances int         `json:"instances"`
	Order     []string    `json:"order"`
	Shed      tiersResult `json:"shed"`
	Plain     tiersResult `json:"plain"` // the same fleet without tiers, in the same run
}

// faults returns an error for each figure of the fleet with tiers that is outside its allowed range.
func (r *tiersReport) faults() error {
	const minHighestServed = 0.9
	var errs []error
	if r.Shed.Unanswered > 0 {
		errs = append(errs, fmt.Errorf("seed %d: %d requests were not answered", r.Seed, r.Shed.Unanswered))
	}
	highest, lowest := r.Shed.ServedRatio[0], r.Shed.ServedRatio[tierCount-1]
	if highest < minHighestServed || highest < lowest {
		errs = append(errs, fmt.Errorf("seed %d: served ratio of the highest tier is %.2f, of the lowest tier %.2f",
			r.Seed, highest, lowest))
	}
	return errors.Join(errs...)
}

// tierRatios holds the served ratios of a period by priority.
type tierRatios [tierCount]servedRatio

func (t *tierRatios) add(o requestOutcome) {
	t[o.priority].asked++
	if o.served {
		t[o.priority].served++
	}
}

func (t *tierRatios) ratio(priority int) float64 {
	return float64(t[priority].served) / float64(max(t[priority].asked, 1))
}

func (t *tierRatios) String() string {
	ratios := make([]string, tierCount)
	for priority := range t {
		ratios[priority] = fmt.Sprintf("%.2f", t.ratio(priority))
	}
	return strings.Join(ratios, " ")
}

// add counts the outcomes of the requests that a gateway accepted after tiersSettleTime.
func (r *tiersResult) add(outcomes []requestOutcome) {
	var total tierRatios
	seconds := make([]tierRatios, int((tiersSettleTime+tiersMeasuredTime)/time.Second))
	highestRejected, lowestServed := map[int]bool{}, map[int]bool{} // by interval
	for _, o := range outcomes {
		if !o.accepted || o.sentAt < tiersSettleTime {
			continue
		}
		r.Requests++
		total.add(o)
		if second := int(o.sentAt / time.Second); second < len(seconds) {
			seconds[second].add(o)
		}
		interval := int(o.sentAt / inversionInterval)
		switch {
		case o.served && o.priority == tierCount-1:
			lowestServed[interval] = true
		case !o.served && o.answer == "":
			r.Unanswered++
		case o.rejected() && o.priority == 0:
			highestRejected[interval] = true
		}
	}
	for priority := range r.ServedRatio {
		r.ServedRatio[priority] = total.ratio(priority)
	}
	for _, second := range seconds {
		r.ServedBySecond = append(r.ServedBySecond, second.String())
	}
	for interval := range highestRejected {
		if lowestServed[interval] {
			r.InvertedSeconds += inversionInterval.Seconds()
		}
	}
}
