package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"example.org/milletvane/balancer"
)

// Settings is what a run plays.
type Settings struct {
	Balancer       balancer.Settings // Gateways of these; Seed is each one's own
	Nodes          []NodeSettings    // one each; ids count from 1
	NetworkDelay   time.Duration     // one way between gateways and nodes
	DiscoveryDelay time.Duration     // until a gateway is told of a change of a node
	ArrivalRate    float64           // clients a second
	MeanLifetime   time.Duration     // that a client wants its connection, in the mean
	MeanLoad       float64           // of a connection in cores of reference, in the mean
	ReconnectDelay time.Duration     // until a client that was cut off comes again
	AnswerSlack    time.Duration     // after a request's deadline an answer still counts this long
}

// Stats is what came of a run.
type Stats struct {
	Requests, Established, Rejected, Failed int // requests and their answers
	Attempts, Disconnected, Migrated        int
	WantedSeconds, ServedSeconds            float64  // seconds of connections: wanted, and open at a node that does all that is asked of it
	Violations                              []string // rules that were broken, the first few
}

// ServedRatio is the part of the wanted seconds that was served.
func (t *Stats) ServedRatio() float64 { return t.ServedSeconds / max(t.WantedSeconds, 1e-9) }

const brokenMost = 20

// Fleet is a site in play.
type Fleet struct {
	Stats
	scheduler *Scheduler
	site      Settings
	gateways  []*gateway
	nodes     []*machine
	random    *rand.Rand
	life      distuv.Exponential
	load      distuv.Exponential
	clients   int // that want a connection now
}

type machine struct {
	*Node
	id       balancer.ServerID
	draining bool
	since    time.Duration // the drain, or the restart
	open     map[*call]bool
}

type gateway struct {
	fleet    *Fleet
	balancer *balancer.Balancer
	calls    map[balancer.RequestID]*call
	last     balancer.RequestID
	told     map[balancer.ServerID]time.Duration // of a drain that holds
}

type client struct {
	key  string
	load float64
	end  time.Duration // until then it wants its connection
	back bool
}

type call struct {
	gateway  *gateway
	client   *client
	id       balancer.RequestID
	deadline time.Duration
	attempts int
	at       *machine // of the attempt that is out or open
	sent     time.Duration
	open     bool
	answered bool
	timeout  *Event
	leave    *Event
}

// NewFleet sets a site up at time 0, which is an hour on the rules' clock.
func NewFleet(seed uint64, s Settings) (*Fleet, error) {
	f := &Fleet{scheduler: NewScheduler(seed), site: s}
	f.scheduler.Run(time.Hour)
	f.random = f.scheduler.Stream("clients")
	f.life = distuv.Exponential{Rate: 1 / s.MeanLifetime.Seconds(), Src: f.scheduler.Stream("lives")}
	f.load = distuv.Exponential{Rate: 1 / s.MeanLoad, Src: f.scheduler.Stream("loads")}
	for i, k := range s.Nodes {
		n, err := NewNode(fmt.Sprint("s-", i+1), k)
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, &machine{Node: n, id: balancer.ServerID(i + 1), open: map[*call]bool{}})
	}
	list := balancer.EndpointList{Mode: balancer.ListComplete}
	for _, m := range f.nodes {
		list.Servers = append(list.Servers, m.entry())
	}
	for i := range max(s.Balancer.Gateways, 1) {
		set := s.Balancer
		set.Seed = uint64(i) + 1
		b, err := balancer.New(set)
		if err != nil {
			return nil, err
		}
		g := &gateway{fleet: f, balancer: b, calls: map[balancer.RequestID]*call{}, told: map[balancer.ServerID]time.Duration{}}
		f.gateways = append(f.gateways, g)
		g.tell(list)
	}
	f.arrive()
	f.second()
	return f, nil
}

// Run plays on for a time and returns what came of it so far.
func (f *Fleet) Run(d time.Duration) *Stats {
	f.scheduler.Run(f.scheduler.Now() + d)
	return &f.Stats
}

func (f *Fleet) breaks(format string, args ...any) {
	if len(f.Violations) < brokenMost {
		f.Violations = append(f.Violations, fmt.Sprintf("%v: ", f.scheduler.Now()-time.Hour)+fmt.Sprintf(format, args...))
	}
}

// second adds up what was served in the last one.
func (f *Fleet) second() {
	f.scheduler.After(time.Second, func() {
		now := f.scheduler.Now()
		f.WantedSeconds += float64(f.clients)
		for _, m := range f.nodes {
			f.ServedSeconds += float64(len(m.open)) / max(m.Utilization(now), 1)
		}
		f.second()
	})
}

func (f *Fleet) arrive() {
	gap := time.Duration(f.random.ExpFloat64() / f.site.ArrivalRate * float64(time.Second))
	f.scheduler.After(gap, func() {
		now := f.scheduler.Now()
		c := &client{key: fmt.Sprint(f.random.Uint64()), load: f.load.Rand(), end: now + time.Duration(f.life.Rand()*float64(time.Second))}
		f.clients++
		f.scheduler.At(c.end, func() { f.clients-- })
		f.ask(c)
		f.arrive()
	})
}

// ask has a client ask some gateway, unless it wants nothing any more.
func (f *Fleet) ask(c *client) {
	now := f.scheduler.Now()
	if now >= c.end {
		return
	}
	g := f.gateways[f.random.IntN(len(f.gateways))]
	g.last++
	class := f.site.Balancer.Classes[0]
	r := &call{gateway: g, client: c, id: g.last, deadline: now + class.Timeout}
	g.calls[r.id] = r
	f.Requests++
	f.scheduler.At(r.deadline+f.site.AnswerSlack, func() {
		if !r.answered {
			f.breaks("request %d has no answer %v after its deadline", r.id, f.site.AnswerSlack)
		}
	})
	g.tell(balancer.Request{ID: r.id, Class: class.Name, Key: c.key, Timeout: class.Timeout, Load: c.load * 1e6, Reconnecting: c.back})
}

// again has a client come back.
func (f *Fleet) again(c *client, after time.Duration) {
	c.back = true
	f.scheduler.After(max(after, f.site.ReconnectDelay), func() { f.ask(c) })
}

func (g *gateway) tell(ev balancer.Event) {
	// Actions are valid until the next call alone.
	for _, a := range slices.Clone(g.balancer.Handle(g.fleet.scheduler.Now(), ev)) {
		g.act(a)
	}
}

func (g *gateway) act(a balancer.Action) {
	f := g.fleet
	switch a := a.(type) {
	case balancer.Send:
		g.send(a)
	case balancer.Reject:
		if r := g.answer(a.ID); r != nil {
			f.Rejected++
			f.again(r.client, a.RetryAfter)
		}
	case balancer.Fail:
		if r := g.answer(a.ID); r != nil {
			f.Failed++
			f.again(r.client, 0)
		}
	case balancer.Migrate:
		if r := g.calls[a.ID]; r != nil && r.open {
			f.Migrated++
			r.over(balancer.Cancelled)
			f.again(r.client, 0)
		}
	case balancer.SetTimer:
		f.scheduler.After(a.After, func() { g.tell(balancer.TimerFired{Ref: a.Ref}) })
	}
}

// answer takes a request's final answer, which may come once.
func (g *gateway) answer(id balancer.RequestID) *call {
	r := g.calls[id]
	if r == nil || r.answered || r.at != nil {
		g.fleet.breaks("request %d is answered twice, or while an attempt is out", id)
		return nil
	}
	r.answered = true
	delete(g.calls, id)
	return r
}

func (g *gateway) send(a balancer.Send) {
	f, now := g.fleet, g.fleet.scheduler.Now()
	r := g.calls[a.ID]
	if r == nil || r.at != nil || r.answered {
		f.breaks("request %d is sent while an attempt is out, or after its answer", a.ID)
		return
	}
	if r.attempts++; r.attempts > max(f.site.Balancer.MaxAttempts, 1) {
		f.breaks("request %d is sent %d times", a.ID, r.attempts)
	}
	if at, drains := g.told[a.Server]; drains && now-at > f.site.Balancer.DrainGrace {
		f.breaks("request %d is sent to node %d, told to drain %v ago", a.ID, a.Server, now-at)
	}
	f.Attempts++
	r.at, r.sent = f.nodes[a.Server-1], now
	wait := r.deadline - now
	if a.Timeout > 0 {
		wait = min(wait, a.Timeout)
	}
	n := r.attempts
	r.timeout = f.scheduler.After(wait, func() { r.over(balancer.TimedOut) })
	f.scheduler.After(f.site.NetworkDelay, func() { r.reach(n) })
}

// reach brings an attempt to its node, and the node's word back.
func (r *call) reach(n int) {
	f, m := r.gateway.fleet, r.at
	if m == nil || r.attempts != n || r.open {
		return
	}
	verdict := Rejected
	if !m.draining {
		verdict = m.Connect(f.scheduler.Now(), r.client.load)
	}
	if verdict == Crashed {
		f.breaks("node %d is tipped over %v after its start", m.id, f.scheduler.Now()-m.since)
		f.cut(m)
	}
	begun := m.since
	f.scheduler.After(f.site.NetworkDelay, func() {
		switch {
		case r.at != m || r.attempts != n || r.open: // given up meanwhile
			if verdict == Accepted && m.since == begun && m.Up() {
				m.Disconnect(r.client.load)
			}
		case verdict == Accepted && m.since == begun && m.Up():
			r.up()
		case verdict == Rejected:
			r.over(balancer.Rejected)
		default:
			r.over(balancer.ConnectFailed)
		}
	})
}

func (r *call) up() {
	f := r.gateway.fleet
	f.scheduler.Cancel(r.timeout)
	r.open, r.answered = true, true
	r.at.open[r] = true
	f.Established++
	r.leave = f.scheduler.At(r.client.end, func() { r.over(balancer.OK) })
	r.gateway.tell(balancer.AttemptEstablished{ID: r.id, Attempt: r.attempts - 1, Server: r.at.id, Elapsed: f.scheduler.Now() - r.sent})
}

// over ends an attempt, or the connection that it set up.
func (r *call) over(result balancer.Result) {
	f, m := r.gateway.fleet, r.at
	if m == nil {
		return
	}
	f.scheduler.Cancel(r.timeout)
	f.scheduler.Cancel(r.leave)
	if r.open && m.open[r] {
		delete(m.open, r)
		m.Disconnect(r.client.load)
	}
	was := r.open
	r.at, r.open = nil, false
	if was {
		delete(r.gateway.calls, r.id)
	}
	r.gateway.tell(balancer.AttemptEnded{ID: r.id, Attempt: r.attempts - 1, Server: m.id, Result: result, Elapsed: f.scheduler.Now() - r.sent, Answered: was})
}
