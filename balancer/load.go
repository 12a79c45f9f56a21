package balancer

import "slices"

// loadSum is a sum of the loads of connections.
type loadSum struct {
	known   float64
	unknown []int // connections of unknown load, by class
}

func newLoadSum(classes int) loadSum { return loadSum{unknown: make([]int, classes)} }

// add adds a connection's load if sign is 1, or subtracts it if sign is -1. A load of 0 is unknown and
// counted by class.
func (l *loadSum) add(class int, load float64, sign int) {
	if load > 0 {
		l.known += float64(sign) * load
	} else {
		l.unknown[class] += sign
	}
}

// attach adds a request's attempt to the counts and loads of a server.
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

// detach undoes attach when the attempt has ended. It does nothing if the request has no attempt.
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
		s.load.known = 0 // discards accumulated rounding errors
	}
	r.server = nil
}

// addLoad adds the load of a request's connection to all sums if sign is 1, or subtracts it if sign is -1.
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

// observeLoad adds a connection's load to the means that serve as estimates of unknown loads.
func (b *Balancer) observeLoad(class int, load float64) {
	b.classMeanLoads[class].add(load)
	b.overallMeanLoad.add(load)
}

// meanLoad returns the mean load of a connection, in the unit of all loads, or 1 while no load is known.
func (b *Balancer) meanLoad() float64 {
	if b.overallMeanLoad.isKnown() {
		return b.overallMeanLoad.value
	}
	return 1
}

// classLoad returns the estimate for a connection of unknown load: the mean load of its class, or the mean
// load of all classes if no load of the class is known.
func (b *Balancer) classLoad(class int) float64 {
	if b.classMeanLoads[class].isKnown() {
		return b.classMeanLoads[class].value
	}
	return b.meanLoad()
}

// serverLoad returns the load of this gateway's connections to a server.
func (b *Balancer) serverLoad(s *server) float64 { return b.estimateLoad(&s.load) }

// totalLoad returns the load of this gateway's connections to all servers.
func (b *Balancer) totalLoad() float64 { return b.estimateLoad(&b.load) }

// estimateLoad returns a load sum in which the connections of unknown load count with the estimate of their
// class.
func (b *Balancer) estimateLoad(l *loadSum) float64 {
	load := l.known
	for class, n := range l.unknown {
		if n > 0 {
			load += float64(n) * b.classLoad(class)
		}
	}
	return max(load, 0)
}
