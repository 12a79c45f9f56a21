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

// receive handles a message from a peer. It ignores payloads that can't be decoded and messages of an unknown kind.
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
		c.receiveLoadReport(received, m.loadReport)
	}
}

// isPeer reports whether the instance with the given name is a configured peer.
func (c *Cluster) isPeer(name string) bool {
	_, ok := c.opts.Peers[name]
	return ok
}

// broadcast sends a message to all peers. The caller must hold c.mu.
func (c *Cluster) broadcast(m message) {
	body := encode(m)
	for _, name := range c.peerNames() {
		c.transport.Send(name, body)
	}
}

// peerNames returns the names of the peers in a fixed order, so that simulated runs are reproducible.
func (c *Cluster) peerNames() []string { return slices.Sorted(maps.Keys(c.opts.Peers)) }

// requestStates sends a state request to each peer whose whole state has not arrived yet.
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

// maxPartsPerAnswer keeps the answers to requests every stateRequestInterval within the byte rate of a link. More parts would
// fill the link's queue, which would drop the same parts each time.
const maxPartsPerAnswer = 8

// sendState answers a state request with the list that this instance received from discovery or read from its own disk. A list
// that it uses because its peers hold it is not sent. A state of more than maxPartsPerAnswer parts takes several requests:
// each answer continues where the last answer to the same peer ended.
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
		Hash:      hashEndpoints(endpoints),
		UpdatedMS: c.list.updatedAt.Milliseconds(),
		ClockMS:   now.Milliseconds(),
	}
	if c.servingSince > 0 {
		state.UptimeMS = (now - c.servingSince).Milliseconds()
	}
	parts := splitState(state, endpoints)
	first := c.nextPartIndex[to]
	for i := range min(len(parts), maxPartsPerAnswer) {
		c.transport.Send(to, parts[(first+i)%len(parts)])
	}
	c.nextPartIndex[to] = (first + min(len(parts), maxPartsPerAnswer)) % len(parts)
}

// receiveState processes a part of a peer's state, and passes the state to the recovery once it is complete.
func (c *Cluster) receiveState(from string, part statePart) {
	if !c.isPeer(from) {
		return
	}
	if report, ok := c.assemble(from, part); ok {
		c.handle(report)
	}
}

// assemble adds a part to a peer's state. If the state is complete with it, assemble returns the peer's report and true.
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

// reportedState returns the state that a peer reports. It has version 0, which means no list, if the hash does not match the
// entries: the list is too long to be sent, or damaged.
func reportedState(part statePart, endpoints []discovery.Endpoint) recovery.PeerState {
	state := peerState(part.Version, milliseconds(part.UpdatedMS), endpoints)
	if state.Hash != part.Hash {
		state.Version = 0
	}
	state.Uptime = milliseconds(part.UptimeMS)
	return state
}

// receiveLoadReport passes the load report of a configured peer to the load shedder.
func (c *Cluster) receiveLoadReport(received membership.Message, report loadReport) {
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
