package balancer

import "slices"

// loadSum adds up the loads of connections.
type loadSum struct {
	known   float64
	unknown []int // connections of unknown load, by class
}

func newLoadSum(classes int) loadSum { return loadSum{unknown: make([]int, classes)} }

// add adds a connection's load, or with a sign of -1 takes it away.
func (l *loadSum) add(class int, load float64, sign int) {
	if load > 0 {
		l.known += float64(sign) * load
	} else {
		l.unknown[class] += sign
	}
}

// attach accounts for a request's attempt at a server.
func (b *Balancer) attach(r *request, s *server) {
	r.server = s
	s.inFlight = append(s.inFlight, r)
	s.groupConnections[r.Group]++
	b.groupConnections[r.Group]++
	b.connections++
	s.pendingAttempts++
	s.attemptsSinceReport++
	b.addLoad(r, 1)
}

// detach undoes attach when the attempt has ended.
func (b *Balancer) detach(r *request) {
	s := r.server
	if s == nil {
		return
	}
	b.addLoad(r, -1)
	b.connections--
	for _, counts := range []map[string]int{b.groupConnections, s.groupConnections} {
		if counts[r.Group]--; counts[r.Group] == 0 {
			delete(counts, r.Group)
		}
	}
	if i := slices.Index(s.inFlight, r); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if !r.established {
		s.pendingAttempts--
	}
	if len(s.inFlight) == 0 {
		s.load.known = 0 // without what rounding left over
	}
	r.server = nil
}

// addLoad adds the load of a request's connection to all sums, or with a sign of -1 takes it away.
func (b *Balancer) addLoad(r *request, sign int) {
	if t, ok := b.tenantIndex[r.Tenant]; ok {
		b.tenantConnections[t] += float64(sign)
	}
	r.server.load.add(r.classIndex, r.load, sign)
	b.load.add(r.classIndex, r.load, sign)
}

func (b *Balancer) onLoadChanged(ev LoadChanged) {
	r := b.requests[ev.ID]
	if r == nil || !(ev.Load > 0) {
		return
	}
	b.observeLoad(r.classIndex, ev.Load)
	if r.server != nil {
		b.addLoad(r, -1)
		r.load = ev.Load
		b.addLoad(r, 1)
	}
}

// observeLoad takes a connection's load into the means by which unknown loads are estimated.
func (b *Balancer) observeLoad(class int, load float64) {
	b.classMeanLoads[class].add(load)
	b.overallMeanLoad.add(load)
}

// meanLoad is the load of a mean connection, in the unit of all loads; 1 as long as none is known.
func (b *Balancer) meanLoad() float64 {
	if b.overallMeanLoad.isKnown() {
		return b.overallMeanLoad.value
	}
	return 1
}

// classLoad is the load of a connection of a class whose own is not known.
func (b *Balancer) classLoad(class int) float64 {
	if b.classMeanLoads[class].isKnown() {
		return b.classMeanLoads[class].value
	}
	return b.meanLoad()
}

// serverLoad is the load of a server from this gateway.
func (b *Balancer) serverLoad(s *server) float64 { return b.estimateLoad(&s.load) }

// totalLoad is the load of all servers from this gateway.
func (b *Balancer) totalLoad() float64 { return b.estimateLoad(&b.load) }

// estimateLoad completes a sum by estimates for the connections whose load is unknown.
func (b *Balancer) estimateLoad(l *loadSum) float64 {
	load := l.known
	for class, n := range l.unknown {
		if n > 0 {
			load += float64(n) * b.classLoad(class)
		}
	}
	return max(load, 0)
}
