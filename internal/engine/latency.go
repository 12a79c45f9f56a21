package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

const (
	// messageSampleLifetime is how long a timed message tells of the present. Clients send a message every 2 s; half a
	// second is added for what it takes.
	messageSampleLifetime = 2500 * time.Millisecond
	// loadReportLifetime is how long a load report tells of the present: the slower of the two poll intervals, and half
	// a second for the answer.
	loadReportLifetime = 2500 * time.Millisecond
	// messageDelayInterval is the least time between two reports of one server's message delay to the balancer, which
	// counts on a report a second while messages are slow.
	messageDelayInterval = time.Second
	// slowMessageDivisor: messages that take more than this part of the latency objective are reported as slow.
	slowMessageDivisor = 3
	// idleServiceDivisor: an unloaded server takes about this part of the shortest latency objective for a message.
	idleServiceDivisor = 12
	// maxUtilization is where the estimate of waiting times ends: beyond it a server does all that it can, and
	// differences between reports are noise.
	maxUtilization = 0.93
	// maxEstimatedBacklog bounds the work that is estimated to have piled up. Reports are off by a sixth either way;
	// without a bound what is too much in them adds up, and keeps a server out for seconds after it has capacity
	// again.
	maxEstimatedBacklog = 100 * time.Millisecond
)

// latencyEstimator estimates how long messages take at a server now.
//
// The line protocol does not report it, so messages are timed from when they are sent to the answer. That alone
// misses overload: unless it hangs, a server answers messages at once, beside the work that has piled up. Where load
// reports can be polled, the time that a message takes is estimated from them too.
type latencyEstimator struct {
	answeredIn   time.Duration // of the last message that was answered
	answeredAt   time.Duration
	answeredOn   slotmap.Handle // the connection
	unanswered   time.Duration  // age of the oldest message that was not, at the last sweep
	unansweredOn slotmap.Handle

	utilization float64 // as last reported
	backlog     time.Duration
	reportedAt  time.Duration // 0: never
	polledAt    time.Duration

	isSlow     bool // as the balancer was last notified
	notifiedAt time.Duration
}

func (l *latencyEstimator) noteAnswer(now time.Duration, connection slotmap.Handle, delay time.Duration) {
	l.answeredIn, l.answeredAt, l.answeredOn = delay, now, connection
}

func (l *latencyEstimator) resetUnanswered() { l.unanswered, l.unansweredOn = 0, 0 }

func (l *latencyEstimator) noteUnanswered(connection slotmap.Handle, age time.Duration) {
	if age > l.unanswered {
		l.unanswered, l.unansweredOn = age, connection
	}
}

// noteReport takes in a load report. Work beyond a server's capacity piles up, and what capacity is left works that
// off. Reports are noisy, but a mean of the last few comes too late for the balancer to keep a server out of its jam:
// that was tried, and lost more than false reports cost.
func (l *latencyEstimator) noteReport(now time.Duration, r LoadReport) {
	switch {
	case r.HasBacklog:
		l.backlog = r.Backlog
	case r.HasUtilization && l.hasReport(now):
		l.backlog += time.Duration((r.Utilization - 1) * float64(now-l.reportedAt))
		l.backlog = min(max(l.backlog, 0), maxEstimatedBacklog)
	default:
		l.backlog = 0
	}
	l.utilization, l.reportedAt = r.Utilization, now
}

// hasReport reports whether the last load report still tells of the present.
func (l *latencyEstimator) hasReport(now time.Duration) bool {
	return l.reportedAt > 0 && now-l.reportedAt <= loadReportLifetime
}

// estimate is how long a message takes now, by the larger of what was timed and what load reports come to.
func (l *latencyEstimator) estimate(now, objective time.Duration) time.Duration {
	delay := l.unanswered
	if now-l.answeredAt <= messageSampleLifetime {
		delay = max(delay, l.answeredIn)
	}
	if l.hasReport(now) {
		// Messages wait for each other the longer the less capacity is left.
		unloaded := float64(objective) / idleServiceDivisor
		delay = max(delay, time.Duration(unloaded/(1-min(l.utilization, maxUtilization)))+l.backlog)
	}
	return delay
}

// slowestConnection is the one that the estimate stands for; 0: none in particular.
func (l *latencyEstimator) slowestConnection() slotmap.Handle {
	if l.unanswered > l.answeredIn {
		return l.unansweredOn
	}
	return l.answeredOn
}

func (e *Engine) onMessageAnswered(ev MessageAnswered) {
	r := e.requests.get(ev.RequestID)
	if r == nil {
		return
	}
	if s := e.endpoints.byID[r.server]; s != nil {
		s.latency.noteAnswer(e.now, r.handle, ev.Delay)
	}
}

// reportMessageDelay notifies the balancer of a server's message delay: at intervals while messages are slow, and
// once more when they no longer are. The sample is any connection there, for want of a particular one.
func (e *Engine) reportMessageDelay(id balancer.ServerID, s *endpoint, sample slotmap.Handle) {
	l := &s.latency
	if e.now-l.notifiedAt < messageDelayInterval {
		return
	}
	delay := l.estimate(e.now, e.options.MessageLatencyObjective)
	isSlow := delay > e.options.MessageLatencyObjective/slowMessageDivisor
	if !isSlow && !l.isSlow {
		return
	}
	connection := l.slowestConnection()
	if connection == 0 {
		connection = sample
	}
	l.isSlow, l.notifiedAt = isSlow, e.now
	e.notify(balancer.MessageDelay{ID: balancer.RequestID(connection), Server: id, Delay: delay})
}
