package cluster

import (
	"context"
	"slices"
	"time"

	"example.org/milletvane/internal/cluster/recovery"
	"example.org/milletvane/internal/discovery"
)

// stateRequestInterval is how often peers that have not answered are asked for their state.
const stateRequestInterval = 150 * time.Millisecond

// Recover requests the peers' states and calls use with the provisional endpoint list to begin with, within
// Options.PeerTimeout; nil is none. Until discovery answers it goes on requesting the states that are missing, and calls use
// again where these change the choice. It returns when discovery has answered, or when ctx is done.
func (c *Cluster) Recover(ctx context.Context, use func(*discovery.EndpointList)) {
	ticker := time.NewTicker(stateRequestInterval)
	defer ticker.Stop()
	for {
		c.requestStates()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.handle(recovery.Tick{})
		case d := <-c.decisions:
			list := c.adopt(d)
			if d.Source == recovery.FromDiscovery {
				return
			}
			use(list)
		}
	}
}

// handle passes an event to the recovery. The caller must not hold the lock.
func (c *Cluster) handle(event recovery.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.recovery.Handle(c.opts.Clock(), event)
	if !ok {
		return
	}
	select {
	case c.decisions <- d:
	default: // so many wait already that one more would not help
	}
}

// adopt logs a decision and returns its provisional list, nil where it has none. The first decision is when the instance
// begins to serve.
func (c *Cluster) adopt(d recovery.Decision) *discovery.EndpointList {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock()
	if c.servingSince == 0 {
		c.servingSince = now
	}
	c.logDecision(d, now)
	switch d.Source {
	case recovery.FromDisk:
		return c.provisional(d, c.list.sorted())
	case recovery.FromPeers:
		// A list from peers is used but not sent on as this instance's own: two would seem to hold what one claims.
		return c.provisional(d, c.peerLists[d.Peers[0]])
	default:
		return nil
	}
}

// provisional returns a list as a decision wants it used.
func (c *Cluster) provisional(d recovery.Decision, endpoints []discovery.Endpoint) *discovery.EndpointList {
	list := &discovery.EndpointList{Version: d.Version, Complete: true}
	for _, e := range endpoints {
		if slices.Contains(d.Excluded, e.ID) {
			continue
		}
		e.StartedMS = max(e.StartedMS, d.StartTimes[e.ID].Milliseconds())
		if d.ColdStart {
			e.StartedMS = max(e.StartedMS, c.startedAt.Milliseconds())
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	return list
}

func (c *Cluster) logDecision(d recovery.Decision, now time.Duration) {
	c.opts.Logger.Info("recovery decided", "source", d.Source.String(), "version", d.Version, "peers", d.Peers,
		"excluded", d.Excluded, "cold_start", d.ColdStart, "isolated", d.Isolated, "elapsed", now-c.startedAt)
	for _, w := range d.Warnings {
		c.logWarning(w)
	}
}

func (c *Cluster) logWarning(w recovery.Warning) {
	switch w := w.(type) {
	case recovery.ClockBehindDisk:
		c.opts.Logger.Warn("clock is behind the stored endpoint list", "offset", w.Offset)
	case recovery.PeerClockSkew:
		c.opts.Logger.Warn("peer clock differs", "peer", w.Peer, "offset", w.Offset)
	case recovery.ConflictingLists:
		c.opts.Logger.Warn("endpoint lists of one version differ", "version", w.Version)
	}
}
