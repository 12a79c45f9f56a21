package engine

import (
	"maps"
	"slices"

	"example.org/milletvane/internal/slot"
	"example.org/milletvane/rules"
)

// order lists the servers by number.
func (e *Engine) order() []rules.ServerID { return slices.Sorted(maps.Keys(e.servers)) }

// onStop begins the end. New connections keep coming for a while and are served. Where packets pass
// through, open connections stay as they are, since another gateway takes them up; else their clients are
// moved at once, so that none is cut off.
func (e *Engine) onStop() {
	if e.stopping {
		return
	}
	e.stopping, e.stoppedAt = true, e.now
	e.opts.Logger.Info("stopping", "connections", e.requests.Len(), "drain", e.opts.Drain)
	e.deadlines.Add(e.now+e.opts.Drain, due{kind: dueEnd})
	if e.opts.Pass {
		return
	}
	e.moveAll()
}

func (e *Engine) moveAll() {
	e.requests.All(func(_ slot.ID, r *request) bool {
		if r.phase == open {
			e.move(r, rules.Cancelled)
		}
		return true
	})
}

// end answers all that is still owed an answer. Connections that came up since Stop are moved, or left to
// the gateway that takes them up.
func (e *Engine) end() {
	e.requests.All(func(_ slot.ID, r *request) bool {
		if r.phase == waiting {
			if r.link != nil {
				r.link.Abandon()
			}
			e.fail(r)
		}
		return true
	})
	if !e.opts.Pass {
		e.moveAll()
	}
	e.logStats()
	e.ended = true
}

func (e *Engine) logStats() {
	c := e.counts
	e.opts.Logger.Info("stats", "connections", e.requests.Len(), "idle", e.openings, "servers", len(e.servers), "deadlines", e.deadlines.Len(),
		"taken", c.taken, "up", c.up, "refused", c.refused, "failed", c.failed, "rejected", c.rejected, "closed", c.closed,
		"moved", c.moved, "left", c.left, "ended", c.ended)
}
