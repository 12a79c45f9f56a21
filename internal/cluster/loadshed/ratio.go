package loadshed

import "time"

const (
	// maxRejectedRatio is the ratio of admitted requests that may be rejected for want of capacity without more being
	// shed. Real gateways reject some that servers could still take: with a hundredth, all but the highest priority was
	// shed though there was capacity.
	maxRejectedRatio = 0.05
	// minRejectedRate is the rate of rejections, in requests a second, below which nothing more is shed.
	minRejectedRate = 0.5
	// shedMargin is shed beyond what was rejected, so that the next small change does not reject higher priorities again.
	shedMargin = 0.015
	// maxRatioStep is by how much the ratio may grow in one update. When an overload begins, servers reject everything for
	// a moment and their capacity is not known yet: without the bound, ratios of 0.9 were seen where 0.3 was right.
	maxRatioStep = 0.08
	// maxShedRatio bounds the ratio.
	maxShedRatio = 0.99
	// minReopenDelay is how long no more than maxRejectedRatio must be rejected before more is admitted again. It doubles,
	// up to maxReopenDelay, each time that admitting more turns out to be too much.
	minReopenDelay = 8 * time.Second
	maxReopenDelay = time.Minute
	// reopenRate is by how much the ratio shrinks a second once more is admitted. It grows by as much each second.
	reopenRate = 0.01
	// peakDecayRate is the part of the peak rate that is forgotten a second. The rate that is served just now does not
	// measure the servers' capacity: gateways send less to servers that reject, and were seen to shed all of the highest
	// priority by it.
	peakDecayRate = 0.05
	// smoothingFactor is the weight of the latest counts in the smoothed rates.
	smoothingFactor = 0.5
	// minRate stands for rates of 0 in divisions.
	minRate = 1e-9
)

// localRates are the smoothed rates at this instance, in requests a second.
type localRates struct {
	requests   []float64 // by priority
	admitted   float64
	rejected   float64
	peakServed float64 // the highest rate of served requests, decaying
}

func (r *localRates) add(counts LocalCounts) {
	interval := ReportInterval.Seconds()
	var admitted, rejected float64
	for i := range r.requests {
		rate := float64(counts.Requests[i]) / interval
		r.requests[i] += smoothingFactor * (rate - r.requests[i])
		admitted += rate - float64(counts.Shed[i])/interval
		rejected += float64(counts.Rejected[i]) / interval
	}
	r.admitted += smoothingFactor * (admitted - r.admitted)
	r.rejected += smoothingFactor * (rejected - r.rejected)
	r.peakServed = max(r.admitted-r.rejected, r.peakServed*(1-peakDecayRate*interval))
}

// isOverloaded reports whether too much of what is admitted is rejected.
func (r *localRates) isOverloaded() bool {
	return r.rejected > minRejectedRate && r.rejected/max(r.admitted, minRate) > maxRejectedRatio
}

// excessRatio is the ratio of all requests beyond the peak rate that was served.
func (r *localRates) excessRatio() float64 {
	sum := 0.0
	for _, rate := range r.requests {
		sum += rate
	}
	return 1 - r.peakServed/max(sum, minRate)
}

// ratioController determines the ratio of all requests that this instance considers right to shed. It starts where the
// peers are and goes on from its own value only: if it followed the peers, one that reports a little too much each time
// would raise the ratio of all.
type ratioController struct {
	value        float64
	isStarted    bool
	lastOverload time.Duration
	reopenDelay  time.Duration // from lastOverload until more is admitted
	isReopening  bool          // more has been admitted since lastOverload
}

// update moves the ratio by the rates at now. Under overload it grows towards the excess over the peak rate; the
// rejections of this moment don't serve as a measure, since a step shows only some updates later.
func (c *ratioController) update(now time.Duration, rates *localRates, peers float64) {
	if !c.isStarted {
		*c = ratioController{value: peers, isStarted: true, lastOverload: now, reopenDelay: minReopenDelay}
	}
	switch {
	case rates.isOverloaded():
		c.raise(now, rates)
	case c.value == 0:
		c.isReopening, c.reopenDelay = false, minReopenDelay
	case now-c.lastOverload > c.reopenDelay:
		c.reopen(now)
	}
}

func (c *ratioController) raise(now time.Duration, rates *localRates) {
	if c.isReopening {
		c.isReopening, c.reopenDelay = false, min(2*c.reopenDelay, maxReopenDelay)
	}
	c.lastOverload = now
	target := max(rates.excessRatio()+shedMargin, c.value)
	c.value = min(target, c.value+maxRatioStep, maxShedRatio)
}

func (c *ratioController) reopen(now time.Duration) {
	c.isReopening = true
	rate := reopenRate * (1 + (now - c.lastOverload - c.reopenDelay).Seconds())
	c.value = max(c.value-rate*ReportInterval.Seconds(), 0)
}
