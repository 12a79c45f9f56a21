package gateway

import (
	"context"
	"math"
	"time"

	"example.org/milletvane/internal/cluster"
	"example.org/milletvane/internal/cluster/loadshed"
	"example.org/milletvane/internal/engine"
)

// runLoadShedding reports this gateway's counts of all, rejected and shed requests to the cluster, and passes the cluster's
// shed level to the engine, until ctx is done.
func (g *Gateway) runLoadShedding(ctx context.Context, c *cluster.Cluster) {
	ticker := time.NewTicker(loadshed.ReportInterval)
	defer ticker.Stop()
	previousLevel := 0.0
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
		if level != previousLevel {
			g.engine.Post(engine.FleetShedLevel{Level: level})
		}
		// The integer part of the level is the number of priorities that are shed completely. The fractional part is the
		// fraction of the next priority that is shed, from 0 to 1.
		if priorities := math.Floor(level); priorities != math.Floor(previousLevel) {
			g.logger.Info("load shedding changed", "priorities", priorities, "next_ratio", level-priorities)
		}
		previousLevel = level
	}
}
