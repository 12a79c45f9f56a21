package operator

import (
	"net"
	"slices"
	"strconv"
	"time"

	"olympos.io/encoding/edn"
)

// NATS switches the NATS client protocol on.
type NATS struct {
	Listen             string        // IP:port, where clients connect
	NodePort           int           // at which nodes speak NATS; 0: at their listed address
	Cluster            bool          // the nodes pass messages on to each other
	MaxPayload         int           // bytes
	ControlLine        int           // bytes
	MaxSubscriptions   int           // a session
	MaxRequests        int           // in flight at once, a session
	MaxPending         int           // bytes that wait for one peer before its source is no longer read
	PingInterval       time.Duration // to nodes
	ClientPingInterval time.Duration // a client that answers none of two is closed
	MigrationTimeout   time.Duration // a session has another node by then, or is closed
	FlushTimeout       time.Duration // an old node has sent what it has queued by then
	MaxShared          int           // connections to nodes for requests that left their session's node
	Session            Session
	Requests           []RequestClass
}

// Session says what a client's CONNECT is to the balancer.
type Session struct {
	Class   string
	Key     KeySource
	Group   KeySource
	Timeout time.Duration // until a node has taken it
}

// RequestClass is a class of requests: PUB with a reply on a subject that the pattern matches. The first match counts.
type RequestClass struct {
	Subject string // a pattern
	Class   string
	Timeout time.Duration
	Key     KeySource
	Line    int // in the file
}

// KeySource says where a key comes from.
type KeySource struct {
	// Kind is user, name, client (each client its own), session (the session's key), token (of a subject) or "" (none).
	Kind  string
	Token int // of Kind token, from 0
}

const (
	sourceUser    = "user"
	sourceName    = "name"
	sourceClient  = "client"
	sourceSession = "session"
	sourceToken   = "token"

	maxTokens = 64 // of a subject
)

func readNATS(s *section, classes []string) *NATS {
	n := &NATS{
		Listen:             s.text("listen"),
		NodePort:           s.integer("node-port", 0, 1, 65535),
		Cluster:            s.boolean("cluster"),
		MaxPayload:         s.integer("max-payload", 1<<20, 1, 64<<20),
		ControlLine:        s.integer("control-line", 4096, 512, 1<<20),
		MaxSubscriptions:   s.integer("max-subscriptions", 1000, 1, 1_000_000),
		MaxRequests:        s.integer("max-requests", 1024, 1, 1_000_000),
		MaxPending:         s.integer("max-pending", 64<<10, 4096, 64<<20),
		PingInterval:       s.duration("ping-every", time.Second, 100*time.Millisecond, time.Minute),
		ClientPingInterval: s.duration("ping-clients", 30*time.Second, 50*time.Millisecond, time.Hour),
		MigrationTimeout:   s.duration("move-within", 5*time.Second, 100*time.Millisecond, time.Minute),
		FlushTimeout:       s.duration("flush-within", 2*time.Second, 10*time.Millisecond, time.Minute),
		MaxShared:          s.integer("max-shared", 64, 0, 10_000),
	}
	if n.Listen == "" {
		s.fail(s.line, "listen", "is missing")
	} else if !isListenAddress(n.Listen) {
		s.fail(s.line, "listen", "%q is not IP:port", n.Listen)
	}
	n.Session = readSession(s, classes)
	for _, form := range s.all("request") {
		n.Requests = append(n.Requests, readRequestClass(s, form, classes, n.Requests))
	}
	return n
}

// isListenAddress reports whether an address is IP:port; port 0 has the system choose one.
func isListenAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func readSession(s *section, classes []string) Session {
	session := Session{Key: KeySource{Kind: sourceClient}, Timeout: 2 * time.Second}
	given := s.subsection("session", func(in *section) {
		session.Class = in.class(classes)
		session.Key = in.keySource("key", session.Key, sourceUser, sourceName, sourceClient)
		session.Group = in.keySource("group", KeySource{}, sourceUser, sourceName)
		session.Timeout = in.duration("wait", session.Timeout, 10*time.Millisecond, time.Minute)
	})
	if !given && len(classes) > 0 {
		session.Class = classes[0]
	}
	return session
}

func readRequestClass(s *section, form expr, classes []string, earlier []RequestClass) RequestClass {
	in := openSection(s.errs, joinPath(s.path, "request"), form.line, form.list[1:])
	r := RequestClass{
		Subject: in.text("subject"),
		Class:   in.class(classes),
		Timeout: in.duration("deadline", time.Second, time.Millisecond, time.Hour),
		Key:     in.keySource("key", KeySource{Kind: sourceSession}, sourceSession, sourceUser, sourceToken),
		Line:    form.line,
	}
	if r.Subject == "" {
		in.fail(form.line, "subject", "is missing")
	}
	for _, other := range earlier {
		if other.Subject == r.Subject && r.Subject != "" {
			in.fail(form.line, "subject", "%q is given twice, first on line %d", r.Subject, other.Line)
		}
	}
	in.close()
	return r
}

// class is the class of a section; where none is named the first of the platform's settings.
func (s *section) class(classes []string) string {
	name := s.text("class")
	switch {
	case len(classes) == 0:
		return name
	case name == "":
		return classes[0]
	case !slices.Contains(classes, name):
		_, line := s.values("class")
		s.fail(line, "class", "%q is no class of the settings", name)
	}
	return name
}

// keySource reads a word that stands for a source, or (token N) where that is allowed.
func (s *section) keySource(key string, defaultSource KeySource, allowed ...string) KeySource {
	v, ok := s.value(key)
	if !ok {
		return defaultSource
	}
	if word, ok := v.atom.(edn.Symbol); ok && word != sourceToken && slices.Contains(allowed, string(word)) {
		return KeySource{Kind: string(word)}
	}
	if slices.Contains(allowed, sourceToken) && v.isForm(sourceToken) && len(v.list) == 2 {
		if n, ok := v.list[1].atom.(int64); ok && n >= 0 && n < maxTokens {
			return KeySource{Kind: sourceToken, Token: int(n)}
		}
	}
	s.fail(v.line, key, "%s is none of %v", v, allowed)
	return defaultSource
}
