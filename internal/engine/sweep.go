package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// sweepInterval is how often established connections are checked. A quarter of a second adds little to the seconds
// within which clients and the balancer are to be notified, and costs little.
const sweepInterval = 250 * time.Millisecond

// onSweep runs the regular checks.
func (e *Engine) onSweep() {
	e.setTimer(sweepInterval, timer{kind: sweepTimer})
	e.checkEstablished()
	e.updateEndpointGauges()
	e.expireAdopted()
	e.completeIfIdle()
}

// checkEstablished migrates clients off unresponsive servers, and polls and reports how long messages take elsewhere.
func (e *Engine) checkEstablished() {
	sampleOf, unresponsive := e.collectUnanswered()
	e.migrateFromUnresponsive(unresponsive)
	if !e.options.ReportsMessageDelay || e.options.MessageLatencyObjective <= 0 {
		return
	}
	for _, id := range e.endpoints.sortedIDs() { // in a fixed order, so that runs are reproducible
		if sample, ok := sampleOf[id]; ok {
			s := e.endpoints.byID[id]
			e.pollIfDue(id, s)
			e.reportMessageDelay(id, s, sample)
		}
	}
}

// collectUnanswered notes for each server how long its oldest unanswered message has waited. It returns one established
// connection of each server that has any, and those whose messages have waited too long.
func (e *Engine) collectUnanswered() (sampleOf map[balancer.ServerID]slotmap.Handle, unresponsive []*request) {
	for _, s := range e.endpoints.byID {
		s.latency.resetUnanswered()
	}
	sampleOf = map[balancer.ServerID]slotmap.Handle{}
	e.requests.each(func(r *request) {
		if r.phase != established {
			return
		}
		sampleOf[r.server] = r.handle
		unansweredFor := r.attempt.UnansweredFor()
		if s := e.endpoints.byID[r.server]; s != nil {
			s.latency.noteUnanswered(r.handle, unansweredFor)
		}
		if unansweredFor > unansweredTimeout {
			unresponsive = append(unresponsive, r)
		}
	})
	return sampleOf, unresponsive
}
