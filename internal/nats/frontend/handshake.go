package frontend

import (
	"encoding/json"
	"strconv"

	"example.org/milletvane/config/operator"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/nats/codec"
)

// Kinds of operator.KeySource whose key comes from the CONNECT options or from the subject of a request. For all other kinds
// the key is the session's own.
const (
	keyFromUser  = "user"
	keyFromName  = "name"
	keyFromToken = "token"
)

// handleConnect applies the first CONNECT of the client and requests a node. A later CONNECT is ignored, and the session stays
// at its node.
func (s *Session) handleConnect(body []byte) {
	if s.phase != awaitingConnect {
		return
	}
	var err error
	if s.options, s.connectMembers, err = codec.ParseConnect(body); err != nil {
		s.close(err.Error())
		return
	}
	if s.frontend.shuttingDown.Load() {
		s.close(errServerShutdown)
		return
	}
	if s.options.Verbose {
		s.send([]byte(codec.OKFrame))
	}
	s.phase = connecting
	s.key = s.connectOption(s.frontend.settings().Session.Key)
	if s.key == "" {
		s.key = s.frontend.id + strconv.FormatUint(s.id, 36)
	}
	s.requestNode(s.next, false)
}

// requestNode requests a node from the engine. reconnecting says whether the session was established at another node before.
func (s *Session) requestNode(n *nodeSession, reconnecting bool) {
	settings := s.frontend.settings().Session
	s.frontend.engine.Post(engine.RequestReceived{Client: n, Request: engine.Request{
		Class: settings.Class, Tenant: s.options.User, Key: s.key, Group: s.connectOption(settings.Group),
		Timeout: settings.Timeout, Reconnecting: reconnecting,
	}})
}

// connectOption returns the CONNECT option that a key source names, or "" if the source names none.
func (s *Session) connectOption(source operator.KeySource) string {
	switch source.Kind {
	case keyFromUser:
		return s.options.User
	case keyFromName:
		return s.options.Name
	default:
		return ""
	}
}

// appendConnect appends the client's CONNECT frame, with some options replaced by those that the gateway needs at a node.
func (s *Session) appendConnect(b []byte) []byte {
	s.connectMembers["verbose"] = json.RawMessage("false")
	s.connectMembers["headers"] = json.RawMessage("true")
	s.connectMembers["no_responders"] = json.RawMessage("true")
	s.connectMembers["tls_required"] = json.RawMessage("false")
	s.connectMembers["protocol"] = json.RawMessage("1")
	return codec.AppendJSON(b, "CONNECT", s.connectMembers)
}
