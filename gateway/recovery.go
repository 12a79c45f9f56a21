package gateway

import (
	"context"
	"fmt"
	"sync"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/cluster"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
)

// startCluster joins the cluster, if the operator file configures one. It returns a function that leaves the cluster. If no
// cluster is configured, startCluster and the returned function do nothing.
func (g *Gateway) startCluster() (stop func(), err error) {
	if g.clusterSettings == nil {
		return func() {}, nil
	}
	c, err := cluster.Start(g.clusterOptions())
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	g.cluster.Store(c)
	return func() {
		if err := c.Close(); err != nil {
			g.logger.Error("cluster storage not closed", "err", err)
		}
	}, nil
}

func (g *Gateway) clusterOptions() cluster.Options {
	s := g.clusterSettings
	_, priorities := s.Priorities()
	return cluster.Options{
		Priorities:       priorities,
		MinAdmittedRatio: s.MinAdmittedRatio,
		Name:             g.config.Name,
		Listen:           s.Listen,
		Peers:            s.Members,
		Key:              s.Key,
		Dir:              s.Dir,
		PeerTimeout:      s.PeerTimeout,
		WarmupDuration:   g.config.Balancer.WarmupDuration,
		Clock:            g.clock,
		Logger:           g.logger,
	}
}

func (g *Gateway) startClusterTasks(tasks *taskGroup, c *cluster.Cluster) {
	tasks.start(c.Run)
	if g.priorityCounters != nil {
		tasks.start(func(ctx context.Context) { g.runLoadShedding(ctx, c) })
	}
}

// cachedList returns the endpoint list of the configuration, or an empty one if the configuration has none.
func (g *Gateway) cachedList() engine.EndpointList {
	if g.config.CachedList == nil {
		return engine.EndpointList{Mode: balancer.ListCached}
	}
	return g.config.CachedList.EngineList(balancer.ListCached)
}

// recoverFromCluster posts the endpoint list that the disk and the peers hold, unless discovery sends an event first. It
// also starts the task that polls discovery. It returns once one of these has happened: the cluster has made its first
// decision, which may be to use no list; discovery has answered; or the tasks have been stopped.
func (g *Gateway) recoverFromCluster(tasks *taskGroup, c *cluster.Cluster) {
	initial := initialList{gateway: g}
	g.watcher.SetHandler(initial.postDiscovered)
	tasks.start(func(ctx context.Context) { g.watcher.Run(ctx, nil) })
	recovered := make(chan struct{})
	finish := sync.OnceFunc(func() { close(recovered) })
	tasks.start(func(ctx context.Context) {
		defer finish()
		c.Recover(ctx, func(list *discovery.EndpointList) {
			defer finish()
			initial.postRecovered(list)
		})
	})
	<-recovered
}

// initialList ensures that the recovered endpoint list reaches the engine before any list of discovery's. Once discovery
// has sent an event, a recovered list is dropped, because the engine would take it for the newer one.
type initialList struct {
	gateway *Gateway

	mu            sync.Mutex
	discoverySeen bool
}

func (l *initialList) postDiscovered(ev engine.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.discoverySeen = true
	l.gateway.post(ev)
}

// postRecovered posts the list that the cluster recovered, or the configuration's list if recovered is nil. It posts nothing
// if discovery has sent an event.
func (l *initialList) postRecovered(recovered *discovery.EndpointList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.discoverySeen {
		return
	}
	list := l.gateway.cachedList()
	if recovered != nil {
		list = recovered.EngineList(balancer.ListCached)
	}
	l.gateway.post(list)
}
