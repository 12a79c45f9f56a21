package backend

import (
	"bytes"
	"strings"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
	"example.org/milletvane/internal/upstream"
)

// SessionClient is a session's place at a node, as an attempt's client. But for the engine's methods, all are called on the loop of
// Conn.
type SessionClient interface {
	engine.Client
	Conn() *reactor.Conn
	// AppendHandshake appends CONNECT and all subscriptions.
	AppendHandshake(b []byte) []byte
	// InfoReceived brings each INFO of the node.
	InfoReceived(*NodeConn, codec.ServerInfo)
	// Established says that the node has confirmed the opening.
	Established(*NodeConn)
	// MessageReceived shows a message; true lets it pass with Relay.
	MessageReceived(*NodeConn, *codec.Frame) bool
	// Forward passes frames on as they stand.
	Forward(l *NodeConn, frames []byte)
	// ErrReceived brings a -ERR that leaves the connection as it is.
	ErrReceived(l *NodeConn, raw []byte)
	// AuthorizationFailed says that the node turned the client away for who it is.
	AuthorizationFailed(l *NodeConn, text []byte)
	// Disconnected says that a leg that stood is gone, by the node's doing.
	Disconnected(*NodeConn)
}

// NodeConn is a session's connection to a node, or one shared by requests.
type NodeConn struct {
	upstream.Attempt // what is asked is that a PING be answered
	backend          *Backend
	attempt          engine.Attempt // of a session's leg
	owner            SessionClient  // nil: it is shared
	shared           *sharedState
	hub              *LoopState

	// The loop alone uses these.
	info   bool   // the first INFO is in
	pings  []ping // what each PONG to come is for
	pinger *Timer
	tries  map[string]*RequestAttempt
	sids   int
	paused bool
}

// ping is a PING that is out.
type ping struct {
	then   func() // nil: nothing
	client bool   // a client waits for its PONG
}

// sidMark begins the subscription ids of the gateway's own. Clients may not use it.
const sidMark = '!'

// IsGatewaySID reports whether a subscription id is one that only gateways use.
func IsGatewaySID(sid []byte) bool { return len(sid) > 0 && sid[0] == sidMark }

func (b *Backend) dial(a engine.Attempt, o SessionClient) *NodeConn {
	l := &NodeConn{backend: b, attempt: a, owner: o, hub: b.LoopState(o.Conn())}
	wait := a.Timeout
	if t := b.options().ConnectTimeout; t > 0 {
		wait = min(wait, t)
	}
	l.Start(func() *reactor.Conn { return b.conns.Dial(b.addr(a.Addr), wait, l, o.Conn()) })
	return l
}

// Server is the node's number.
func (l *NodeConn) Server() balancer.ServerID { return l.attempt.Server }

// IsEstablished reports whether the leg stands. The loop alone may rely on it.
func (l *NodeConn) IsEstablished() bool { return l.Phase() == upstream.Established }

// finish ends a leg that does not stand, once.
func (l *NodeConn) finish(result balancer.Result) {
	if !l.Cancel() {
		return
	}
	if l.owner != nil {
		l.backend.events.Post(engine.AttemptEnded{RequestID: l.attempt.RequestID, Number: l.attempt.Number, Result: result})
	} else {
		l.fall(balancer.ConnectFailed)
	}
}

// Close ends the leg after all that was sent has been written, and tells nobody but its requests.
func (l *NodeConn) Close() {
	if l.Finish() != upstream.Ended {
		l.Conn().Close()
		l.fall(balancer.Reset)
	}
}

// Abandon ends a leg that does not stand, for a reason that is not the node's.
func (l *NodeConn) Abandon() { l.finish(balancer.Cancelled) }

// broken is the end of a leg that stands by the node's doing.
func (l *NodeConn) broken() {
	if !l.Transition(upstream.Established, upstream.Ended) {
		return
	}
	l.Conn().Abort(false)
	l.fall(balancer.Reset)
	if l.owner != nil {
		l.backend.events.Post(engine.AttemptEnded{RequestID: l.attempt.RequestID, Number: l.attempt.Number, Result: balancer.Reset})
		l.owner.Disconnected(l)
	}
}

// fall ends what hangs on the leg.
func (l *NodeConn) fall(result balancer.Result) {
	l.hub.Cancel(l.pinger)
	tries := l.tries
	l.tries = nil
	for _, t := range tries {
		t.finish(result)
	}
	if l.shared != nil {
		l.shared.fall(l, result)
	}
}

// PendingRequests is the number of requests that are out on the leg.
func (l *NodeConn) PendingRequests() int { return len(l.tries) }

// OnOpen implements reactor.Handler. The node speaks first.
func (l *NodeConn) OnOpen(_ *reactor.Conn, err error) {
	if err != nil {
		l.finish(balancer.ConnectFailed)
		return
	}
	l.Transition(upstream.Dialing, upstream.Pending)
}

// OnEnd implements reactor.Handler.
func (l *NodeConn) OnEnd(c *reactor.Conn, _ error) {
	switch {
	case l.IsEstablished():
		l.broken()
	case !l.info || c.Buffered() > 0:
		l.finish(balancer.ConnectFailed) // the opening is not out
	default:
		l.finish(balancer.Reset)
	}
}

// OnData implements reactor.Handler. Messages that pass are relayed in runs, as they stand.
func (l *NodeConn) OnData(_ *reactor.Conn, b []byte) int {
	taken, from := 0, 0
	limits := l.backend.options().Limits
	flush := func() {
		if from < taken {
			l.owner.Forward(l, b[from:taken])
		}
	}
	for taken < len(b) {
		f := &l.hub.frame
		var n int
		var err error
		if *f, n, err = codec.Parse(b[taken:], limits); err != nil {
			flush()
			l.finish(balancer.Errored)
			l.broken()
			return len(b)
		}
		if n == 0 {
			break
		}
		pass := false
		if f.Op == codec.Msg || f.Op == codec.HMsg {
			switch {
			case IsGatewaySID(f.SID):
				flush()
				from = taken
				l.replied(f)
			case l.owner != nil:
				pass = l.owner.MessageReceived(l, f)
			}
		}
		if !pass {
			flush()
			from = taken + n
			l.handle(f)
		}
		taken += n
		if l.paused || l.Conn().Closed() {
			break
		}
	}
	flush()
	return taken
}

// handle takes a frame that is no message.
func (l *NodeConn) handle(f *codec.Frame) {
	switch f.Op {
	case codec.Ping:
		l.Conn().Send([]byte(codec.PongFrame))
	case codec.Pong:
		l.pong()
	case codec.Info:
		info, err := codec.ParseInfo(f.Body)
		if err != nil {
			l.finish(balancer.Errored)
			l.broken()
			return
		}
		l.informed(info)
	case codec.Err:
		l.said(f)
	}
}

func (l *NodeConn) informed(info codec.ServerInfo) {
	first := !l.info
	l.info = true
	if l.owner != nil {
		l.owner.InfoReceived(l, info)
	}
	if !first {
		if info.LameDuck && l.owner != nil {
			l.backend.events.Post(engine.ServerDraining{RequestID: l.attempt.RequestID})
		}
		return
	}
	if info.LameDuck { // it would turn the session away as soon as it is set up
		l.finish(balancer.Rejected)
		return
	}
	// All of it in one write: the PONG confirms what stands before the PING.
	var b []byte
	if l.owner != nil {
		b = l.owner.AppendHandshake(nil)
	} else {
		b = l.shared.opening
	}
	l.Conn().Send(b, []byte(codec.PingFrame))
	if l.owner != nil { // not one that is shared by requests
		l.backend.forwarded()
	}
	l.await(ping{then: l.stands})
}

// await notes what the next PING's answer is for.
func (l *NodeConn) await(p ping) {
	if len(l.pings) == 0 {
		l.RequestSent()
	}
	l.pings = append(l.pings, p)
}

// Ping asks the node; then is called at its answer, behind all that the node sent before it. nil: nothing is.
func (l *NodeConn) Ping(then func()) {
	l.Conn().Send([]byte(codec.PingFrame))
	l.await(ping{then: then})
}

// PingForClient is Ping on a client's behalf.
func (l *NodeConn) PingForClient(then func()) {
	l.Conn().Send([]byte(codec.PingFrame))
	l.await(ping{then, true})
}

// PendingClientPongs is how many of the PINGs that are out clients wait for.
func (l *NodeConn) PendingClientPongs() (n int) {
	for _, p := range l.pings {
		if p.client {
			n++
		}
	}
	return n
}

func (l *NodeConn) pong() {
	if len(l.pings) == 0 {
		return
	}
	then := l.pings[0].then
	l.pings = l.pings[1:]
	if len(l.pings) == 0 {
		l.ResponseReceived()
	} else {
		l.RequestRenewed() // it answers, if late
	}
	if then != nil {
		then()
	}
}

// stands is called when the opening is confirmed.
func (l *NodeConn) stands() {
	if !l.Transition(upstream.Pending, upstream.Established) {
		return
	}
	l.keepAsking()
	if l.owner == nil {
		l.shared.stands(l)
		return
	}
	l.backend.events.Post(engine.AttemptEstablished{RequestID: l.attempt.RequestID, Number: l.attempt.Number, Elapsed: l.Age()})
	l.owner.Established(l)
}

// hungAfter is when a shared leg's node is taken to hang.
const hungAfter = 4 * time.Second

// keepAsking has a PING out now and then, so that a node that hangs is found.
func (l *NodeConn) keepAsking() {
	l.pinger = l.hub.After(l.backend.options().PingInterval, func() {
		if len(l.pings) == 0 {
			l.Ping(nil)
		}
		if l.owner == nil && l.UnansweredFor() > hungAfter {
			l.broken() // the engine looks after those of sessions
			return
		}
		l.keepAsking()
	})
}

func (l *NodeConn) said(f *codec.Frame) {
	text := bytes.Trim(f.Body, "'")
	lower := strings.ToLower(string(text))
	switch {
	case strings.HasPrefix(lower, "permissions violation"), strings.HasPrefix(lower, "invalid subject"),
		strings.HasPrefix(lower, "invalid publish subject"):
		if l.owner != nil { // the node keeps the connection open
			l.owner.ErrReceived(l, f.Raw)
		}
	case strings.HasPrefix(lower, "authorization"), strings.HasPrefix(lower, "authentication"),
		strings.HasPrefix(lower, "user authentication"), strings.HasPrefix(lower, "account authentication"):
		if l.owner != nil {
			l.owner.AuthorizationFailed(l, text)
			return
		}
		l.finish(balancer.Errored)
		l.broken()
	case strings.HasPrefix(lower, "maximum connections"), strings.HasPrefix(lower, "server shutdown"):
		l.finish(balancer.Rejected)
		l.broken()
	default:
		l.finish(balancer.Errored)
		l.broken()
	}
}

// Pause leaves the leg unread behind the frame that is being handled; Resume reads on.
func (l *NodeConn) Pause() {
	l.paused = true
	l.Conn().Pause()
}

// Resume implements what Pause says.
func (l *NodeConn) Resume() {
	l.paused = false
	l.Conn().Resume()
}
