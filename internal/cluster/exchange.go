package cluster

import (
	"encoding/json"
	"maps"
	"slices"

	"example.org/milletvane/internal/cluster/loadshed"
	"example.org/milletvane/internal/cluster/recovery"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/membership"
)

// receive handles a message of a peer. What is no message is ignored.
func (c *Cluster) receive(received membership.Message) {
	var m message
	if json.Unmarshal(received.Payload, &m) != nil {
		return
	}
	switch m.Kind {
	case kindStateRequest:
		c.sendState(received.From)
	case kindStatePart:
		c.receiveState(received.From, m.statePart)
	case kindLoadReport:
		c.receiveLoad(received, m.loadReport)
	}
}

// isPeer reports whether the configuration names an instance.
func (c *Cluster) isPeer(name string) bool {
	_, ok := c.opts.Peers[name]
	return ok
}

// broadcast sends a message to all peers. The caller holds the lock.
func (c *Cluster) broadcast(m message) {
	body := encode(m)
	for _, name := range c.peerNames() {
		c.transport.Send(name, body)
	}
}

// peerNames returns the names of the peers in a fixed order, so that simulated runs are reproducible.
func (c *Cluster) peerNames() []string { return slices.Sorted(maps.Keys(c.opts.Peers)) }

// requestStates asks the peers whose state has not come yet.
func (c *Cluster) requestStates() {
	body := encode(message{Kind: kindStateRequest})
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range c.peerNames() {
		if _, ok := c.peerLists[name]; !ok {
			c.transport.Send(name, body)
		}
	}
}

// maxPartsPerAnswer keeps answers to requests that come every stateRequestInterval within the bytes a second of a link. More
// would fill its queue, and what is dropped there would be the same parts each time.
const maxPartsPerAnswer = 8

// sendState answers a request with what this instance holds by discovery or its own disk. What it uses by its peers is
// left out. A state of more than maxPartsPerAnswer parts takes several requests: each answer goes on where the last one to
// that peer ended.
func (c *Cluster) sendState(to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transport == nil {
		return
	}
	now := c.opts.Clock()
	endpoints := c.list.sorted()
	state := statePart{
		Version:   c.list.version,
		Hash:      hashOf(endpoints),
		UpdatedMS: c.list.updatedAt.Milliseconds(),
		ClockMS:   now.Milliseconds(),
	}
	if c.servingSince > 0 {
		state.UptimeMS = (now - c.servingSince).Milliseconds()
	}
	parts := splitState(state, endpoints)
	first := c.nextPart[to]
	for i := range min(len(parts), maxPartsPerAnswer) {
		c.transport.Send(to, parts[(first+i)%len(parts)])
	}
	c.nextPart[to] = (first + min(len(parts), maxPartsPerAnswer)) % len(parts)
}

// receiveState takes a part of a peer's state, and passes the state to the recovery once it is complete.
func (c *Cluster) receiveState(from string, part statePart) {
	if !c.isPeer(from) {
		return
	}
	if report, ok := c.assemble(from, part); ok {
		c.handle(report)
	}
}

// assemble returns the report of a peer whose state is complete with a part.
func (c *Cluster) assemble(from string, part statePart) (report recovery.PeerReport, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.assemblies[from]
	if a == nil {
		a = &assembly{}
		c.assemblies[from] = a
	}
	if !a.add(part) {
		return recovery.PeerReport{}, false
	}
	endpoints := a.endpoints()
	c.peerLists[from] = endpoints
	return recovery.PeerReport{
		Peer:  from,
		Clock: milliseconds(part.ClockMS),
		State: reportedState(part, endpoints),
	}, true
}

// reportedState is the state that a peer reports. A list whose hash does not fit counts as none: it is too long to be sent,
// or damaged.
func reportedState(part statePart, endpoints []discovery.Endpoint) recovery.PeerState {
	state := stateOf(part.Version, milliseconds(part.UpdatedMS), endpoints)
	if state.Hash != part.Hash {
		state.Version = 0
	}
	state.Uptime = milliseconds(part.UptimeMS)
	return state
}

// receiveLoad takes the load report of a peer.
func (c *Cluster) receiveLoad(received membership.Message, report loadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shedder == nil || !c.isPeer(received.From) {
		return
	}
	c.shedder.Receive(c.opts.Clock(), loadshed.PeerReport{
		Peer:        received.From,
		Incarnation: received.Incarnation,
		Sequence:    report.Sequence,
		Report:      loadshed.Report{ShedRatio: report.ShedRatio, RequestRates: report.RequestRates},
	})
}
