package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

const (
	// messageSampleLifetime is how long the delay of a timed message stays valid. Clients send a message every 2 s; half
	// a second is added for the answer.
	messageSampleLifetime = 2500 * time.Millisecond
	// loadReportLifetime is how long a load report stays valid: the longer of the two poll intervals, plus half a second
	// for the answer.
	loadReportLifetime = 2500 * time.Millisecond
	// messageDelayInterval is the minimum interval between two reports of a server's message delay to the balancer. The
	// balancer relies on one report per second while messages are slow.
	messageDelayInterval = time.Second
	// slowMessageDivisor defines slow messages: their delay exceeds the latency objective divided by it.
	slowMessageDivisor = 3
	// unloadedDelayDivisor defines the message delay of an unloaded server: about the shortest latency objective divided
	// by it.
	unloadedDelayDivisor = 12
	// maxUtilization is the utilization above which the estimated delay grows only with the backlog: the server works at
	// its capacity there, and differences between reports are noise.
	maxUtilization = 0.93
	// maxEstimatedBacklog limits the backlog that is estimated from load reports. Reports are wrong by up to a sixth in
	// either direction. Without a limit the excess accumulates and keeps a server out for seconds after it has capacity
	// again.
	maxEstimatedBacklog = 100 * time.Millisecond
)

// latencyEstimator estimates the current message delay at a server.
//
// The line protocol doesn't report the delay, so the engine times each message from its sending to its answer. These
// samples alone do not show overload: a server that does not hang answers messages at once, ahead of its backlog of
// work. If load reports can be polled, the delay is estimated from them too.
type latencyEstimator struct {
	answerDelay          time.Duration // delay of the last message that was answered
	answeredAt           time.Duration
	answeredConnection   slotmap.Handle // connection of that message
	unansweredAge        time.Duration  // age of the oldest unanswered message at the last sweep
	unansweredConnection slotmap.Handle

	utilization float64 // as last reported
	backlog     time.Duration
	reportedAt  time.Duration // zero means never
	polledAt    time.Duration

	isSlow     bool // in the last notification of the balancer
	notifiedAt time.Duration
}

func (l *latencyEstimator) recordAnswer(now time.Duration, connection slotmap.Handle, delay time.Duration) {
	l.answerDelay, l.answeredAt, l.answeredConnection = delay, now, connection
}

func (l *latencyEstimator) resetUnanswered() { l.unansweredAge, l.unansweredConnection = 0, 0 }

func (l *latencyEstimator) recordUnanswered(connection slotmap.Handle, age time.Duration) {
	if age > l.unansweredAge {
		l.unansweredAge, l.unansweredConnection = age, connection
	}
}

// recordLoadReport updates the estimator from a load report. Without a reported backlog, it estimates the backlog: work
// beyond a server's capacity adds to it, and spare capacity reduces it. Reports are noisy, but a mean of the last few
// reacts too late for the balancer to keep the server out of overload, and the late
// reaction costs more than false reports do.
func (l *latencyEstimator) recordLoadReport(now time.Duration, r LoadReport) {
	switch {
	case r.HasBacklog:
		l.backlog = r.Backlog
	case r.HasUtilization && l.hasValidReport(now):
		l.backlog += time.Duration((r.Utilization - 1) * float64(now-l.reportedAt))
		l.backlog = min(max(l.backlog, 0), maxEstimatedBacklog)
	default:
		l.backlog = 0
	}
	l.utilization, l.reportedAt = r.Utilization, now
}

// hasValidReport reports whether the last load report is recent enough to use.
func (l *latencyEstimator) hasValidReport(now time.Duration) bool {
	return l.reportedAt > 0 && now-l.reportedAt <= loadReportLifetime
}

// estimate returns the estimated message delay at a time: the maximum of the timed delays and the delay that follows
// from the last load report. The objective is the shortest latency objective.
func (l *latencyEstimator) estimate(now, objective time.Duration) time.Duration {
	delay := l.unansweredAge
	if now-l.answeredAt <= messageSampleLifetime {
		delay = max(delay, l.answerDelay)
	}
	if l.hasValidReport(now) {
		// Queueing delay grows as the spare capacity shrinks.
		unloaded := float64(objective) / unloadedDelayDivisor
		delay = max(delay, time.Duration(unloaded/(1-min(l.utilization, maxUtilization)))+l.backlog)
	}
	return delay
}

// slowestConnection returns the connection with the longest timed delay, or 0 if no message was timed.
func (l *latencyEstimator) slowestConnection() slotmap.Handle {
	if l.unansweredAge > l.answerDelay {
		return l.unansweredConnection
	}
	return l.answeredConnection
}

func (e *Engine) onMessageAnswered(ev MessageAnswered) {
	r := e.requests.get(ev.RequestID)
	if r == nil {
		return
	}
	if s := e.endpoints.byID[r.server]; s != nil {
		s.latency.recordAnswer(e.now, r.handle, ev.Delay)
	}
}

// reportMessageDelay notifies the balancer of a server's message delay: periodically while messages are slow, and once
// more when they no longer are. The sample is any connection at the server, used if no message was timed.
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
