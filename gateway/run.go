package gateway

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"example.org/milletvane/config"
	"example.org/milletvane/internal/admin"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/hotrestart"
	"example.org/milletvane/internal/lineproto/frontend"
	natsfrontend "example.org/milletvane/internal/nats/frontend"
	"example.org/milletvane/internal/reactor"
)

// quiesceTimeout is how long the end waits for clients to read what was last sent. The platform ends the program 0.2 s
// after the engine's end at the earliest.
const quiesceTimeout = 100 * time.Millisecond

// descriptorDirectory lists the process's open descriptors, with one for reading it.
const descriptorDirectory = "/proc/self/fd"

// background owns the goroutines that serve the engine. They outlive the request for a shutdown, and end with stop.
type background struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// newBackground returns an owner of goroutines whose context is not done when ctx is.
func newBackground(ctx context.Context) *background {
	b := &background{}
	b.ctx, b.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return b
}

// start runs a task in a goroutine. The task returns when its context is done.
func (b *background) start(task func(context.Context)) {
	b.tasks.Go(func() { task(b.ctx) })
}

// stop ends all tasks and waits for them. It may be called again.
func (b *background) stop() {
	b.cancel()
	b.tasks.Wait()
}

// Run serves until ctx is done, and then until pending requests have been answered and connections drained, within the
// configuration's timeouts. It returns an error where an address cannot be listened on or the cluster cannot start. It
// may be called once.
func (g *Gateway) Run(ctx context.Context) error {
	conns, err := reactor.New(eventLoops(g.config.Limits))
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	defer conns.Close()
	conns.SetDescriptorBudget(g.config.Limits.ClientSockets() + config.TransientSockets)
	g.lineBackend.Connect(g.engine, conns)
	if err := g.prepareInheritedSocket(); err != nil {
		return err
	}
	closeAdmin, err := g.listenAdmin(conns)
	if err != nil {
		return err
	}
	defer closeAdmin()
	closeNATS, err := g.listenNATS(ctx, conns)
	if err != nil {
		return err
	}
	defer closeNATS()
	closeCluster, err := g.startCluster()
	if err != nil {
		return err
	}
	defer closeCluster()
	defer g.weights.stop()
	tasks := newBackground(ctx)
	defer tasks.stop()
	g.restoreState(tasks)
	front, err := g.listen(conns)
	if err != nil {
		return fmt.Errorf("listen %s: %w", g.config.Listen, err)
	}
	g.serve(ctx, tasks, front)
	tasks.stop()
	conns.Quiesce(quiesceTimeout)
	return nil
}

// Ready reports whether clients can be served: the endpoint list and the servers in maintenance are known, and no
// shutdown has been requested.
func (g *Gateway) Ready() bool { return g.serving.Load() && g.engine.Ready() }

// restoreState posts what is known before any client is accepted: the servers in maintenance, the endpoint list, and the
// predecessor's state. It starts the tasks that keep these up to date.
func (g *Gateway) restoreState(tasks *background) {
	c := g.cluster.Load()
	if c != nil {
		g.startClusterTasks(tasks, c)
	}
	g.maintenance.Sync()
	if c != nil {
		g.recoverFromCluster(tasks, c)
	} else {
		g.post(g.cachedList())
		tasks.start(func(ctx context.Context) { g.watcher.Run(ctx, g.config.CachedList) })
	}
	if g.predecessor != nil {
		g.engine.Post(engine.PredecessorState{State: g.predecessor.State, First: true})
	}
}

// serve runs the engine until ctx is done and the clients have been drained.
func (g *Gateway) serve(ctx context.Context, tasks *background, front *frontend.Listener) {
	tasks.start(g.maintenance.Run)
	if g.config.InheritedSocket > 0 {
		tasks.start(func(background context.Context) { g.runHotRestart(background, ctx.Done(), front) })
	}
	g.serving.Store(true)
	defer context.AfterFunc(ctx, func() { g.serving.Store(false) })()
	g.logger.Info("serving", "name", g.config.Name, "listen", front.Addr(), "discovery", g.config.Discovery,
		"pass", g.config.Gateway.ConnectionsOutliveGateway, "connections", g.config.Limits.MaxConnections())
	g.engine.Run(ctx, g.clock)
	front.Shutdown()
}

func (g *Gateway) listen(conns *reactor.Group) (*frontend.Listener, error) {
	if g.config.InheritedSocket > 0 {
		return frontend.ListenFD(g.config.InheritedSocket, g.config.Listen, g.engine, conns)
	}
	return frontend.Listen(g.config.Listen, g.engine, conns)
}

func (g *Gateway) prepareInheritedSocket() error {
	if g.config.InheritedSocket == 0 {
		return nil
	}
	if err := hotrestart.PrepareListener(g.config.InheritedSocket, g.config.Listen); err != nil {
		return fmt.Errorf("%s: %w", config.EnvInheritedSocket, err)
	}
	return nil
}

// listenAdmin starts the operators' HTTP server, if it is configured, and returns what stops it.
func (g *Gateway) listenAdmin(conns *reactor.Group) (stop func(), err error) {
	if g.config.Admin == "" {
		return func() {}, nil
	}
	server, err := admin.Listen(g.config.Admin, admin.Options{
		Ready:          g.Ready,
		AppendMetrics:  func(b []byte) []byte { return g.appendMetrics(b, conns) },
		SetMaintenance: g.maintenance.Set,
		Logger:         g.logger,
	})
	if err != nil {
		return nil, fmt.Errorf("admin_addr: listen %s: %w", g.config.Admin, err)
	}
	return func() { server.Close() }, nil
}

// appendMetrics appends the metrics page, with the descriptors as they are now.
func (g *Gateway) appendMetrics(b []byte, conns *reactor.Group) []byte {
	held, closing := conns.DescriptorCounts()
	g.registry.ConnectionDescriptors.Store(int64(held))
	g.registry.ClosingDescriptors.Store(int64(closing))
	if open, err := os.ReadDir(descriptorDirectory); err == nil { // without it the gauge stays as it was
		g.registry.Descriptors.Store(int64(len(open)))
	}
	return g.registry.AppendStatsd(b)
}

// listenNATS accepts NATS clients, if the operator file has them, and returns what stops that. Clients are asked to leave
// once ctx is done.
func (g *Gateway) listenNATS(ctx context.Context, conns *reactor.Group) (stop func(), err error) {
	if g.natsBackend == nil {
		return func() {}, nil
	}
	g.natsBackend.Connect(g.engine, conns)
	front, err := natsfrontend.Listen(g.config.Name, *g.natsSettings, g.engine, g.natsBackend, conns)
	if err != nil {
		return nil, err
	}
	g.natsFrontend.Store(front)
	cancelShutdown := context.AfterFunc(ctx, front.Shutdown)
	g.logger.Info("serving nats", "listen", front.Addr())
	return func() {
		cancelShutdown()
		front.Close()
	}, nil
}
