package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/cluster"
	"example.org/milletvane/internal/cluster/loadshed"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
)

func (g *Gateway) clusterOptions() cluster.Options {
	m := g.member
	_, ranks := m.Priorities()
	return cluster.Options{Priorities: ranks, MinAdmittedRatio: m.MinAdmittedRatio, Name: g.config.Name, Listen: m.Listen, Peers: m.Members, Key: m.Key, Dir: m.Dir, PeerTimeout: m.PeerTimeout,
		WarmupDuration: g.config.Balancer.WarmupDuration, Clock: g.clock, Logger: g.logger}
}

// shedWith tells the fleet what this gateway is asked for and refuses, and the engine what the fleet sheds.
func (g *Gateway) shedWith(ctx context.Context, c *cluster.Cluster) {
	tick := time.NewTicker(loadshed.ReportInterval)
	defer tick.Stop()
	last := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		counts := g.tiers.TakeCounts()
		own := loadshed.LocalCounts{Requests: counts.Offered, Rejected: counts.Rejected, Shed: counts.Shed}
		level := c.UpdateLoad(own)
		if level != last {
			g.engine.Post(engine.FleetShedLevel{Level: level})
		}
		if math.Floor(level) != math.Floor(last) {
			g.logger.Info("the fleet sheds", "ranks_under", math.Floor(level), "part_of_next", level-math.Floor(level))
		}
		last = level
	}
}

// recoverWith begins with what the disk and the peers tell, or with discovery's list where that comes first. The hint and
// discovery's list go to the engine in this order or the hint not at all: it would be gone by as the newer one.
func (g *Gateway) recoverWith(ctx context.Context, wg *sync.WaitGroup, c *cluster.Cluster, stored engine.EndpointList) {
	var mu sync.Mutex
	told := false
	g.watcher.SetHandler(func(ev engine.Event) {
		mu.Lock()
		defer mu.Unlock()
		told = true
		g.post(ev)
	})
	wg.Go(func() { g.watcher.Run(ctx, nil) })
	first := make(chan struct{})
	begun := sync.OnceFunc(func() { close(first) })
	wg.Go(func() {
		defer begun()
		c.Recover(ctx, func(hint *discovery.EndpointList) {
			defer begun()
			mu.Lock()
			defer mu.Unlock()
			if told {
				return
			}
			l := stored
			if hint != nil {
				l = hint.EngineList(balancer.ListCached)
			}
			g.post(l)
		})
	})
	<-first // clients are let in once there is something to go by, or nothing to wait for
}
