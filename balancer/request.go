package balancer

import (
	"slices"
	"time"
)

const (
	// firstListTimeout is how long a request waits for the first endpoint list.
	firstListTimeout = 500 * time.Millisecond

	// answerMargin is how long before its deadline a request is answered.
	answerMargin = 20 * time.Millisecond
)

// request is a request that is waiting, has an attempt in flight or an open connection.
type request struct {
	Request
	classIndex    int
	placementHash uint64 // hash of what places it
	clientHash    uint64 // hash of what distinguishes its client from the others of its group
	deadline      time.Duration

	waitUntil     time.Duration // 0: it never waited
	polledServers []*server     // whose load reports it waits for
	pollRounds    int           // how often it waited for load reports

	attempts     int
	triedServers []ServerID
	server       *server       // of the attempt in flight
	sentAt       time.Duration // its last attempt
	established  bool
	finished     bool // answered, or its client disconnected
	load         float64

	mayHaveRun bool          // an attempt may have run
	firstRanOn *server       // of the first such attempt
	firstRanAt time.Duration // when it was sent
}

// Purposes of a client's fraction that concern no server.
const (
	groupShardPurpose = iota // choice of a shard of the client's group
	shedPurpose              // shedding by this gateway
	fleetShedPurpose         // shedding by the fleet
)

// clientFraction is a number in [0, 1) that every gateway computes alike for a client and a purpose, which is
// one of the above or a server's id. Where a fraction of the clients is to be taken, it decides which those
// are.
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

// requestHashes returns the hash that places a request, of its group or else its client, and the one that
// distinguishes its client from others.
func requestHashes(ev Request) (placement, client uint64) {
	client = mix(uint64(ev.ID), keySeed) // without a key there is nothing that gateways could agree on
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

// onAdoptedConnection accounts for a connection that is older than this Balancer.
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

// finish notes that a request is owed no answer any more, and forgets it unless an attempt is still in
// flight.
func (b *Balancer) finish(r *request) {
	r.finished = true
	if r.server == nil {
		delete(b.requests, r.ID)
	}
}

// waitOrAnswer disposes of a request that no server may take now. Only the first list is waited for: whatever
// else keeps a request out lasts longer than a client should wait.
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

// dispatchWaiting dispatches the waiting requests again. Those stay that wait for load reports.
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

// capDeadlines lets no request wait past the end of the program.
func (b *Balancer) capDeadlines(end time.Duration) {
	for _, r := range b.requests {
		r.deadline, r.waitUntil = min(r.deadline, end), min(r.waitUntil, end-answerMargin)
	}
	b.emit(SetTimer{After: max(end-answerMargin-b.now, 0), Ref: waitTimer})
}
