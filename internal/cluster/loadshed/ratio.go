package loadshed

import "time"

const (
	// maxRejectedRatio is the ratio of admitted requests, 0 to 1, that may be rejected for lack of capacity before more is
	// shed. Real gateways reject some requests that servers could still take. With a value of 0.01, all priorities but the
	// highest were shed although servers had capacity.
	maxRejectedRatio = 0.05
	// minRejectedRate is the rate of rejections, in requests per second, up to which nothing more is shed.
	minRejectedRate = 0.5
	// shedMargin is added to the shed ratio under overload, so that the next small increase of the load does not lead to
	// rejections of higher priorities again.
	shedMargin = 0.015
	// maxRatioStep is the largest increase of the shed ratio in one update. When an overload begins, servers reject
	// everything for a moment, and their capacity is not known yet. Without this bound, ratios of 0.9 were seen when 0.3 was
	// right.
	maxRatioStep = 0.08
	// maxShedRatio is the bound up to which the shed ratio grows.
	maxShedRatio = 0.99
	// minReadmitDelay is the time without overload after which the shed ratio begins to shrink. The delay doubles, up to
	// maxReadmitDelay, each time that the overload returns after the ratio has shrunk.
	minReadmitDelay = 8 * time.Second
	maxReadmitDelay = time.Minute
	// readmitRate is the decrease of the shed ratio per second when it begins to shrink. The decrease per second itself grows
	// by readmitRate each second.
	readmitRate = 0.01
	// peakDecayRate is the fraction of the peak rate by which the peak rate decays per second. The peak rate stands for the
	// servers' capacity. The present rate of served requests can't, because gateways send less to servers that reject: when
	// it was used instead, gateways shed all requests of the highest priority.
	peakDecayRate = 0.05
	// smoothingFactor is the weight of the latest counts in the smoothed rates, 0 to 1.
	smoothingFactor = 0.5
	// minRate replaces a rate of 0 in divisions.
	minRate = 1e-9
)

// localRates holds the smoothed rates at this instance, in requests per second.
type localRates struct {
	requests   []float64 // by priority
	admitted   float64
	rejected   float64
	peakServed float64 // the highest rate of served requests, which decays by peakDecayRate
}

// add updates the rates with the counts of one ReportInterval.
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

// isOverloaded reports whether more of the admitted requests are rejected than minRejectedRate and maxRejectedRatio allow.
func (r *localRates) isOverloaded() bool {
	return r.rejected > minRejectedRate && r.rejected/max(r.admitted, minRate) > maxRejectedRatio
}

// excessRatio returns the fraction of all requests that exceeds the peak rate of served requests. The result is negative if the
// rate of all requests is below the peak.
func (r *localRates) excessRatio() float64 {
	sum := 0.0
	for _, rate := range r.requests {
		sum += rate
	}
	return 1 - r.peakServed/max(sum, minRate)
}

// ratioController determines, from this instance's measurements, the ratio of all requests that should be shed. It starts at
// the peers' ratio and ignores that ratio afterwards. If it followed the peers, a peer that reports a slightly higher ratio
// each time would raise the ratio of all instances.
type ratioController struct {
	shedRatio     float64 // ratio of all requests, 0 to 1
	isStarted     bool
	lastOverload  time.Duration // time of the latest update under overload, or of the first update
	readmitDelay  time.Duration // from lastOverload until the ratio begins to shrink
	isReadmitting bool          // the ratio has shrunk since lastOverload
}

// update adjusts the ratio to the rates at now; the first call starts at peerRatio. Under overload, the ratio grows towards
// the excess over the peak rate. The size of the increase does not depend on the present rejections, because they show the
// effect of an increase only some updates later.
func (c *ratioController) update(now time.Duration, rates *localRates, peerRatio float64) {
	if !c.isStarted {
		*c = ratioController{shedRatio: peerRatio, isStarted: true, lastOverload: now, readmitDelay: minReadmitDelay}
	}
	switch {
	case rates.isOverloaded():
		c.increase(now, rates)
	case c.shedRatio == 0:
		c.isReadmitting, c.readmitDelay = false, minReadmitDelay
	case now-c.lastOverload > c.readmitDelay:
		c.readmit(now)
	}
}

// increase raises the shed ratio under overload.
func (c *ratioController) increase(now time.Duration, rates *localRates) {
	if c.isReadmitting {
		c.isReadmitting, c.readmitDelay = false, min(2*c.readmitDelay, maxReadmitDelay)
	}
	c.lastOverload = now
	target := max(rates.excessRatio()+shedMargin, c.shedRatio)
	c.shedRatio = min(target, c.shedRatio+maxRatioStep, maxShedRatio)
}

// readmit lowers the shed ratio, faster the longer there has been no overload.
func (c *ratioController) readmit(now time.Duration) {
	c.isReadmitting = true
	rate := readmitRate * (1 + (now - c.lastOverload - c.readmitDelay).Seconds())
	c.shedRatio = max(c.shedRatio-rate*ReportInterval.Seconds(), 0)
}
