package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
	"example.org/milletvane/internal/slotmap"
	"example.org/milletvane/internal/timerqueue"
)

type phase uint8

const (
	opening   phase = iota // has asked for nothing
	waiting                // its final answer is owed
	open                   // stands at a server
	leaving                // is being told to move; the rules know it no more
	inherited              // stands at the process before; only its server and its load are known
)

type request struct {
	id     slotmap.Handle
	name   string // as its client calls it; empty: nothing
	client Client
	phase  phase
	flow   Flow                   // what the process that follows must know of it
	load   float64                // as last told
	class  *metrics.ClassCounters // where its answer is counted, once it has asked
	rank   int                    // of its tier

	carried  bool
	deadline time.Duration
	answer   *timerqueue.Timer[due] // the end of its opening, or of its wait
	attempts int
	link     ActiveAttempt // the attempt that is out or open
	server   balancer.ServerID
	sent     time.Duration
	timeout  *timerqueue.Timer[due]
}

func (e *Engine) rearm(it **timerqueue.Timer[due], at time.Duration, d due) {
	e.deadlines.Remove(*it)
	*it = e.deadlines.Add(at, d)
}

func (e *Engine) of(c Client) *request {
	r, _ := e.requests.Get(c.Handle().id)
	return r
}

// free gives up a slot and all that hangs on it.
func (e *Engine) free(r *request) {
	e.deadlines.Remove(r.answer)
	e.deadlines.Remove(r.timeout)
	e.requests.Remove(r.id)
	if r.phase == opening {
		e.openings--
	}
	e.countTaken()
	if e.named[r.name] == r.id {
		delete(e.named, r.name)
	}
}

// countTaken reports how many requests are waiting and connections are open.
func (e *Engine) countTaken() {
	e.opts.Metrics.Outstanding.Store(int64(e.requests.Len() - e.openings - len(e.heirs)))
}

// close ends a connection that has asked for nothing.
func (e *Engine) close(r *request) {
	e.counts.closed++
	r.client.Close()
	e.free(r)
}

// room makes room for one more socket where there is none left: the connection that has been idle for longest
// without a request makes place, if need be. It guards against clients that connect by hundreds and say
// nothing, which else would keep out all others. What a client asked for is never given up for it. A new
// client has besides nil; else it is the one that now asks for something.
func (e *Engine) room(besides *request) bool {
	tooIdle := besides == nil && e.opts.MaxIdleClients > 0 && e.openings >= e.opts.MaxIdleClients
	if 2*e.requests.Len()-e.openings < e.opts.MaxSockets && !tooIdle {
		return true
	}
	var oldest *request
	if e.openings > 0 {
		e.requests.All(func(_ slotmap.Handle, r *request) bool {
			if r.phase == opening && r != besides && (oldest == nil || r.answer.At() < oldest.answer.At()) {
				oldest = r
			}
			return true
		})
	}
	if oldest == nil {
		return false
	}
	e.close(oldest)
	return true
}

func (e *Engine) onAccepted(c Client) {
	if e.stage >= closing || !e.room(nil) {
		e.counts.refused++
		c.Reject(e.opts.RetryAfter)
		return
	}
	r := &request{client: c}
	r.id, _ = e.requests.Insert(r) // there is a slot for each socket
	e.openings++
	c.Handle().id = r.id
	r.answer = e.deadlines.Add(e.now+openingFor, due{kind: dueOpening, id: r.id})
}

func (e *Engine) onArrived(ev RequestReceived) {
	r := e.of(ev.Client)
	if r == nil || r.phase != opening {
		return
	}
	q := ev.Request
	if r.class = e.opts.Metrics.Class(q.Class); r.class == nil {
		r.class = &e.unnamed
	}
	if !e.usable(q) {
		e.counts.rejected++
		r.class.Aborted.Add(1)
		r.client.Fail()
		e.free(r)
		return
	}
	if !e.room(r) { // for its server's side
		e.counts.refused++
		r.class.Declined.Add(1)
		r.client.Reject(e.opts.RetryAfter)
		e.free(r)
		return
	}
	e.counts.taken++
	if !e.listed && !e.toldNoList {
		e.toldNoList = true
		e.opts.Logger.Warn("no list of servers has come, requests wait or are refused")
	}
	if q.ID != "" {
		r.name, e.named[q.ID] = q.ID, r.id
	}
	e.openings--
	e.countTaken()
	if q.Timeout <= 0 {
		q.Timeout = e.opts.DefaultTimeout
	}
	if e.stage > serving { // nothing may be owed when the platform ends the program
		q.Timeout = min(q.Timeout, max(e.answerBy-e.now, lateWait))
	}
	r.phase, r.deadline = waiting, e.now+q.Timeout
	req := balancer.Request{
		ID: balancer.RequestID(r.id), Class: q.Class, Tenant: q.Tenant, Key: q.Key, Group: q.Group,
		Timeout: q.Timeout, Load: q.Load, Reconnecting: q.Reconnecting, MidFlow: q.MidFlow,
	}
	if e.opts.PriorityOf != nil {
		req.Priority = e.opts.PriorityOf(q.Class, q.Tenant)
	}
	if r.rank = req.Priority; !q.MidFlow && q.Owner == "" {
		e.opts.PriorityCounters.AddOffered(r.rank)
	}
	r.flow, r.load = Flow{Class: q.Class, Key: q.Key, Group: q.Group}, q.Load
	if q.MidFlow {
		req.Owner, req.OwnerKnown = e.claim(q.ID)
	}
	if q.Owner != "" {
		e.carry(r, req, q.Owner)
		return
	}
	e.rearm(&r.answer, r.deadline+e.opts.AnswerGrace, due{kind: dueAnswer, id: r.id})
	e.tell(req)
}

// onAsked takes a request that comes with its client.
func (e *Engine) onAsked(ev UnaryRequestReceived) {
	if !e.room(nil) {
		e.counts.refused++
		ev.Client.Reject(e.opts.RetryAfter)
		return
	}
	e.onAccepted(ev.Client)
	e.onArrived(RequestReceived(ev))
}

// usable reports whether a request can be served. No server is shown one that it cannot use: what a server
// turns away, or closes on, would count against it though it is sound. One whose client's name for it is taken
// by an open one would be taken for that; only an open connection's packets come under their old name.
func (e *Engine) usable(q Request) bool {
	if len(e.classes) > 0 && !e.classes[q.Class] {
		return false
	}
	_, taken := e.named[q.ID]
	return !taken || q.MidFlow
}

// carry takes up a connection that is open at a server since before this gateway ran. There is nothing to
// decide: the line goes to that server, and the rules are told whom it holds.
func (e *Engine) carry(r *request, req balancer.Request, at string) {
	id, known := e.names[at]
	r.carried, r.deadline = true, max(r.deadline, e.now+carriedFor)
	e.rearm(&r.answer, r.deadline+e.opts.AnswerGrace, due{kind: dueAnswer, id: r.id})
	if !known {
		e.opts.Logger.Warn("connection from before the run at an unlisted server", "server", at)
		e.fail(r)
		return
	}
	e.tell(balancer.AdoptedConnection{Request: req, Server: id})
	e.send(r, id, r.deadline-e.now, 0)
}

// fail gives a final answer that promises nothing.
func (e *Engine) fail(r *request) {
	e.counts.failed++
	r.class.Aborted.Add(1)
	e.opts.PriorityCounters.AddRejected(r.rank)
	r.client.Fail()
	e.free(r)
}

func (e *Engine) onLeft(c Client) {
	r := e.of(c)
	if r == nil {
		return
	}
	if r.phase == waiting || r.phase == open {
		e.counts.left++
	}
	e.drop(r)
}

// drop ends a request whose client is gone, and the attempt that is out for it.
func (e *Engine) drop(r *request) {
	e.free(r)
	if r.phase != waiting && r.phase != open {
		return
	}
	id := balancer.RequestID(r.id)
	if r.phase == waiting && !r.carried {
		e.tell(balancer.ClientDisconnected{ID: id})
	}
	if r.link != nil {
		r.link.Cancel()
		e.tell(balancer.AttemptEnded{ID: id, Attempt: r.attempts - 1, Server: r.server, Result: balancer.Cancelled,
			Elapsed: e.now - r.sent, Answered: true})
	}
}

func (e *Engine) onUp(ev AttemptEstablished) {
	r, ok := e.requests.Get(ev.RequestID)
	if !ok || r.link == nil || r.attempts-1 != ev.Number || r.phase != waiting {
		return
	}
	e.counts.up++
	r.class.Succeeded.Add(1)
	r.phase = open
	e.deadlines.Remove(r.answer)
	e.deadlines.Remove(r.timeout)
	if !r.carried {
		e.tell(balancer.AttemptEstablished{ID: balancer.RequestID(r.id), Attempt: ev.Number, Server: r.server, Elapsed: ev.Elapsed})
	}
	if e.stage == closing && r.phase == open { // it came up as it was to be given up
		e.move(r, balancer.Cancelled)
	}
}

func (e *Engine) onEnded(ev AttemptEnded) {
	r, ok := e.requests.Get(ev.RequestID)
	if !ok || r.link == nil || r.attempts-1 != ev.Number {
		return
	}
	e.outcome(r, ev.Result)
}

// outcome reports the end of a request's attempt. What was open is over with it; else the rules go on.
func (e *Engine) outcome(r *request, result balancer.Result) {
	e.deadlines.Remove(r.timeout)
	r.link = nil
	// What has no connection of its own is over with its answer.
	settled := r.phase == open || result == balancer.OK
	out := balancer.AttemptEnded{ID: balancer.RequestID(r.id), Attempt: r.attempts - 1, Server: r.server, Result: result,
		Elapsed: e.now - r.sent, Answered: settled || r.carried}
	if result == balancer.OK && r.phase == waiting && !r.carried {
		// To the rules an answer is as good as a connection that stands: they tell a fault of one server from one that
		// all share by how many stand.
		e.tell(balancer.AttemptEstablished{ID: out.ID, Attempt: out.Attempt, Server: r.server, Elapsed: out.Elapsed})
		r.class.Succeeded.Add(1)
	}
	switch {
	case settled:
		e.counts.ended++
		e.free(r)
	case r.carried:
		e.opts.Logger.Warn("connection from before the run not taken up", "server", r.server, "result", result)
		e.fail(r)
	}
	e.tell(out)
}

func (e *Engine) onTimeout(r *request) {
	// The attempt is closed before the rules hear of it: two at once are never out.
	if r.link != nil && r.phase == waiting && r.link.Cancel() {
		e.outcome(r, balancer.TimedOut)
	}
}

// onOverdue guards the promise of one answer in time, should the rules ever owe it past the deadline.
func (e *Engine) onOverdue(r *request) {
	if r.link != nil && !r.link.Cancel() {
		return // it is up; word of that is on its way
	}
	e.opts.Logger.Error("answer overdue", "attempts", r.attempts)
	e.counts.failed++
	r.class.Aborted.Add(1)
	r.client.Fail()
	e.drop(r)
}
