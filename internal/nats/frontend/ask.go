package frontend

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/backend"
	"example.org/milletvane/internal/nats/codec"
	"example.org/milletvane/internal/reactor"
)

// ask is a request of a session's: a message with a reply subject on a subject of a class. The engine holds it as a client
// of its own.
type ask struct {
	ticket  engine.ClientHandle
	session *Session
	subject []byte
	reply   []byte
	body    []byte
	headers int
	until   time.Time
}

var _ backend.RequestClient = (*ask)(nil)

// asked takes a message for a request; it returns false where it is a plain one. Only a request whose reply reaches the
// client itself can be followed.
func (s *Session) asked(f *codec.Frame) bool {
	if len(f.Reply) == 0 {
		return false
	}
	r := s.request(f.Subject)
	if r == nil || s.subs.Match(f.Reply) == nil {
		return false
	}
	n := len(f.Subject) + len(f.Reply)
	copied := make([]byte, 0, n+len(f.Body))
	copied = append(append(append(copied, f.Subject...), f.Reply...), f.Body...)
	a := &ask{session: s, subject: copied[:len(f.Subject):len(f.Subject)], reply: copied[len(f.Subject):n:n], body: copied[n:],
		headers: f.HeaderSize, until: time.Now().Add(r.Timeout)}
	if s.leaving || len(s.asks) >= s.front.settings().MaxRequests {
		a.status(codec.StatusTooManyRequests, "Too Many Requests", 0)
		return true
	}
	if s.asks == nil {
		s.asks = map[*ask]struct{}{}
	}
	s.asks[a] = struct{}{}
	key := s.key
	switch r.Key.Kind {
	case "user":
		key = s.options.User
	case "token":
		key = string(codec.Token(f.Subject, r.Key.Token))
	}
	if key == "" {
		key = s.key
	}
	s.front.engine.Post(engine.UnaryRequestReceived{Client: a, Request: engine.Request{
		Class: r.Class, Tenant: s.options.User, Key: key, Timeout: r.Timeout,
	}})
	return true
}

// request is the class of requests on a subject; nil: it has none.
func (s *Session) request(subject []byte) *operator.RequestClass {
	for i := range s.front.settings().Requests {
		if r := &s.front.settings().Requests[i]; codec.MatchesSubject([]byte(r.Subject), subject) {
			return r
		}
	}
	return nil
}

// Handle implements engine.Client.
func (a *ask) Handle() *engine.ClientHandle { return &a.ticket }

// Conn implements backend.RequestClient.
func (a *ask) Conn() *reactor.Conn { return a.session.conn }

// Reject implements engine.Client.
func (a *ask) Reject(after time.Duration) {
	a.Conn().Do(func() { a.final(codec.StatusTooManyRequests, "Refused", after) })
}

// Fail implements engine.Client.
func (a *ask) Fail() { a.Conn().Do(func() { a.final(codec.StatusServerError, "Failed", 0) }) }

// Close implements engine.Client. The engine closes only what asked for nothing or was not moved, which a request never is.
func (a *ask) Close() { a.Fail() }

// Migrate implements engine.Client. A request is never open in the engine's sense.
func (a *ask) Migrate() time.Duration { return 0 }

// final gives the request an answer of the gateway's making.
func (a *ask) final(code int, words string, after time.Duration) {
	if !a.finish() {
		return
	}
	if !time.Now().Before(a.until) {
		code, words, after = codec.StatusTimeout, "Request Timeout", 0
	}
	a.status(code, words, after)
}

// finish takes the request off its session; it returns false where it was already, or the client is gone.
func (a *ask) finish() bool {
	s := a.session
	if _, there := s.asks[a]; !there {
		return false
	}
	delete(s.asks, a)
	return true
}

// status writes an answer of the gateway's making. A client that reads no headers gets them as the payload.
func (a *ask) status(code int, words string, after time.Duration) {
	b := codec.AppendStatus(nil, code, words, after)
	a.deliver(nil, len(b), b)
}

func (a *ask) deliver(reply []byte, headers int, body []byte) {
	s := a.session
	sub := s.subs.Match(a.reply)
	if sub == nil || !s.subs.Deliver([]byte(sub.SID)) {
		return // the client wants it no more
	}
	if sub.MaxMessages > 0 && sub.Delivered >= sub.MaxMessages && s.cur != nil { // the node did not see this one
		s.cur.leg.Conn().Send(codec.AppendUnsub(nil, []byte(sub.SID), 0))
	}
	if !s.options.Headers && headers > 0 {
		if rest := body[headers:]; len(rest) > 0 {
			body = rest // the answer is a node's: its headers are nothing to such a client
		}
		headers = 0
	}
	s.conn.Send(codec.AppendMsg(make([]byte, 0, 128), a.reply, []byte(sub.SID), reply, headers, len(body)), body, []byte("\r\n"))
}

// SessionConn implements backend.RequestClient.
func (a *ask) SessionConn(server balancer.ServerID) *backend.NodeConn {
	p := a.session.cur
	if p == nil || p.handing || p.quits || !p.leg.IsEstablished() || p.leg.Server() != server {
		return nil
	}
	return p.leg
}

// ConnectFrame implements backend.RequestClient.
func (a *ask) ConnectFrame() []byte {
	s := a.session
	if s.identity == nil {
		who := map[string]any{"verbose": false, "headers": true, "no_responders": true, "protocol": 1, "lang": "go",
			"version": "1", "name": s.front.name}
		for _, key := range []string{"user", "pass", "auth_token"} {
			if v, ok := s.connect[key]; ok {
				who[key] = v
			}
		}
		s.identity = codec.AppendJSON(nil, "CONNECT", who)
	}
	return s.identity
}

// Publication implements backend.RequestClient.
func (a *ask) Publication() (subject, body []byte, headers int) { return a.subject, a.body, a.headers }

// AttemptCancelled implements backend.RequestClient.
func (a *ask) AttemptCancelled() { a.session.settle() }

// ReplyReceived implements backend.RequestClient.
func (a *ask) ReplyReceived(f *codec.Frame) {
	if a.finish() {
		a.deliver(f.Reply, f.HeaderSize, f.Body)
	}
	a.session.settle()
}
