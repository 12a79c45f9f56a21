package balancer

import (
	"slices"
	"time"
)

const (
	// firstListTimeout is how long a request waits for the first endpoint list.
	firstListTimeout = 500 * time.Millisecond

	// answerMargin is how long before its deadline a request gets its final answer at the latest.
	answerMargin = 20 * time.Millisecond
)

// request holds the state of a request that is waiting, has an attempt in flight or has an open connection.
type request struct {
	Request
	classIndex    int
	placementHash uint64 // hash of the group, or of the client if there is none; decides the placement
	clientHash    uint64 // hash of the client, which distinguishes it from the others of its group
	deadline      time.Duration

	waitUntil     time.Duration // end of the current or last wait; zero means that it has not waited
	polledServers []*server     // servers whose load reports the request waits for
	pollRounds    int           // how often the request has waited for load reports

	attempts     int
	triedServers []ServerID
	server       *server       // server of the attempt in flight; nil if there is none
	sentAt       time.Duration // when the last attempt was sent
	established  bool          // the connection of the attempt in flight is established
	finished     bool          // the request is answered or migrated, or its client has disconnected
	load         float64       // load of the connection, in the unit of Request.Load; zero means unknown

	mayHaveRun bool          // a server may have processed an attempt
	firstRanOn *server       // server of the first such attempt
	firstRanAt time.Duration // when the first such attempt was sent
}

// Purposes of a client's fraction that do not depend on a server.
const (
	groupShardPurpose = iota // choice of the client's shard of its group
	shedPurpose              // shedding by this gateway
	fleetShedPurpose         // shedding by the fleet
)

// clientFraction returns a number in [0, 1) that depends only on the client and the purpose, so that all
// gateways compute the same one. The purpose is one of the constants above or a server's ID. If a decision
// applies to a fraction of the clients, it applies to those whose number is below that fraction.
func (r *request) clientFraction(purpose uint64) float64 { return fraction(mix(r.clientHash, purpose)) }

// isFirstMidFlowAttempt reports whether the next attempt is the first one of a mid-flow request.
func (r *request) isFirstMidFlowAttempt() bool { return r.MidFlow && r.attempts == 0 }

func (b *Balancer) newRequest(ev Request) *request {
	class, ok := b.classIndex[ev.Class]
	if !ok {
		class = len(b.settings.Classes) - 1
	}
	r := &request{Request: ev, classIndex: class, load: ev.Load, deadline: b.now + ev.Timeout}
	r.placementHash, r.clientHash = requestHashes(ev)
	b.requests[ev.ID] = r
	return r
}

// requestHashes returns the placement hash and the client hash of a request. The placement hash is that of
// the group, or the client hash if the request has no group. A request without a key takes its group's hash
// as its client hash.
func requestHashes(ev Request) (placement, client uint64) {
	client = mix(uint64(ev.ID), keySeed) // without key and group, gateways have nothing to agree on
	if ev.Key != "" {
		client = hashKey(ev.Key)
	}
	if ev.Group == "" {
		return client, client
	}
	placement = hashKey(ev.Group)
	if ev.Key == "" {
		client = placement
	}
	return placement, client
}

func (b *Balancer) class(r *request) *Class { return &b.settings.Classes[r.classIndex] }

func (b *Balancer) onRequest(ev Request) {
	if b.requests[ev.ID] != nil {
		return
	}
	b.requestWindow.add(b.now)
	b.recentRequests.add(b.now, 1)
	if class, ok := b.classIndex[ev.Class]; ok && ev.Load > 0 {
		b.observeLoad(class, ev.Load)
	}
	b.dispatch(b.newRequest(ev))
}

// onAdoptedConnection accounts for a connection that was opened before this Balancer was started.
func (b *Balancer) onAdoptedConnection(ev AdoptedConnection) {
	s := b.servers[ev.Server]
	if s == nil || b.requests[ev.ID] != nil {
		return
	}
	r := b.newRequest(ev.Request)
	r.attempts, r.established = 1, true
	b.attach(r, s)
	s.pendingAttempts--
}

func (b *Balancer) onClientDisconnected(ev ClientDisconnected) {
	if r := b.requests[ev.ID]; r != nil {
		b.finish(r)
	}
}

// finish records that a request needs no answer any more. It deletes the request unless an attempt is still
// in flight.
func (b *Balancer) finish(r *request) {
	r.finished = true
	if r.server == nil {
		delete(b.requests, r.ID)
	}
}

// waitOrAnswer handles a request for which no server is available: the request waits for the first endpoint
// list, or gets its final answer. It does not wait for anything else here, because any other obstacle lasts
// longer than a client should wait.
func (b *Balancer) waitOrAnswer(r *request) {
	if b.hasList || r.waitUntil > 0 && b.now >= r.waitUntil {
		b.answer(r)
		return
	}
	b.waiting = append(b.waiting, r)
	if r.waitUntil == 0 {
		wait := max(min(firstListTimeout, r.deadline-answerMargin-b.now), 0)
		r.waitUntil = b.now + wait
		b.emit(SetTimer{After: wait, Ref: waitTimer})
	}
}

// dispatchWaiting dispatches the waiting requests again, except those that still wait for load reports.
func (b *Balancer) dispatchWaiting() {
	waiting := b.waiting
	b.waiting = nil
	for _, r := range waiting {
		switch {
		case r.finished:
		case b.now < r.waitUntil && slices.ContainsFunc(r.polledServers, (*server).awaitsReport):
			b.waiting = append(b.waiting, r)
		default:
			r.polledServers = nil
			b.dispatch(r)
		}
	}
}

// capDeadlines limits the deadline and the wait of every request to the end of the process.
func (b *Balancer) capDeadlines(end time.Duration) {
	for _, r := range b.requests {
		r.deadline, r.waitUntil = min(r.deadline, end), min(r.waitUntil, end-answerMargin)
	}
	b.emit(SetTimer{After: max(end-answerMargin-b.now, 0), Ref: waitTimer})
}
