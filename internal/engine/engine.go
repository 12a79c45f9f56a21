// Package engine is the core of a gateway. One goroutine owns the rules, the table of connections and all
// deadlines; it takes typed events from the fronts, the attempts and discovery, shows them to the rules and
// carries out what these decide. It knows neither sockets nor lines, so that a second front can share it.
package engine

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"example.org/milletvane/internal/deadline"
	"example.org/milletvane/internal/slot"
	"example.org/milletvane/rules"
)

// Ticket ties a client to its slot. A front embeds it in its clients and leaves it alone.
type Ticket struct{ id slot.ID }

// Client is the front's end of a connection. The engine calls it from its own goroutine; no method may
// wait for the peer. Refuse, Fail and Close are final: the client sends no Left after them. After Move it sends
// Left once it has been told.
type Client interface {
	Slot() *Ticket
	Refuse(after time.Duration) // nothing was done; trying again is harmless
	Fail()                      // failed, with no promise, or never to be done
	Close()                     // ended, both sides, with no word
	Move()                      // an open connection: send the client away politely and end both sides
}

// Attempt is one try of a request at a server.
type Attempt struct {
	Request slot.ID
	Number  int
	Addr    string
	Client  Client
	Wait    time.Duration // that the attempt is given
}

// Link is an attempt that has been started.
type Link interface {
	// Abandon gives up an attempt that is not up, before it returns. It returns false for one that is up,
	// or that has ended by itself: word of that is on its way.
	Abandon() bool
	// Waiting is for how long the oldest line of the client has been without a line in return; 0: none is.
	Waiting() time.Duration
}

// Backend starts attempts. Each reports Up at most once and Ended at most once, in this order, unless it
// was abandoned or its client left.
type Backend interface{ Send(Attempt) Link }

// Lister keeps the list of servers up to date from Watch on, until it reports a List with Failed.
type Lister interface{ Watch() }

// Request is what a client asks for.
type Request struct {
	ID       string // the client's name for it; empty: none
	Class    string
	Tenant   string
	Key      string
	Group    string
	Wait     time.Duration // that the client waits; 0: not stated
	Load     float64       // in microseconds of work a second; 0: unknown
	Returned bool
	Stray    bool
	At       string // the server that holds the connection since before the run
}

// Server is an entry of the list, with the address at which this gateway reaches it.
type Server struct {
	Name string
	Addr string
	rules.Server
}

// Event is what the engine is told.
type Event interface{ event() }

type (
	// Accepted brings a connection that has asked for nothing yet.
	Accepted struct{ Client Client }
	// Alive says that a connection without a request is in use, as by health checks.
	Alive struct{ Client Client }
	// Arrived brings an accepted connection's request.
	Arrived struct {
		Client  Client
		Request Request
	}
	// Left says that a client ended its connection.
	Left struct{ Client Client }
	// Rejected says that the front turned a client away for what it sent.
	Rejected struct{ Client Client }
	// Up says that a connection stands at its server.
	Up struct {
		Request slot.ID
		Number  int
		Elapsed time.Duration
	}
	// Ended is the end of an attempt, or of the connection that it set up.
	Ended struct {
		Request slot.ID
		Number  int
		Result  rules.Result
	}
	// Load tells the present load of an open connection.
	Load struct {
		Request slot.ID
		Load    float64
	}
	// Answered tells how long an open connection's line took to be returned.
	Answered struct {
		Request slot.ID
		Delay   time.Duration
	}
	// List brings news of the servers.
	List struct {
		Mode    rules.ListMode
		Servers []Server
	}
	// Stop begins the end: what comes is still served, until Drain has gone by.
	Stop struct{}
)

func (Accepted) event() {}
func (Alive) event()    {}
func (Arrived) event()  {}
func (Left) event()     {}
func (Rejected) event() {}
func (Up) event()       {}
func (Ended) event()    {}
func (Load) event()     {}
func (Answered) event() {}
func (List) event()     {}
func (Stop) event()     {}

// Options are what an engine goes by.
type Options struct {
	Sockets     int           // that clients and their servers may take: one for each side
	Openings    int           // of these, for clients that have asked for nothing; 0: all
	Classes     []string      // of requests; empty: any
	RetryAfter  time.Duration // that a client is to stay away for want of sockets; 0: not stated
	DefaultWait time.Duration // of a request that states none
	AnswerSlack time.Duration // after a request's deadline an answer is still valid this long
	Pass        bool          // open connections outlive this gateway: they are not moved when it stops
	TellsDelay  bool          // the rules want word of slow messages
	MessageAim  time.Duration // the shortest wanted time of a message; 0: none stated
	Probes      bool          // servers may be asked for their load
	Drain       time.Duration // from Stop to the end
	QueueEvents int           // events that may wait; 0 is taken as 4096
	Logger      *slog.Logger
}

const (
	// A connection that asks for nothing is closed after this. Clients send their line at once, and those that
	// do not are owed an end within 3 s.
	openingFor = 2500 * time.Millisecond
	carriedFor = 40 * time.Second // an attempt to take up a connection from before the run
	// A server that returns no line for this long has lost its clients. They are owed an end 7 s after the last
	// thing that came, and send a line every 2 s, so that the first without return is up to 2 s younger.
	silentFor   = 4 * time.Second
	moveWithin  = time.Second            // a client is told MOVE, or else cut off
	tickEvery   = 250 * time.Millisecond // between looks at open connections
	delayTold   = time.Second            // between words of slow messages at one server
	quietFor    = time.Second            // after Stop, clients may come this long though none is left
	sampleFor   = 2500 * time.Millisecond
	statsEvery  = 10 * time.Second
	queueEvents = 4096
)

type dueKind uint8

const (
	dueWake dueKind = iota
	dueAttempt
	dueAnswer
	dueOpening
	dueMove
	dueTick
	dueStats
	dueEnd
)

type due struct {
	kind dueKind
	id   slot.ID
	ref  int64
}

type phase uint8

const (
	opening phase = iota // has asked for nothing
	waiting              // its final answer is owed
	open                 // stands at a server
	leaving              // is being told to move; the rules know it no more
)

type request struct {
	id     slot.ID
	name   string // as its client calls it; empty: nothing
	client Client
	phase  phase

	carried  bool
	deadline time.Duration
	answer   *deadline.Item[due] // the end of its opening, or of its wait
	attempts int
	link     Link // the attempt that is out or open
	server   rules.ServerID
	sent     time.Duration
	timeout  *deadline.Item[due]
}

type server struct {
	name string
	addr string

	meter meter
}

// Engine runs a gateway's core.
type Engine struct {
	opts    Options
	rules   *rules.Balancer
	backend Backend
	lister  Lister
	prober  Prober

	inbox chan Event
	done  chan struct{}
	ready atomic.Bool

	now       time.Duration
	requests  *slot.Table[*request]
	named     map[string]slot.ID // requests by their clients' names for them
	openings  int                // of the requests, those that have asked for nothing
	classes   map[string]bool
	deadlines deadline.Queue[due]
	servers   map[rules.ServerID]*server
	names     map[string]rules.ServerID
	queue     []rules.Event // outcomes that follow at once from actions
	stopping  bool
	stoppedAt time.Duration
	ended     bool
	counts    counts

	toldNoList bool // since the last regular line
}

// counts are what the log's regular line tells.
type counts struct{ taken, up, refused, failed, rejected, closed, moved, left, ended int }

// New returns an engine that starts attempts with backend, watches the list with lister and, where Options
// allow it, asks for loads with prober.
func New(opts Options, balancer *rules.Balancer, backend Backend, lister Lister, prober Prober) *Engine {
	if opts.QueueEvents <= 0 {
		opts.QueueEvents = queueEvents
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	classes := make(map[string]bool, len(opts.Classes))
	for _, c := range opts.Classes {
		classes[c] = true
	}
	return &Engine{
		opts: opts, classes: classes, named: map[string]slot.ID{}, rules: balancer, backend: backend, lister: lister, prober: prober,
		inbox: make(chan Event, opts.QueueEvents), done: make(chan struct{}),
		requests: slot.New[*request](opts.Sockets),
		servers:  map[rules.ServerID]*server{}, names: map[string]rules.ServerID{},
	}
}

// Ready reports whether a list of servers has come, so that requests can be served.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Post hands an event over. It waits while the queue is full, and gives up when the engine has ended.
func (e *Engine) Post(ev Event) {
	select {
	case e.inbox <- ev:
	case <-e.done:
	}
}

// Offer hands an event over that may be lost: it is dropped while the queue is full.
func (e *Engine) Offer(ev Event) {
	select {
	case e.inbox <- ev:
	default:
	}
}

// Run handles events until ctx is done and the drain that follows is over. The clock tells Unix time and
// never runs backwards.
func (e *Engine) Run(ctx context.Context, clock func() time.Duration) {
	defer close(e.done)
	e.Start(clock())
	timer := time.NewTimer(0)
	defer timer.Stop()
	stop := ctx.Done()
	for !e.ended {
		if at, ok := e.deadlines.Next(); ok {
			timer.Reset(max(at-clock(), 0))
		}
		select {
		case ev := <-e.inbox:
			e.Handle(clock(), ev)
		case <-timer.C:
		case <-stop:
			stop = nil
			e.Handle(clock(), Stop{})
		}
		e.Expire(clock())
	}
}

// Start sets the regular looks going.
func (e *Engine) Start(now time.Duration) {
	e.now = now
	e.deadlines.Add(now+tickEvery, due{kind: dueTick})
	e.deadlines.Add(now+statsEvery, due{kind: dueStats})
}

// Handle takes one event.
func (e *Engine) Handle(now time.Duration, ev Event) {
	e.now = max(e.now, now)
	switch ev := ev.(type) {
	case Accepted:
		e.onAccepted(ev.Client)
	case Alive:
		if r := e.of(ev.Client); r != nil && r.phase == opening {
			e.rearm(&r.answer, e.now+openingFor, due{kind: dueOpening, id: r.id})
		}
	case Arrived:
		e.onArrived(ev)
	case Left:
		e.onLeft(ev.Client)
	case Rejected:
		if r := e.of(ev.Client); r != nil {
			e.counts.rejected++
			e.drop(r)
		}
	case Up:
		e.onUp(ev)
	case Ended:
		e.onEnded(ev)
	case Load:
		if _, ok := e.requests.Get(ev.Request); ok {
			e.tell(rules.LoadChanged{ID: rules.RequestID(ev.Request), Load: ev.Load})
		}
	case Answered:
		if r, ok := e.requests.Get(ev.Request); ok {
			if s := e.servers[r.server]; s != nil {
				s.meter.line, s.meter.lineAt, s.meter.lineOf = ev.Delay, e.now, r.id
			}
		}
	case Probed:
		if s := e.servers[ev.Server]; s != nil {
			s.meter.report(e.now, ev.Report)
			if ev.Report.HasLoad {
				e.tell(rules.LoadReport{Server: ev.Server, Load: ev.Report.Load})
			}
		}
	case List:
		e.onList(ev)
	case Stop:
		e.onStop()
	}
}

// Expire carries out what has come due.
func (e *Engine) Expire(now time.Duration) {
	e.now = max(e.now, now)
	for !e.ended {
		d, ok := e.deadlines.Pop(e.now)
		if !ok {
			return
		}
		r, _ := e.requests.Get(d.id)
		switch d.kind {
		case dueWake:
			e.tell(rules.Timer{Ref: d.ref})
		case dueAttempt:
			if r != nil {
				e.onTimeout(r)
			}
		case dueAnswer:
			if r != nil && r.phase == waiting {
				e.onOverdue(r)
			}
		case dueOpening:
			if r != nil && r.phase == opening {
				e.close(r)
			}
		case dueMove:
			// Its server stopped within a line, behind which it was to be told.
			if r != nil && r.phase == leaving {
				r.client.Close()
				e.free(r)
			}
		case dueTick:
			e.deadlines.Add(e.now+tickEvery, due{kind: dueTick})
			e.look()
			if e.stopping && e.requests.Len() == 0 && e.now-e.stoppedAt >= quietFor {
				e.end()
			}
		case dueStats:
			e.deadlines.Add(e.now+statsEvery, due{kind: dueStats})
			e.logStats()
			e.toldNoList = false
		case dueEnd:
			e.end()
		}
	}
}

// Next is when Expire has something to do; ok is false where nothing is to come.
func (e *Engine) Next() (at time.Duration, ok bool) { return e.deadlines.Next() }

func (e *Engine) rearm(it **deadline.Item[due], at time.Duration, d due) {
	e.deadlines.Remove(*it)
	*it = e.deadlines.Add(at, d)
}

func (e *Engine) of(c Client) *request {
	r, _ := e.requests.Get(c.Slot().id)
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
	if e.named[r.name] == r.id {
		delete(e.named, r.name)
	}
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
	tooIdle := besides == nil && e.opts.Openings > 0 && e.openings >= e.opts.Openings
	if 2*e.requests.Len()-e.openings < e.opts.Sockets && !tooIdle {
		return true
	}
	var oldest *request
	if e.openings > 0 {
		e.requests.All(func(_ slot.ID, r *request) bool {
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
	if !e.room(nil) {
		e.counts.refused++
		c.Refuse(e.opts.RetryAfter)
		return
	}
	r := &request{client: c}
	r.id, _ = e.requests.Put(r) // there is a slot for each socket
	e.openings++
	c.Slot().id = r.id
	r.answer = e.deadlines.Add(e.now+openingFor, due{kind: dueOpening, id: r.id})
}

func (e *Engine) onArrived(ev Arrived) {
	r := e.of(ev.Client)
	if r == nil || r.phase != opening {
		return
	}
	q := ev.Request
	if !e.usable(q) {
		e.counts.rejected++
		r.client.Fail()
		e.free(r)
		return
	}
	if !e.room(r) { // for its server's side
		e.counts.refused++
		r.client.Refuse(e.opts.RetryAfter)
		e.free(r)
		return
	}
	e.counts.taken++
	if !e.ready.Load() && !e.toldNoList {
		e.toldNoList = true
		e.opts.Logger.Warn("no list of servers has come, requests wait or are refused")
	}
	if q.ID != "" {
		r.name, e.named[q.ID] = q.ID, r.id
	}
	e.openings--
	if q.Wait <= 0 {
		q.Wait = e.opts.DefaultWait
	}
	r.phase, r.deadline = waiting, e.now+q.Wait
	req := rules.Request{
		ID: rules.RequestID(r.id), Class: q.Class, Tenant: q.Tenant, Key: q.Key, Group: q.Group,
		Deadline: q.Wait, Load: q.Load, Returned: q.Returned, Stray: q.Stray,
	}
	if q.At != "" {
		e.carry(r, req, q.At)
		return
	}
	e.rearm(&r.answer, r.deadline+e.opts.AnswerSlack, due{kind: dueAnswer, id: r.id})
	e.tell(req)
}

// usable reports whether a request can be served. No server is shown one that it cannot use: what a server
// turns away, or closes on, would count against it though it is sound. One whose client's name for it is taken
// by an open one would be taken for that; only an open connection's packets come under their old name.
func (e *Engine) usable(q Request) bool {
	if len(e.classes) > 0 && !e.classes[q.Class] {
		return false
	}
	_, taken := e.named[q.ID]
	return !taken || q.Stray
}

// carry takes up a connection that is open at a server since before this gateway ran. There is nothing to
// decide: the line goes to that server, and the rules are told whom it holds.
func (e *Engine) carry(r *request, req rules.Request, at string) {
	id, known := e.names[at]
	r.carried, r.deadline = true, max(r.deadline, e.now+carriedFor)
	e.rearm(&r.answer, r.deadline+e.opts.AnswerSlack, due{kind: dueAnswer, id: r.id})
	if !known {
		e.opts.Logger.Warn("connection from before the run at an unlisted server", "server", at)
		e.fail(r)
		return
	}
	e.tell(rules.Carried{Request: req, Server: id})
	e.send(r, id, r.deadline-e.now)
}

// fail gives a final answer that promises nothing.
func (e *Engine) fail(r *request) {
	e.counts.failed++
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
	if r.phase == opening || r.phase == leaving {
		return
	}
	id := rules.RequestID(r.id)
	if r.phase == waiting && !r.carried {
		e.tell(rules.Expired{ID: id})
	}
	if r.link != nil {
		r.link.Abandon()
		e.tell(rules.Outcome{ID: id, Attempt: r.attempts - 1, Server: r.server, Result: rules.Cancelled,
			Elapsed: e.now - r.sent, Settled: true})
	}
}

func (e *Engine) onUp(ev Up) {
	r, ok := e.requests.Get(ev.Request)
	if !ok || r.link == nil || r.attempts-1 != ev.Number || r.phase != waiting {
		return
	}
	e.counts.up++
	r.phase = open
	e.deadlines.Remove(r.answer)
	e.deadlines.Remove(r.timeout)
	if !r.carried {
		e.tell(rules.Opened{ID: rules.RequestID(r.id), Attempt: ev.Number, Server: r.server, Elapsed: ev.Elapsed})
	}
}

func (e *Engine) onEnded(ev Ended) {
	r, ok := e.requests.Get(ev.Request)
	if !ok || r.link == nil || r.attempts-1 != ev.Number {
		return
	}
	e.outcome(r, ev.Result)
}

// outcome reports the end of a request's attempt. What was open is over with it; else the rules go on.
func (e *Engine) outcome(r *request, result rules.Result) {
	e.deadlines.Remove(r.timeout)
	r.link = nil
	settled := r.phase == open
	out := rules.Outcome{ID: rules.RequestID(r.id), Attempt: r.attempts - 1, Server: r.server, Result: result,
		Elapsed: e.now - r.sent, Settled: settled || r.carried}
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
	if r.link != nil && r.phase == waiting && r.link.Abandon() {
		e.outcome(r, rules.TimedOut)
	}
}

// onOverdue guards the promise of one answer in time, should the rules ever owe it past the deadline.
func (e *Engine) onOverdue(r *request) {
	if r.link != nil && !r.link.Abandon() {
		return // it is up; word of that is on its way
	}
	e.opts.Logger.Error("answer overdue", "attempts", r.attempts)
	e.counts.failed++
	r.client.Fail()
	e.drop(r)
}

// tell shows an event to the rules and carries out their actions.
func (e *Engine) tell(ev rules.Event) {
	e.queue = append(e.queue, ev)
	if len(e.queue) > 1 {
		return // called from an action; the loop below gets to it
	}
	for i := 0; i < len(e.queue); i++ {
		for _, a := range e.rules.Handle(e.now, e.queue[i]) {
			e.act(a)
		}
	}
	clear(e.queue)
	e.queue = e.queue[:0]
}

func (e *Engine) act(a rules.Action) {
	switch a := a.(type) {
	case rules.Send:
		e.onSend(a)
	case rules.Refuse:
		if r, ok := e.requests.Get(slot.ID(a.ID)); ok && r.phase == waiting {
			e.counts.refused++
			r.client.Refuse(a.RetryAfter)
			e.free(r)
		}
	case rules.Fail:
		if r, ok := e.requests.Get(slot.ID(a.ID)); ok && r.phase == waiting {
			e.fail(r)
		}
	case rules.Move:
		if r, ok := e.requests.Get(slot.ID(a.ID)); ok && r.phase == open {
			e.move(r, rules.Cancelled)
		}
	case rules.Watch:
		e.lister.Watch()
	case rules.Wake:
		e.deadlines.Add(e.now+max(a.After, 0), due{kind: dueWake, ref: a.Ref})
	case rules.Log:
		e.opts.Logger.Info("rules", "text", a.Text)
	}
}

// move sends an open connection's client away politely; its attempt ends with the result. Its slot is kept until
// it has been told.
func (e *Engine) move(r *request, result rules.Result) {
	e.counts.moved++
	r.phase, r.link = leaving, nil
	e.rearm(&r.answer, e.now+moveWithin, due{kind: dueMove, id: r.id})
	r.client.Move()
	e.tell(rules.Outcome{ID: rules.RequestID(r.id), Attempt: r.attempts - 1, Server: r.server, Result: result,
		Elapsed: e.now - r.sent, Settled: true})
}

func (e *Engine) onSend(a rules.Send) {
	r, ok := e.requests.Get(slot.ID(a.ID))
	if !ok || r.phase != waiting || r.link != nil {
		e.tell(rules.Outcome{ID: a.ID, Server: a.Server, Result: rules.Moot, Settled: true})
		return
	}
	wait := r.deadline - e.now
	if a.Timeout != 0 {
		wait = min(wait, a.Timeout)
	}
	e.send(r, a.Server, wait)
}

func (e *Engine) send(r *request, to rules.ServerID, wait time.Duration) {
	s := e.servers[to]
	r.attempts++
	r.server, r.sent = to, e.now
	if s == nil || wait <= 0 {
		result := rules.ConnectFailed // it left the list, and its address with it
		if s != nil {
			result = rules.TimedOut
		}
		e.outcome(r, result)
		return
	}
	r.timeout = e.deadlines.Add(e.now+wait, due{kind: dueAttempt, id: r.id})
	r.link = e.backend.Send(Attempt{Request: r.id, Number: r.attempts - 1, Addr: s.addr, Client: r.client, Wait: wait})
}

func (e *Engine) onList(ev List) {
	list := rules.List{Mode: ev.Mode}
	if ev.Mode == rules.Complete || ev.Mode == rules.Stored {
		listed := make(map[rules.ServerID]bool, len(ev.Servers))
		for _, s := range ev.Servers {
			listed[s.ID] = true
		}
		for id, s := range e.servers {
			if !listed[id] {
				e.forget(id, s)
			}
		}
	}
	for _, n := range ev.Servers {
		s := e.servers[n.ID]
		switch {
		case s != nil && s.name != n.Name:
			// Both would be one server to the rules. The first stays: which one it is must not change.
			e.opts.Logger.Error("two servers share a number", "server", n.Name, "taken_by", s.name)
			continue
		case n.State == rules.Gone:
			if s != nil {
				e.forget(n.ID, s)
			}
		case s == nil:
			e.servers[n.ID] = &server{name: n.Name, addr: n.Addr}
			e.names[n.Name] = n.ID
		default:
			s.addr = n.Addr
		}
		list.Servers = append(list.Servers, n.Server)
	}
	e.tell(list)
	if ev.Mode == rules.Complete || len(e.servers) > 0 {
		e.ready.Store(true)
	}
}

func (e *Engine) forget(id rules.ServerID, s *server) {
	e.prober.Forget(id)
	delete(e.servers, id)
	delete(e.names, s.name)
}

// look finds what open connections wait for: it tells the rules of slow messages and ends the connections
// whose server has gone silent.
func (e *Engine) look() {
	for _, s := range e.servers {
		s.meter.waiting, s.meter.waiterOf = 0, 0
	}
	var silent []*request
	holders := map[rules.ServerID]slot.ID{}
	e.requests.All(func(id slot.ID, r *request) bool {
		if r.phase != open {
			return true
		}
		holders[r.server] = id
		age := r.link.Waiting()
		if s := e.servers[r.server]; s != nil && age > s.meter.waiting {
			s.meter.waiting, s.meter.waiterOf = age, id
		}
		if age > silentFor {
			silent = append(silent, r)
		}
		return true
	})
	for _, r := range silent {
		e.opts.Logger.Warn("moved a client off a silent server", "server", r.server)
		e.move(r, rules.Reset)
	}
	if !e.opts.TellsDelay || e.opts.MessageAim <= 0 {
		return
	}
	// By number, not in the map's order: the same events come to the rules in the same order.
	for _, id := range e.order() {
		if holder, ok := holders[id]; ok {
			e.probe(id, e.servers[id])
			e.tellDelay(id, e.servers[id], holder)
		}
	}
}
