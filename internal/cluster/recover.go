package cluster

import (
	"context"
	"slices"
	"time"

	"example.org/milletvane/internal/cluster/recovery"
	"example.org/milletvane/internal/discovery"
)

// stateRequestInterval is the interval at which state requests are sent to peers whose whole state has not arrived.
const stateRequestInterval = 150 * time.Millisecond

// Recover requests the peers' states and calls use with the provisional endpoint list to start with, after at most
// Options.PeerTimeout; the list is nil if there is none. Until discovery answers, Recover continues to request the missing
// states, and calls use again each time that a state changes the choice. It returns when discovery has answered or ctx is done.
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
			list := c.applyDecision(d)
			if d.Source == recovery.FromDiscovery {
				return
			}
			use(list)
		}
	}
}

// handle passes an event to the recovery and queues the decision that results. The caller must not hold c.mu.
func (c *Cluster) handle(event recovery.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.recovery.Handle(c.opts.Clock(), event)
	if !ok {
		return
	}
	select {
	case c.decisions <- d:
	default: // the queue is full: Recover is not reading it, and one more decision would not help
	}
}

// applyDecision logs a decision and returns its provisional list, or nil if it has none. The instance counts as serving from
// its first decision on.
func (c *Cluster) applyDecision(d recovery.Decision) *discovery.EndpointList {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock()
	if c.servingSince == 0 {
		c.servingSince = now
	}
	c.logDecision(d, now)
	switch d.Source {
	case recovery.FromDisk:
		return c.provisionalList(d, c.list.sorted())
	case recovery.FromPeers:
		// A list from peers is used, but not sent to other peers as this instance's own. Otherwise two instances would seem to
		// hold a list that only one reports.
		return c.provisionalList(d, c.peerLists[d.Peers[0]])
	default:
		return nil
	}
}

// provisionalList returns a list with the exclusions and start times of a decision applied.
func (c *Cluster) provisionalList(d recovery.Decision, endpoints []discovery.Endpoint) *discovery.EndpointList {
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
