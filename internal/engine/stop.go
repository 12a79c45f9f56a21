package engine

import (
	"maps"
	"slices"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// stage is how far the engine's life has come. Stages follow in this order; closing is passed over where packets pass through.
type stage uint8

const (
	serving  stage = iota
	draining       // a stop was asked for: what comes is served, and answered before the platform may end the program
	closing        // nothing new is taken, and what still comes up is moved
	ended
)

// lateWait is the time that a request has which comes when those that waited at the stop have had their answers.
const lateWait = 150 * time.Millisecond

// order lists the servers by number.
func (e *Engine) order() []balancer.ServerID { return slices.Sorted(maps.Keys(e.servers)) }

// onStop begins the end. New connections keep coming for a while and are served. Where packets pass
// through, open connections stay as they are, since another gateway takes them up; else their clients are
// moved at once, so that none is cut off. All that waits for its answer has it before the platform may end the program,
// whatever its deadline.
func (e *Engine) onStop() {
	if e.stage > serving {
		return
	}
	e.stage, e.stoppedAt = draining, e.now
	within := e.opts.DrainTimeout
	if e.opts.AnswerTimeout > 0 {
		within = min(e.opts.AnswerTimeout, within)
	}
	e.answerBy = e.now + within
	e.opts.Logger.Info("stopping", "connections", e.requests.Len(), "answer_by", within, "drain", e.opts.DrainTimeout)
	e.deadlines.Add(e.now+e.opts.DrainTimeout, due{kind: dueEnd})
	e.tell(balancer.Shutdown{Deadline: e.answerBy})
	e.requests.All(func(_ slotmap.Handle, r *request) bool {
		if r.phase == waiting {
			e.hurry(r)
		}
		return true
	})
	if !e.opts.ConnectionsOutliveGateway {
		e.deadlines.Add(e.answerBy, due{kind: dueClosing})
		e.moveAll()
	}
}

// hurry has a request that waits answered by the time that a stop leaves.
func (e *Engine) hurry(r *request) {
	if r.deadline <= e.answerBy {
		return
	}
	r.deadline = e.answerBy
	e.rearm(&r.answer, r.deadline+e.opts.AnswerGrace, due{kind: dueAnswer, id: r.id})
	if r.timeout != nil && r.timeout.At() > r.deadline {
		e.rearm(&r.timeout, r.deadline, due{kind: dueAttempt, id: r.id})
	}
}

func (e *Engine) moveAll() {
	e.requests.All(func(_ slotmap.Handle, r *request) bool {
		if r.phase == open {
			e.move(r, balancer.Cancelled)
		}
		return true
	})
}

// onClosing takes nothing new from here on: who has asked for nothing is closed, who stands is moved. What is left of the
// time is for the rest of lines that MOVE has to wait for.
func (e *Engine) onClosing() {
	e.stage = closing
	e.requests.All(func(_ slotmap.Handle, r *request) bool {
		if r.phase == opening {
			e.close(r)
		}
		return true
	})
	e.moveAll()
}

// end answers all that is still owed an answer. Connections that came up since Stop are moved, or left to
// the gateway that takes them up.
func (e *Engine) end() {
	e.requests.All(func(_ slotmap.Handle, r *request) bool {
		switch r.phase {
		case opening:
			e.close(r)
		case waiting:
			if r.link == nil || r.link.Cancel() {
				e.fail(r)
			} else if !e.opts.ConnectionsOutliveGateway { // it is up; word of that is on its way
				r.client.Migrate()
			}
		case leaving:
			r.client.Close()
		}
		return true
	})
	if !e.opts.ConnectionsOutliveGateway {
		e.moveAll()
	}
	e.logStats()
	e.stage = ended
}

func (e *Engine) logStats() {
	c := e.counts
	e.opts.Logger.Info("stats", "connections", e.requests.Len(), "idle", e.openings, "servers", len(e.servers), "deadlines", e.deadlines.Len(),
		"taken", c.taken, "up", c.up, "refused", c.refused, "failed", c.failed, "rejected", c.rejected, "closed", c.closed,
		"moved", c.moved, "left", c.left, "ended", c.ended)
}
