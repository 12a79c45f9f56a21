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

// request is a request of a session: a message that has a reply subject and whose subject belongs to a request class. The
// engine treats each request as a separate client.
type request struct {
	handle       engine.ClientHandle
	session      *Session
	subject      []byte
	replySubject []byte
	body         []byte
	headerSize   int
	deadline     time.Time
}

var _ backend.RequestClient = (*request)(nil)

// startRequest starts a request if the message in f is one, and otherwise returns false. A message is a request only if its
// reply subject matches a subscription of the same client, because the gateway could not deliver the reply otherwise.
func (s *Session) startRequest(f *codec.Frame) bool {
	if len(f.Reply) == 0 {
		return false
	}
	class := s.requestClass(f.Subject)
	if class == nil || s.subscriptions.Match(f.Reply) == nil {
		return false
	}
	r := newRequest(s, f, class.Timeout)
	if s.shuttingDown || len(s.requests) >= s.frontend.settings().MaxRequests {
		r.replyStatus(codec.StatusTooManyRequests, "Too Many Requests", 0)
		return true
	}
	if s.requests == nil {
		s.requests = map[*request]struct{}{}
	}
	s.requests[r] = struct{}{}
	s.frontend.engine.Post(engine.UnaryRequestReceived{Client: r, Request: engine.Request{
		Class: class.Class, Tenant: s.options.User, Key: s.requestKey(class.Key, f.Subject), Timeout: class.Timeout,
	}})
	return true
}

// newRequest returns a request for the message in f. It copies the message, because the frame is part of the connection's
// buffer.
func newRequest(s *Session, f *codec.Frame, timeout time.Duration) *request {
	subjectEnd := len(f.Subject)
	replyEnd := subjectEnd + len(f.Reply)
	buffer := make([]byte, 0, replyEnd+len(f.Body))
	buffer = append(append(append(buffer, f.Subject...), f.Reply...), f.Body...)
	return &request{
		session: s, subject: buffer[:subjectEnd:subjectEnd], replySubject: buffer[subjectEnd:replyEnd:replyEnd],
		body: buffer[replyEnd:], headerSize: f.HeaderSize, deadline: time.Now().Add(timeout),
	}
}

// requestClass returns the first request class whose pattern matches a subject, or nil if there is none.
func (s *Session) requestClass(subject []byte) *operator.RequestClass {
	classes := s.frontend.settings().Requests
	for i := range classes {
		if codec.MatchesSubject([]byte(classes[i].Subject), subject) {
			return &classes[i]
		}
	}
	return nil
}

// requestKey returns the affinity key of a request, which is the key of the session if source yields no key.
func (s *Session) requestKey(source operator.KeySource, subject []byte) string {
	key := ""
	switch source.Kind {
	case keyFromUser:
		key = s.options.User
	case keyFromToken:
		key = string(codec.Token(subject, source.Token))
	}
	if key == "" {
		return s.key
	}
	return key
}

// Handle implements engine.Client.
func (r *request) Handle() *engine.ClientHandle { return &r.handle }

// Conn implements backend.RequestClient.
func (r *request) Conn() *reactor.Conn { return r.session.conn }

// Reject implements engine.Client.
func (r *request) Reject(retryAfter time.Duration) {
	r.Conn().Post(func() { r.endWithStatus(codec.StatusTooManyRequests, "Refused", retryAfter) })
}

// Fail implements engine.Client.
func (r *request) Fail() {
	r.Conn().Post(func() { r.endWithStatus(codec.StatusServerError, "Failed", 0) })
}

// Close implements engine.Client. The engine closes only clients that sent no request in time or did not migrate in time,
// and neither happens to a request.
func (r *request) Close() { r.Fail() }

// Migrate implements engine.Client. A request is never established and therefore never migrates.
func (r *request) Migrate() time.Duration { return 0 }

// endWithStatus ends the request with a status reply of the gateway. The status is a timeout if the deadline has passed.
func (r *request) endWithStatus(code int, description string, retryAfter time.Duration) {
	if !r.end() {
		return
	}
	if !time.Now().Before(r.deadline) {
		code, description, retryAfter = codec.StatusTimeout, "Request Timeout", 0
	}
	r.replyStatus(code, description, retryAfter)
}

// end removes the request from its session. It returns false if the request was removed before, for example because the
// client disconnected.
func (r *request) end() bool {
	s := r.session
	if _, ok := s.requests[r]; !ok {
		return false
	}
	delete(s.requests, r)
	return true
}

// replyStatus sends a reply of the gateway that consists of headers with a status.
func (r *request) replyStatus(code int, description string, retryAfter time.Duration) {
	b := codec.AppendStatus(nil, code, description, retryAfter)
	r.deliverReply(nil, len(b), b)
}

// controlLineCapacity is an initial capacity in bytes that is enough for most control lines.
const controlLineCapacity = 128

// deliverReply sends a reply to the client if the client still has a subscription that matches the reply subject of the
// request. reply is the reply subject of the reply itself; empty means none.
func (r *request) deliverReply(reply []byte, headerSize int, body []byte) {
	s := r.session
	sub := s.subscriptions.Match(r.replySubject)
	if sub == nil || !s.subscriptions.Deliver([]byte(sub.SID)) {
		return
	}
	subscriptionEnded := sub.MaxMessages > 0 && sub.Delivered >= sub.MaxMessages
	if subscriptionEnded && s.current != nil { // the node has not counted this reply, because the gateway delivers it
		s.current.nodeConn.SendUnsubscribe([]byte(sub.SID))
	}
	if !s.options.Headers {
		headerSize, body = 0, withoutHeaders(headerSize, body)
	}
	head := codec.AppendMsg(make([]byte, 0, controlLineCapacity), r.replySubject, []byte(sub.SID), reply, headerSize, len(body))
	s.send(head, body, []byte("\r\n"))
}

// withoutHeaders returns the body for a client that does not support headers. This is the payload, or the headers if the
// payload is empty, so that the status of a reply is not lost.
func withoutHeaders(headerSize int, body []byte) []byte {
	if payload := body[headerSize:]; len(payload) > 0 {
		return payload
	}
	return body
}

// SessionConn implements backend.RequestClient.
func (r *request) SessionConn(server balancer.ServerID) *backend.NodeConn {
	n := r.session.current
	if n == nil || n.flushing || n.draining || !n.nodeConn.IsEstablished() || n.nodeConn.Server() != server {
		return nil
	}
	return n.nodeConn
}

// ConnectFrame implements backend.RequestClient. It returns a CONNECT frame of the gateway with the client's credentials.
func (r *request) ConnectFrame() []byte {
	s := r.session
	if s.sharedConnectFrame == nil {
		members := map[string]any{
			"verbose": false, "headers": true, "no_responders": true, "protocol": 1, "lang": "go", "version": "1",
			"name": s.frontend.name,
		}
		for _, name := range []string{"user", "pass", "auth_token"} {
			if v, ok := s.connectMembers[name]; ok {
				members[name] = v
			}
		}
		s.sharedConnectFrame = codec.AppendJSON(nil, "CONNECT", members)
	}
	return s.sharedConnectFrame
}

// Publication implements backend.RequestClient.
func (r *request) Publication() (subject, body []byte, headerSize int) {
	return r.subject, r.body, r.headerSize
}

// AttemptCancelled implements backend.RequestClient.
func (r *request) AttemptCancelled() { r.session.closePreviousIfIdle() }

// ReplyReceived implements backend.RequestClient.
func (r *request) ReplyReceived(f *codec.Frame) {
	if r.end() {
		r.deliverReply(f.Reply, f.HeaderSize, f.Body)
	}
	r.session.closePreviousIfIdle()
}
