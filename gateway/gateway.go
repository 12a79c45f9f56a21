// Package gateway provides the load balancer as a library. New takes a validated configuration, Run serves until its
// context is done, and Reload applies a new configuration while Run serves.
//
// A Gateway can be run only once. The engine's goroutine owns the state of requests and servers; all other components post
// events to it. Run starts the other goroutines and waits for them before it returns. Reload and Ready may be called from
// any goroutine at any time after New.
package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/config"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/cluster"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/eventloop"
	"example.org/milletvane/internal/hotrestart"
	"example.org/milletvane/internal/lineproto/backend"
	"example.org/milletvane/internal/maintenance"
	"example.org/milletvane/internal/metrics"
	natsbackend "example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	natsfrontend "example.org/milletvane/internal/nats/frontend"
)

const (
	// readyTimeout is how long a starting gateway waits for an endpoint list. The platform requires nine in ten processes
	// to be ready within 10 s, even if discovery is unavailable.
	readyTimeout = 8 * time.Second
	// minServerPayload is the lowest size limit, in bytes, for a message from a NATS server. The configured limit for
	// clients may be lower, but servers forward messages that clients elsewhere publish.
	minServerPayload = 8 << 20
)

// Gateway is one instance of the load balancer.
type Gateway struct {
	config config.Config
	logger *slog.Logger
	clock  func() time.Duration // Unix time; never goes backwards

	natsSettings    *operator.NATS // nil: NATS is off
	planSettings    *operator.PlanSettings
	clusterSettings *operator.Cluster // nil: the gateway joins no cluster and recovers without peers

	engine      *eventloop.Loop
	lineBackend *backend.Backend
	natsBackend *natsbackend.Backend // nil: NATS is off
	watcher     *discovery.Watcher
	weights     *planWeights
	maintenance *maintenance.Store

	registry         *metrics.Registry
	priorityCounters *metrics.PriorityCounters // nil: no priorities are configured

	stateDir    *hotrestart.StateDir
	predecessor *hotrestart.Snapshot // nil: this process has no predecessor

	natsFrontend atomic.Pointer[natsfrontend.Frontend] // nil: not listening for NATS clients
	cluster      atomic.Pointer[cluster.Cluster]       // nil: no cluster is configured, or it has not started
	serving      atomic.Bool                           // clients are accepted, and no shutdown has been requested
}

// Option overrides a default of New.
type Option func(*Gateway)

// WithOperator enables the features that an operator file configures. Nil settings change nothing.
func WithOperator(s *operator.Settings) Option {
	return func(g *Gateway) {
		if s != nil {
			g.natsSettings, g.planSettings, g.clusterSettings = s.NATS, s.Plan, s.Cluster
		}
	}
}

// WithLogger sets the logger. It defaults to slog.Default().
func WithLogger(l *slog.Logger) Option { return func(g *Gateway) { g.logger = l } }

// New returns a gateway that has not started. It returns an error if the balancer rejects its part of the configuration.
//
//nolint:contextcheck // querying the logger's level needs no caller's context
func New(c config.Config, options ...Option) (*Gateway, error) {
	g := &Gateway{config: c, logger: slog.Default(), clock: newClock()}
	for _, o := range options {
		o(g)
	}
	policy, err := balancer.New(c.Balancer)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	g.maintenance = maintenance.New(c.StateDir, g.logger)
	g.maintenance.SetApplyFunc(func(id string, out bool, done func()) {
		g.engine.Post(engine.MaintenanceChanged{Name: id, InMaintenance: out, Done: done})
	})
	g.loadPredecessor()
	g.watcher = discovery.New(c.DiscoveryAddr, c.ListRefresh, g.clock, g.logger)
	classes := classNames(c.Balancer.Classes)
	g.registry = metrics.New(classes)
	g.lineBackend = backend.New(g.lineOptions())
	engineOptions := g.engineOptions(classes)
	engineOptions.Trace = g.logger.Enabled(context.Background(), slog.LevelDebug)
	g.engine = eventloop.New(engine.New(engineOptions, policy, g, g.lineBackend))
	if g.natsSettings != nil {
		g.natsBackend = natsbackend.New(g.natsOptions(g.natsSettings))
	}
	g.weights = newPlanWeights(c.Balancer.WarmupDuration, g.clock, g.engine, g.logger)
	g.weights.setPlan(g.planSettings)
	g.watcher.SetHandler(g.post)
	return g, nil
}

func classNames(classes []balancer.Class) []string {
	names := make([]string, len(classes))
	for i, class := range classes {
		names[i] = class.Name
	}
	return names
}

func (g *Gateway) lineOptions() backend.Options {
	return backend.Options{
		ConnectTimeout: g.config.Gateway.ConnectTimeout,
		ReportsLoad:    g.config.Gateway.ReportsConnectionLoad,
		MeasuresDelay:  g.config.Gateway.ReportsMessageDelay,
		Forwarded:      &g.registry.Forwards,
	}
}

func (g *Gateway) natsOptions(settings *operator.NATS) natsbackend.Options {
	return natsbackend.Options{
		ConnectTimeout:    g.config.Gateway.ConnectTimeout,
		NodePort:          settings.NodePort,
		PingInterval:      settings.PingInterval,
		MaxSharedConns:    settings.MaxSharedConns,
		Name:              g.config.Name,
		ForwardedAttempts: &g.registry.Forwards,
		Limits:            codec.Limits{MaxPayload: max(settings.MaxPayload, minServerPayload)},
	}
}

// engineOptions returns the options of the engine. If the operator file has priorities, it also creates the counters by
// priority.
func (g *Gateway) engineOptions(classes []string) engine.Options {
	c := &g.config
	options := engine.Options{
		MaxSockets:                c.Limits.ClientSockets(),
		MaxIdleClients:            c.Limits.MaxIdleClients(),
		Classes:                   classes,
		RetryAfter:                c.Balancer.MaxRetryAfter,
		DefaultTimeout:            c.Gateway.MaxClassTimeout,
		AnswerGrace:               c.Gateway.AnswerGrace,
		FlowRetention:             c.Balancer.FlowRetention,
		ConnectionsOutliveGateway: c.Gateway.ConnectionsOutliveGateway,
		ReportsMessageDelay:       c.Gateway.ReportsMessageDelay,
		MessageLatencyObjective:   c.Gateway.MessageLatencyObjective,
		CanPollLoad:               c.Gateway.CanPollLoad,
		ReadyTimeout:              readyTimeout,
		AnswerTimeout:             c.AnswerTimeout,
		DrainTimeout:              c.DrainTimeout,
		Metrics:                   g.registry,
		Logger:                    g.logger,
	}
	if g.clusterSettings == nil {
		return options
	}
	if priorityByClass, priorities := g.clusterSettings.Priorities(); priorities > 0 {
		g.priorityCounters = metrics.NewPriorityCounters(priorities)
		options.PriorityCounters = g.priorityCounters
		options.PriorityOf = func(class, _ string) int { return priorityByClass[class] }
	}
	return options
}

// Send implements engine.Backend. It sends an attempt over the protocol of the attempt's client.
func (g *Gateway) Send(a engine.Attempt) engine.ActiveAttempt {
	if g.natsBackend != nil && g.natsBackend.Handles(a) {
		return g.natsBackend.Send(a)
	}
	return g.lineBackend.Send(a)
}

// post passes a discovery event to the engine. An endpoint list also updates the cluster and the ids that the maintenance
// store knows, and its servers get the weights of the placement plan.
func (g *Gateway) post(ev engine.Event) {
	list, ok := ev.(engine.EndpointList)
	if !ok {
		g.engine.Post(ev)
		return
	}
	if c := g.cluster.Load(); c != nil {
		c.UpdateEndpoints(list)
	}
	ids := make([]string, len(list.Servers))
	for i := range list.Servers {
		ids[i] = list.Servers[i].Name
	}
	g.maintenance.AddKnown(ids)
	g.weights.apply(list)
}

// newClock returns a clock of Unix time, which discovery also uses. The clock never goes backwards.
func newClock() func() time.Duration {
	start := time.Now()
	base := time.Duration(start.UnixNano())
	return func() time.Duration { return base + time.Since(start) }
}
