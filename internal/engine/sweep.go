package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// sweepInterval is the interval at which established connections are checked. A quarter of a second costs little and is
// short compared to the seconds within which clients and the balancer must be notified.
const sweepInterval = 250 * time.Millisecond

// onSweep runs the periodic checks.
func (e *Engine) onSweep() {
	e.setTimer(sweepInterval, timer{kind: sweepTimer})
	e.checkEstablished()
	e.updateEndpointGauges()
	e.expireAdopted()
	e.completeIfIdle()
}

// checkEstablished migrates clients off unresponsive servers. It polls the load of each server with established
// connections, if a poll is due, and reports its message delay to the balancer.
func (e *Engine) checkEstablished() {
	sampleByServer, unresponsive := e.collectUnanswered()
	e.migrateFromUnresponsive(unresponsive)
	if !e.options.ReportsMessageDelay || e.options.MessageLatencyObjective <= 0 {
		return
	}
	for _, id := range e.endpoints.sortedIDs() { // in a fixed order, so that runs are reproducible
		if sample, ok := sampleByServer[id]; ok {
			s := e.endpoints.byID[id]
			e.pollIfDue(id, s)
			e.reportMessageDelay(id, s, sample)
		}
	}
}

// collectUnanswered records the age of the oldest unanswered message of each server. It returns one established connection
// of each server that has any, and the requests whose messages have been unanswered for too long.
func (e *Engine) collectUnanswered() (sampleByServer map[balancer.ServerID]slotmap.Handle, unresponsive []*request) {
	for _, s := range e.endpoints.byID {
		s.latency.resetUnanswered()
	}
	sampleByServer = map[balancer.ServerID]slotmap.Handle{}
	e.requests.each(func(r *request) {
		if r.phase != established {
			return
		}
		sampleByServer[r.server] = r.handle
		unansweredFor := r.attempt.UnansweredFor()
		if s := e.endpoints.byID[r.server]; s != nil {
			s.latency.recordUnanswered(r.handle, unansweredFor)
		}
		if unansweredFor > unansweredTimeout {
			unresponsive = append(unresponsive, r)
		}
	})
	return sampleByServer, unresponsive
}
