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

// quiesceTimeout is how long Run waits, after the engine has ended, for clients to read the last bytes sent to them. The
// platform terminates the process 0.2 s after the engine's end at the earliest.
const quiesceTimeout = 100 * time.Millisecond

// descriptorDirectory lists the process's open descriptors, including the one that is opened to read the directory.
const descriptorDirectory = "/proc/self/fd"

// taskGroup owns the background goroutines that serve the engine. They keep running after a shutdown has been requested and
// end when stop is called.
type taskGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// newTaskGroup returns a task group whose context has the values of ctx but is not cancelled with it.
func newTaskGroup(ctx context.Context) *taskGroup {
	t := &taskGroup{}
	t.ctx, t.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return t
}

// start runs a task in a goroutine. The task must return when its context is done.
func (t *taskGroup) start(task func(context.Context)) {
	t.tasks.Go(func() { task(t.ctx) })
}

// stop cancels all tasks and waits for them. It may be called more than once.
func (t *taskGroup) stop() {
	t.cancel()
	t.tasks.Wait()
}

// Run serves until ctx is done. It then waits until pending requests have been answered and connections have been drained,
// for at most the configured timeouts. It returns an error if the event loops cannot be created, the inherited socket is
// not usable, an address cannot be listened on or the cluster cannot start. Run may be called only once.
func (g *Gateway) Run(ctx context.Context) error {
	conns, err := reactor.New(eventLoopCount(g.config.Limits))
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	defer conns.Close()
	conns.SetDescriptorBudget(g.config.Limits.ClientSockets() + config.MaxTransientSockets)
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
	tasks := newTaskGroup(ctx)
	defer tasks.stop()
	g.restoreState(tasks)
	listener, err := g.listenClients(conns)
	if err != nil {
		return fmt.Errorf("listen %s: %w", g.config.ListenAddr, err)
	}
	g.serve(ctx, tasks, listener)
	tasks.stop()
	conns.Quiesce(quiesceTimeout)
	return nil
}

// Ready reports whether clients can be served: the endpoint list and the servers in maintenance mode are known, and no
// shutdown has been requested. It may be called from any goroutine.
func (g *Gateway) Ready() bool { return g.serving.Load() && g.engine.Ready() }

// restoreState posts the known state before any client is accepted: the servers in maintenance mode, the endpoint list and
// the predecessor's state. It also starts the tasks of the cluster and of discovery.
func (g *Gateway) restoreState(tasks *taskGroup) {
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

// serve accepts clients and runs the engine until ctx is done and the clients have been drained.
func (g *Gateway) serve(ctx context.Context, tasks *taskGroup, listener *frontend.Listener) {
	tasks.start(g.maintenance.Run)
	if g.config.InheritedSocket > 0 {
		tasks.start(func(taskCtx context.Context) { g.runHotRestart(taskCtx, ctx.Done(), listener) })
	}
	g.serving.Store(true)
	defer context.AfterFunc(ctx, func() { g.serving.Store(false) })()
	g.logger.Info("serving", "name", g.config.Name, "listen", listener.Addr(), "discovery", g.config.DiscoveryAddr,
		"pass", g.config.Gateway.ConnectionsOutliveGateway, "connections", g.config.Limits.MaxConnections())
	g.engine.Run(ctx, g.clock)
	listener.Shutdown()
}

func (g *Gateway) listenClients(conns *reactor.Group) (*frontend.Listener, error) {
	if g.config.InheritedSocket > 0 {
		return frontend.ListenFD(g.config.InheritedSocket, g.config.ListenAddr, g.engine, conns)
	}
	return frontend.Listen(g.config.ListenAddr, g.engine, conns)
}

func (g *Gateway) prepareInheritedSocket() error {
	if g.config.InheritedSocket == 0 {
		return nil
	}
	if err := hotrestart.PrepareListener(g.config.InheritedSocket, g.config.ListenAddr); err != nil {
		return fmt.Errorf("%s: %w", config.EnvInheritedSocket, err)
	}
	return nil
}

// listenAdmin starts the operators' HTTP server, if it is configured, and returns the function that stops it.
func (g *Gateway) listenAdmin(conns *reactor.Group) (stop func(), err error) {
	if g.config.AdminAddr == "" {
		return func() {}, nil
	}
	server, err := admin.Listen(g.config.AdminAddr, admin.Options{
		Ready:          g.Ready,
		AppendMetrics:  func(b []byte) []byte { return g.appendMetrics(b, conns) },
		SetMaintenance: g.maintenance.Set,
		Logger:         g.logger,
	})
	if err != nil {
		return nil, fmt.Errorf("admin_addr: listen %s: %w", g.config.AdminAddr, err)
	}
	return func() { server.Close() }, nil
}

// appendMetrics appends the metrics page to b and returns the extended buffer. It updates the gauges of descriptors first.
func (g *Gateway) appendMetrics(b []byte, conns *reactor.Group) []byte {
	connections, closing := conns.DescriptorCounts()
	g.registry.ConnectionDescriptors.Store(int64(connections))
	g.registry.ClosingDescriptors.Store(int64(closing))
	if open, err := os.ReadDir(descriptorDirectory); err == nil { // on an error the gauge keeps its value
		g.registry.Descriptors.Store(int64(len(open)))
	}
	return g.registry.AppendStatsd(b)
}

// listenNATS accepts NATS clients, if the operator file configures NATS, and returns the function that stops the listener.
// Once ctx is done, clients are asked to disconnect.
func (g *Gateway) listenNATS(ctx context.Context, conns *reactor.Group) (stop func(), err error) {
	if g.natsBackend == nil {
		return func() {}, nil
	}
	g.natsBackend.Connect(g.engine, conns)
	listener, err := natsfrontend.Listen(natsfrontend.Options{
		Name: g.config.Name, Settings: *g.natsSettings, Engine: g.engine, Backend: g.natsBackend, Dropped: &g.registry.DroppedMessages,
	}, conns)
	if err != nil {
		return nil, err
	}
	g.natsFrontend.Store(listener)
	cancelShutdown := context.AfterFunc(ctx, listener.Shutdown)
	g.logger.Info("serving nats", "listen", listener.Addr())
	return func() {
		cancelShutdown()
		listener.Close()
	}, nil
}
