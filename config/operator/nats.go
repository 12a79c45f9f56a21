package operator

import (
	"net"
	"slices"
	"strconv"
	"time"

	"olympos.io/encoding/edn"
)

// NATS holds the settings of the NATS client protocol. The protocol is enabled if the operator file has this section.
type NATS struct {
	Listen             string        // IP:port that clients connect to
	NodePort           int           // on which nodes speak NATS; zero means the port of their listed address
	NodesForward       bool          // whether the nodes forward messages to each other
	MaxPayload         int           // bytes
	ControlLine        int           // bytes
	MaxSubscriptions   int           // per session
	MaxRequests        int           // in flight at once, per session
	MaxPending         int           // bytes queued for one peer; above this limit, the connection that sends them is paused
	PingInterval       time.Duration // time between pings to a node
	ClientPingInterval time.Duration // time between pings to a client, which is disconnected if it answers neither of two pings
	MigrationTimeout   time.Duration // a session that takes longer to get another node is closed
	FlushTimeout       time.Duration // how long a session waits for its former node to send what that node has queued
	MaxSharedConns     int           // per event loop: connections for requests that go to another node than their session's
	Session            Session
	Requests           []RequestClass
}

// Session holds the class, key and group that the balancer sees for a client's CONNECT.
type Session struct {
	Class   string
	Key     KeySource
	Group   KeySource
	Timeout time.Duration // maximum time until a node has accepted the session
}

// RequestClass is a rule that assigns a class to requests. A request is a PUB with a reply subject. It matches the rule if the
// pattern matches its subject; the first rule that matches applies.
type RequestClass struct {
	Subject string // a pattern
	Class   string
	Timeout time.Duration
	Key     KeySource
	Line    int // line of the rule in the operator file
}

// KeySource says what a key is taken from.
type KeySource struct {
	// Kind is user, name, client (a key of its own for each client), session (the session's key), token (of the subject), or
	// empty for no key.
	Kind  string
	Token int // the index of the token in the subject, from 0; for Kind token
}

const (
	sourceUser    = "user"
	sourceName    = "name"
	sourceClient  = "client"
	sourceSession = "session"
	sourceToken   = "token"

	maxSubjectTokens = 64 // the index of a token must be below this number
)

// readNATS reads the section nats. Its classes must be among those given, unless none are given.
func readNATS(s *section, classes []string) *NATS {
	n := &NATS{
		Listen:             s.text("listen"),
		NodePort:           s.integer("node-port", 0, 1, 65535),
		NodesForward:       s.boolean("cluster"),
		MaxPayload:         s.integer("max-payload", 1<<20, 1, 64<<20),
		ControlLine:        s.integer("control-line", 4096, 512, 1<<20),
		MaxSubscriptions:   s.integer("max-subscriptions", 1000, 1, 1_000_000),
		MaxRequests:        s.integer("max-requests", 1024, 1, 1_000_000),
		MaxPending:         s.integer("max-pending", 64<<10, 4096, 64<<20),
		PingInterval:       s.duration("ping-every", time.Second, 100*time.Millisecond, time.Minute),
		ClientPingInterval: s.duration("ping-clients", 30*time.Second, 50*time.Millisecond, time.Hour),
		MigrationTimeout:   s.duration("move-within", 5*time.Second, 100*time.Millisecond, time.Minute),
		FlushTimeout:       s.duration("flush-within", 2*time.Second, 10*time.Millisecond, time.Minute),
		MaxSharedConns:     s.integer("max-shared", 64, 0, 10_000),
	}
	if n.Listen == "" {
		s.fail(s.line, "listen", "is missing")
	} else if !isListenAddress(n.Listen) {
		s.fail(s.line, "listen", "%q is not IP:port", n.Listen)
	}
	n.Session = readSession(s, classes)
	for _, form := range s.forms("request") {
		n.Requests = append(n.Requests, readRequestClass(s, form, classes, n.Requests))
	}
	return n
}

// isListenAddress reports whether an address is IP:port. The port may be 0: the system then chooses one.
func isListenAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// readSession reads the section session of nats, which may be absent.
func readSession(s *section, classes []string) Session {
	session := Session{Key: KeySource{Kind: sourceClient}, Timeout: 2 * time.Second}
	given := s.subsection("session", func(sub *section) {
		session.Class = sub.class(classes)
		session.Key = sub.keySource("key", session.Key, sourceUser, sourceName, sourceClient)
		session.Group = sub.keySource("group", KeySource{}, sourceUser, sourceName)
		session.Timeout = sub.duration("wait", session.Timeout, 10*time.Millisecond, time.Minute)
	})
	if !given && len(classes) > 0 {
		session.Class = classes[0]
	}
	return session
}

// readRequestClass reads one section request of nats. Its subject must differ from those of the earlier ones.
func readRequestClass(s *section, form expr, classes []string, earlier []RequestClass) RequestClass {
	sub := openSection(s.errs, joinPath(s.path, "request"), form.line, form.list[1:])
	r := RequestClass{
		Subject: sub.text("subject"),
		Class:   sub.class(classes),
		Timeout: sub.duration("deadline", time.Second, time.Millisecond, time.Hour),
		Key:     sub.keySource("key", KeySource{Kind: sourceSession}, sourceSession, sourceUser, sourceToken),
		Line:    form.line,
	}
	if r.Subject == "" {
		sub.fail(form.line, "subject", "is missing")
	}
	for _, other := range earlier {
		if other.Subject == r.Subject && r.Subject != "" {
			sub.fail(form.line, "subject", "%q is given twice, first on line %d", r.Subject, other.Line)
		}
	}
	sub.close()
	return r
}

// class returns the class that a section names. Defaults to the first class of the platform's settings.
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

// keySource reads a source: one of the allowed symbols, or (token N) if token is allowed.
func (s *section) keySource(key string, defaultSource KeySource, allowed ...string) KeySource {
	v, ok := s.value(key)
	if !ok {
		return defaultSource
	}
	if word, ok := v.atom.(edn.Symbol); ok && word != sourceToken && slices.Contains(allowed, string(word)) {
		return KeySource{Kind: string(word)}
	}
	if slices.Contains(allowed, sourceToken) && v.isForm(sourceToken) && len(v.list) == 2 {
		if n, ok := v.list[1].atom.(int64); ok && n >= 0 && n < maxSubjectTokens {
			return KeySource{Kind: sourceToken, Token: int(n)}
		}
	}
	s.fail(v.line, key, "%s is none of %v", v, allowed)
	return defaultSource
}
