package simulation

import (
	"time"

	"example.org/milletvane/balancer"
)

// request is a client's request for a connection and, once established, the connection.
type request struct {
	gateway         *gateway
	client          *client
	id              balancer.RequestID
	deadline        time.Duration
	attempts        int
	server          *server       // server of the attempt in flight or of the connection; nil without either
	sentAt          time.Duration // time at which the latest attempt was sent
	established     bool
	answered        bool   // whether the request has its final answer
	timeoutEvent    *Event // ends the attempt in flight
	disconnectEvent *Event // ends the connection when the client leaves
}

// startAttempt sends the request to a server. The attempt ends at the request's deadline or after the timeout, whichever
// is earlier. Zero means no timeout.
func (r *request) startAttempt(s *server, timeout time.Duration) {
	f := r.gateway.fleet
	r.server, r.sentAt = s, f.scheduler.Now()
	limit := r.deadline - r.sentAt
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	attempt := r.attempts
	r.timeoutEvent = f.scheduler.After(limit, func() { r.endAttempt(balancer.TimedOut) })
	f.scheduler.After(f.settings.NetworkDelay, func() { r.arrive(attempt) })
}

// inFlight reports whether the given attempt still waits for the answer of server s.
func (r *request) inFlight(s *server, attempt int) bool {
	return s != nil && r.server == s && r.attempts == attempt && !r.established
}

// arrive delivers an attempt to its server, and schedules the receipt of the server's answer.
func (r *request) arrive(attempt int) {
	f, s := r.gateway.fleet, r.server
	if !r.inFlight(s, attempt) {
		return
	}
	result := Rejected
	if !s.draining {
		result = s.Connect(f.scheduler.Now(), r.client.load)
	}
	if result == Crashed {
		f.addViolation("node %d crashed from cold overload %v after its start", s.id, f.scheduler.Now()-s.stateSince)
		f.disconnectAll(s)
	}
	stateSince := s.stateSince
	f.scheduler.After(f.settings.NetworkDelay, func() {
		// A connection is lost if its server started to drain, restarted or crashed after it accepted the connection.
		accepted := result == Accepted && s.stateSince == stateSince && s.Up()
		r.receiveAnswer(s, attempt, result, accepted)
	})
}

// receiveAnswer ends or establishes an attempt. If the attempt is no longer in flight, it closes an accepted connection.
func (r *request) receiveAnswer(s *server, attempt int, result ConnectResult, accepted bool) {
	switch {
	case !r.inFlight(s, attempt):
		if accepted {
			s.Disconnect(r.client.load)
		}
	case accepted:
		r.establish()
	case result == Rejected:
		r.endAttempt(balancer.Rejected)
	default:
		r.endAttempt(balancer.ConnectFailed)
	}
}

// establish marks the attempt in flight as established, and schedules the end of the connection.
func (r *request) establish() {
	f := r.gateway.fleet
	f.scheduler.Cancel(r.timeoutEvent)
	r.established, r.answered = true, true
	r.server.established[r] = true
	f.Established++
	r.disconnectEvent = f.scheduler.At(r.client.leavesAt, func() { r.endAttempt(balancer.OK) })
	r.gateway.handle(balancer.AttemptEstablished{
		ID: r.id, Attempt: r.attempts - 1, Server: r.server.id, Elapsed: f.scheduler.Now() - r.sentAt,
	})
}

// endAttempt ends the attempt in flight or the established connection with a result. It does nothing without either.
func (r *request) endAttempt(result balancer.Result) {
	f, s := r.gateway.fleet, r.server
	if s == nil {
		return
	}
	f.scheduler.Cancel(r.timeoutEvent)
	f.scheduler.Cancel(r.disconnectEvent)
	wasEstablished := r.established
	if wasEstablished {
		if s.established[r] {
			delete(s.established, r)
			s.Disconnect(r.client.load)
		}
		delete(r.gateway.requests, r.id)
	}
	r.server, r.established = nil, false
	r.gateway.handle(balancer.AttemptEnded{
		ID: r.id, Attempt: r.attempts - 1, Server: s.id, Result: result,
		Elapsed: f.scheduler.Now() - r.sentAt, Answered: wasEstablished,
	})
}
