// Package gateway is a balancer as a library: New takes a checked configuration, Run serves until its context
// is done, and Reload goes over to a new configuration meanwhile.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/config"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/admin"
	"example.org/milletvane/internal/cluster"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/eventloop"
	"example.org/milletvane/internal/hotrestart"
	"example.org/milletvane/internal/lineproto/backend"
	"example.org/milletvane/internal/lineproto/frontend"
	"example.org/milletvane/internal/maintenance"
	"example.org/milletvane/internal/metrics"
	natsbackend "example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	natsfront "example.org/milletvane/internal/nats/frontend"
	"example.org/milletvane/internal/planapply"
	"example.org/milletvane/internal/reactor"
)

// Gateway is one balancer.
type Gateway struct {
	config config.Config
	logger *slog.Logger
	engine *eventloop.Loop
	lines  *backend.Backend
	nats   *natsbackend.Backend // nil: off
	nat    *operator.NATS
	plan   *operator.PlanSettings
	member *operator.Cluster    // nil: it recovers by itself
	clock  func() time.Duration // Unix time, never backwards
	follow struct {
		sync.Mutex
		planapply.Applier
		timer *time.Timer // for the next look; nil: none was needed yet
	}
	front   atomic.Pointer[natsfront.Frontend] // while it runs
	watcher *discovery.Watcher
	cluster atomic.Pointer[cluster.Cluster] // while it runs; nil: there is none
	figures *metrics.Registry
	tiers   *metrics.PriorityCounters // nil: none are named
	bans    *maintenance.Store
	serving atomic.Bool // clients' connections are taken, and no stop has been asked for
	desk    *hotrestart.StateDir
	before  *hotrestart.Snapshot // of the process that this one follows; nil: there is none
}

// Option changes what New takes by default.
type Option func(*Gateway)

// WithOperator switches on what an operator file holds.
func WithOperator(s *operator.Settings) Option {
	return func(g *Gateway) {
		if s != nil {
			g.nat, g.plan, g.member = s.NATS, s.Plan, s.Cluster
		}
	}
}

// WithLogger sets the logger; the standard one serves otherwise.
func WithLogger(l *slog.Logger) Option { return func(g *Gateway) { g.logger = l } }

// New returns a gateway that has not started.
func New(c config.Config, options ...Option) (*Gateway, error) {
	g := &Gateway{config: c, logger: slog.Default()}
	for _, o := range options {
		o(g)
	}
	decider, err := balancer.New(c.Balancer)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	g.bans = maintenance.New(c.StateDir, g.logger)
	g.bans.OnChange(func(id string, out bool, done func()) {
		g.engine.Post(engine.MaintenanceChanged{Name: id, InMaintenance: out, Done: done})
	})
	g.takeUp()
	g.clock = clock()
	g.watcher = discovery.New(c.Discovery, c.ListRefresh, g.clock, g.logger)
	classes := make([]string, len(c.Balancer.Classes))
	for i, class := range c.Balancer.Classes {
		classes[i] = class.Name
	}
	g.figures = metrics.New(classes)
	attempts := backend.New(backend.Options{
		ConnectTimeout: c.Gateway.ConnectTimeout, ReportsLoad: c.Gateway.ReportsConnectionLoad, MeasuresDelay: c.Gateway.ReportsMessageDelay, Forwarded: &g.figures.Forwards,
	})
	var ranks func(class, tenant string) int
	if g.member != nil {
		if by, n := g.member.Priorities(); n > 0 {
			g.tiers, ranks = metrics.NewPriorityCounters(n), func(class, _ string) int { return by[class] }
		}
	}
	g.engine = eventloop.New(engine.New(engine.Options{
		PriorityOf: ranks, PriorityCounters: g.tiers,
		MaxSockets: c.Limits.ClientSockets(), MaxIdleClients: c.Limits.MaxIdleClients(), Classes: classes, RetryAfter: c.Balancer.MaxRetryAfter, DefaultTimeout: c.Gateway.MaxClassTimeout, AnswerGrace: c.Gateway.AnswerGrace,
		ConnectionsOutliveGateway: c.Gateway.ConnectionsOutliveGateway, FlowRetention: c.Balancer.FlowRetention, ReportsMessageDelay: c.Gateway.ReportsMessageDelay, MessageLatencyObjective: c.Gateway.MessageLatencyObjective, CanPollLoad: c.Gateway.CanPollLoad, ReadyTimeout: readyWithin, AnswerTimeout: c.AnswerTimeout, DrainTimeout: c.DrainTimeout,
		Metrics: g.figures, Logger: g.logger, Trace: g.logger.Enabled(context.Background(), slog.LevelDebug),
	}, decider, g, attempts))
	g.lines = attempts
	if n := g.nat; n != nil {
		g.nats = natsbackend.New(g.natsOptions(n))
	}
	g.follow.WarmupDuration = c.Balancer.WarmupDuration
	g.usePlan(g.plan)
	g.watcher.SetHandler(g.post)
	return g, nil
}

// readyWithin is the time that a start has for a list. The platform wants nine in ten processes ready within 10 s, whatever
// discovery does.
const readyWithin = 8 * time.Second

// settleFor is how long the end waits for clients to read what was last sent. The platform ends the program 0.2 s after
// the engine's end at the earliest.
const settleFor = 100 * time.Millisecond

// nodePayload is what a node may send at once, though clients may not: it passes on what others publish.
const nodePayload = 8 << 20

// Send implements engine.Backend: each attempt goes by its client's protocol.
func (g *Gateway) Send(a engine.Attempt) engine.ActiveAttempt {
	if g.nats != nil && g.nats.Handles(a) {
		return g.nats.Send(a)
	}
	return g.lines.Send(a)
}

// Reload goes over to a new configuration while Run serves: discovery's new address is asked at once, and operator settings
// are taken whole; with an error nothing is taken. All else
// is fixed for a gateway's life; where the new configuration has another value for it, the log says so. Reload
// may be called at any time and from any goroutine.
func (g *Gateway) Reload(c config.Config, op *operator.Settings) error {
	var nat *operator.NATS
	if op != nil {
		nat = op.NATS
	}
	if err := g.reloadNATS(nat); err != nil {
		return err
	}
	var plan *operator.PlanSettings
	if op != nil {
		plan = op.Plan
	}
	g.usePlan(plan)
	kept := g.config.ChangesNeedingRestart(&c)
	var member *operator.Cluster
	if op != nil {
		member = op.Cluster
	}
	if !reflect.DeepEqual(member, g.member) {
		kept = append(kept, "cluster")
	}
	g.logger.Info("reloaded", "discovery", c.Discovery, "kept", kept)
	g.watcher.SetAddr(c.Discovery)
	return nil
}

// usePlan goes over to a plan, or to none.
func (g *Gateway) usePlan(p *operator.PlanSettings) {
	g.follow.Lock()
	defer g.follow.Unlock()
	if p == nil {
		p = &operator.PlanSettings{}
	}
	l, said := g.follow.SetPlan(g.clock(), p.Plan, p.Zone)
	g.followed(l, said)
}

// followed passes a list on and sees to it that time is looked at when a node is warm. The lock is held.
func (g *Gateway) followed(l engine.EndpointList, said string) {
	if said != "" {
		g.logger.Info("weights", "by", said)
	}
	if l.Mode != balancer.ListDelta || len(l.Servers) > 0 {
		g.engine.Post(l)
	}
	at, ok := g.follow.NextWarmup()
	if g.follow.timer != nil {
		g.follow.timer.Stop()
	}
	if !ok {
		return
	}
	g.follow.timer = time.AfterFunc(max(at-g.clock(), 0), func() {
		g.follow.Lock()
		defer g.follow.Unlock()
		g.followed(g.follow.Tick(g.clock()))
	})
}

// post hands events over, lists with the weights that the plan has for them.
func (g *Gateway) post(ev engine.Event) {
	l, ok := ev.(engine.EndpointList)
	if !ok {
		g.engine.Post(ev)
		return
	}
	if c := g.cluster.Load(); c != nil {
		c.UpdateEndpoints(l)
	}
	ids := make([]string, len(l.Servers))
	for i := range l.Servers {
		ids[i] = l.Servers[i].Name
	}
	g.bans.AddKnown(ids)
	g.follow.Lock()
	defer g.follow.Unlock() // lists reach the engine in the order in which they are followed
	g.followed(g.follow.Apply(g.clock(), l))
}

// reloadNATS takes new settings whole or not at all: what is fixed for a gateway's life must be the same in them.
func (g *Gateway) reloadNATS(n *operator.NATS) error {
	switch {
	case n == nil && g.nat == nil:
		return nil
	case n == nil || g.nat == nil:
		return errors.New("nats: is switched on or off, which takes a new start")
	case n.Listen != g.nat.Listen:
		return fmt.Errorf("nats.listen: %q is not the address in use, %q; another takes a new start", n.Listen, g.nat.Listen)
	}
	g.nats.SetOptions(g.natsOptions(n))
	if f := g.front.Load(); f != nil {
		f.SetSettings(n)
	}
	return nil
}

func (g *Gateway) natsOptions(n *operator.NATS) natsbackend.Options {
	return natsbackend.Options{
		ConnectTimeout: g.config.Gateway.ConnectTimeout, NodePort: n.NodePort, PingInterval: n.PingInterval,
		MaxSharedConns: n.MaxShared, Name: g.config.Name, Forwards: &g.figures.Forwards, Limits: codec.Limits{MaxPayload: max(n.MaxPayload, nodePayload)},
	}
}

// Run serves until ctx is done, and then until what still comes has been answered. It returns an error where
// the address cannot be listened on or the listener breaks.
func (g *Gateway) Run(ctx context.Context) error {
	// One loop a core: each handles what comes where it stands.
	conns, err := reactor.New(loops(g.config.Limits))
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	defer conns.Close()
	conns.SetDescriptorBudget(g.config.Limits.ClientSockets() + config.TransientSockets)
	g.lines.Connect(g.engine, conns)
	if g.config.InheritedSocket > 0 {
		if err := hotrestart.PrepareListener(g.config.InheritedSocket, g.config.Listen); err != nil {
			return fmt.Errorf("%s: %w", config.EnvInheritedSocket, err)
		}
	}
	if g.config.Admin != "" {
		a, err := admin.Listen(g.config.Admin, admin.Options{Ready: g.Ready, AppendMetrics: g.figures.AppendStatsd, SetMaintenance: g.bans.Set, Logger: g.logger})
		if err != nil {
			return fmt.Errorf("admin_addr: listen %s: %w", g.config.Admin, err)
		}
		defer a.Close()
	}
	if g.nats != nil {
		g.nats.Connect(g.engine, conns)
		n, err := natsfront.Listen(g.config.Name, *g.nat, g.engine, g.nats, conns, g.logger)
		if err != nil {
			return err
		}
		g.front.Store(n)
		defer n.Close()
		defer context.AfterFunc(ctx, n.Shutdown)()
		g.logger.Info("serving nats", "listen", n.Addr())
	}
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	var wg sync.WaitGroup
	if g.member != nil {
		c, err := cluster.Start(g.clusterOptions())
		if err != nil {
			return fmt.Errorf("cluster: %w", err)
		}
		g.cluster.Store(c)
		defer c.Close()
		wg.Go(func() { c.Run(watching) })
		if g.tiers != nil {
			wg.Go(func() { g.shedWith(watching, c) })
		}
	}
	// The rules start with the list as last held; a newer one is asked for meanwhile.
	stored := engine.EndpointList{Mode: balancer.ListCached}
	if g.config.CachedList != nil {
		stored = g.config.CachedList.EngineList(balancer.ListCached)
	}
	// Before any client: no server is used that staff took out, and what the process before knows is known.
	g.bans.Sync()
	if c := g.cluster.Load(); c != nil {
		g.recoverWith(watching, &wg, c, stored)
	} else {
		g.post(stored)
		wg.Go(func() { g.watcher.Run(watching, g.config.CachedList) })
	}
	if g.before != nil {
		g.engine.Post(engine.PredecessorState{State: g.before.State, First: true})
	}
	f, err := g.listen(conns)
	if err != nil {
		return fmt.Errorf("listen %s: %w", g.config.Listen, err)
	}
	wg.Go(func() { g.bans.Run(watching) })
	if g.config.InheritedSocket > 0 {
		wg.Go(func() { g.handOver(ctx, watching, f) })
	}
	g.serving.Store(true)
	defer context.AfterFunc(ctx, func() { g.serving.Store(false) })()
	g.logger.Info("serving", "name", g.config.Name, "listen", f.Addr(), "discovery", g.config.Discovery,
		"pass", g.config.Gateway.ConnectionsOutliveGateway, "connections", g.config.Limits.MaxConnections())
	g.engine.Run(ctx, g.clock)
	f.Shutdown()
	stopWatching()
	wg.Wait()
	conns.Quiesce(settleFor)
	return nil
}

// Ready reports whether clients can be served: the list and what staff said of it are known, and no stop was asked for.
func (g *Gateway) Ready() bool { return g.serving.Load() && g.engine.Ready() }

func (g *Gateway) listen(conns *reactor.Group) (*frontend.Listener, error) {
	if g.config.InheritedSocket > 0 {
		return frontend.ListenFD(g.config.InheritedSocket, g.config.Listen, g.engine, conns)
	}
	return frontend.Listen(g.config.Listen, g.engine, conns)
}

// clock tells Unix time, as discovery does, but never steps back.
func clock() func() time.Duration {
	start := time.Now()
	base := time.Duration(start.UnixNano())
	return func() time.Duration { return base + time.Since(start) }
}
