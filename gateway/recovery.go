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

// startCluster joins the cluster, if the operator file has one, and returns what leaves it.
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

func (g *Gateway) startClusterTasks(tasks *background, c *cluster.Cluster) {
	tasks.start(c.Run)
	if g.priorityCounters != nil {
		tasks.start(func(ctx context.Context) { g.runLoadShedding(ctx, c) })
	}
}

// cachedList is the endpoint list that the configuration holds, or an empty one.
func (g *Gateway) cachedList() engine.EndpointList {
	if g.config.CachedList == nil {
		return engine.EndpointList{Mode: balancer.ListCached}
	}
	return g.config.CachedList.EngineList(balancer.ListCached)
}

// recoverFromCluster starts with the endpoint list that the disk and the peers have, or with discovery's where that comes
// first. It returns once a list has been posted, or none is to be waited for.
func (g *Gateway) recoverFromCluster(tasks *background, c *cluster.Cluster) {
	first := firstList{gateway: g}
	g.watcher.SetHandler(first.postDiscovered)
	tasks.start(func(ctx context.Context) { g.watcher.Run(ctx, nil) })
	recovered := make(chan struct{})
	finish := sync.OnceFunc(func() { close(recovered) })
	tasks.start(func(ctx context.Context) {
		defer finish()
		c.Recover(ctx, func(hint *discovery.EndpointList) {
			defer finish()
			first.postRecovered(hint)
		})
	})
	<-recovered
}

// firstList orders the recovered list before discovery's. Once discovery has sent an event, a recovered list is dropped:
// it would take effect as the newer one.
type firstList struct {
	gateway *Gateway

	mu         sync.Mutex
	discovered bool
}

func (f *firstList) postDiscovered(ev engine.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discovered = true
	f.gateway.post(ev)
}

// postRecovered posts the hint of the cluster, or the configuration's list where there is no hint.
func (f *firstList) postRecovered(hint *discovery.EndpointList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.discovered {
		return
	}
	list := f.gateway.cachedList()
	if hint != nil {
		list = hint.EngineList(balancer.ListCached)
	}
	f.gateway.post(list)
}
