package gateway

import (
	"context"
	"math"
	"time"

	"example.org/milletvane/internal/cluster"
	"example.org/milletvane/internal/cluster/loadshed"
	"example.org/milletvane/internal/engine"
)

// runLoadShedding reports this gateway's requests and rejections to the cluster, and the cluster's shed level to the
// engine, until ctx is done.
func (g *Gateway) runLoadShedding(ctx context.Context, c *cluster.Cluster) {
	ticker := time.NewTicker(loadshed.ReportInterval)
	defer ticker.Stop()
	last := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		counts := g.priorityCounters.TakeCounts()
		level := c.UpdateLoad(loadshed.LocalCounts{
			Requests: counts.Offered, Rejected: counts.Rejected, Shed: counts.Shed,
		})
		if level != last {
			g.engine.Post(engine.FleetShedLevel{Level: level})
		}
		// The level is the number of priorities that are shed completely, and the shed ratio of the next.
		if priorities := math.Floor(level); priorities != math.Floor(last) {
			g.logger.Info("load shedding changed", "priorities", priorities, "next_ratio", level-priorities)
		}
		last = level
	}
}
