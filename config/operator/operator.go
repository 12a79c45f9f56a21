// Package operator reads operator files: our own settings, as S-expressions. The platform's settings stay JSON, and no
// operator file leaves the program as it is without. Reading is strict, and all faults of a file are told in one go.
package operator

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"olympos.io/encoding/edn"
)

// EnvFile names the operator file, where the command line does not.
const EnvFile = "MILLETVANE_OPERATOR"

// Settings are what an operator file holds. A nil part is off.
type Settings struct {
	NATS      *NATS
	Placement *Placement
	Plan      *PlanSettings
	Cluster   *Cluster
}

// PlanSettings has a gateway go by a plan file.
type PlanSettings struct {
	File string
	Zone string // of this gateway
	Plan *Plan
}

// NATS switches the NATS client protocol on.
type NATS struct {
	Listen             string        // where clients connect
	NodePort           int           // at which nodes speak NATS; 0: at their listed address
	Cluster            bool          // the nodes pass messages on to each other
	MaxPayload         int           // bytes
	ControlLine        int           // bytes
	MaxSubscriptions   int           // a session
	MaxRequests        int           // out at once, a session
	MaxPending         int           // bytes that wait for one peer before its source is left unread
	PingInterval       time.Duration // to nodes
	ClientPingInterval time.Duration // a client that answers none of two is closed
	MigrationTimeout   time.Duration // a session has another node by then, or is closed
	FlushTimeout       time.Duration // an old node has handed over what it has queued by then
	MaxShared          int           // connections to nodes for requests that left their session's node
	Session            Session
	Requests           []RequestClass
}

// Session says what a client's CONNECT is to the rules.
type Session struct {
	Class   string
	Key     KeySource
	Group   KeySource
	Timeout time.Duration // for a node
}

// RequestClass is a class of requests: PUB with a reply on a subject that the pattern takes in. The first that fits counts.
type RequestClass struct {
	Subject string
	Class   string
	Timeout time.Duration
	Key     KeySource
	Line    int // in the file
}

// KeySource says where a key comes from: user, name, client (each its own), session (the session's key), or the token of a
// subject.
type KeySource struct {
	Kind  string
	Token int // of What "token", from 0
}

// Load reads a file. The classes are those that the platform's settings name; empty: any may be named. An error joins all
// Faults.
func Load(file string, classes []string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, err := Parse(file, text, classes)
	if err == nil && s.Cluster != nil {
		err = s.Cluster.loadKey(file)
	}
	if err != nil {
		return nil, err
	}
	if s.Plan == nil {
		return s, err
	}
	// The plan is part of the settings: one that can't be read leaves the whole of them.
	at := s.Plan.File
	if !filepath.IsAbs(at) {
		at = filepath.Join(filepath.Dir(file), at)
	}
	if text, err = os.ReadFile(at); err != nil {
		return nil, fmt.Errorf("%s: plan.file: %w", file, err)
	}
	s.Plan.Plan, err = ParsePlan(at, text)
	return s, err
}

// Parse is Load for a text.
func Parse(file string, text []byte, classes []string) (*Settings, error) {
	forms, err := read(file, text)
	if err != nil {
		return nil, err
	}
	var faults []FileError
	top := &section{file: file, faults: &faults}
	top.open(forms)
	s := &Settings{}
	if vals, line := top.values("nats"); line > 0 {
		in := &section{file: file, path: "nats", line: line, faults: &faults}
		in.open(vals, "request")
		s.NATS = readNATS(in, classes)
		in.close()
	}
	if vals, line := top.values("placement"); line > 0 {
		in := &section{file: file, path: "placement", line: line, faults: &faults}
		in.open(vals, "capacity", "demand", "crossing", "constraint", "batch")
		s.Placement = readPlacement(in)
		in.close()
	}
	if vals, line := top.values("plan"); line > 0 {
		in := &section{file: file, path: "plan", line: line, faults: &faults}
		in.open(vals)
		s.Plan = &PlanSettings{File: in.text("file", ""), Zone: in.text("zone", "")}
		if s.Plan.File == "" {
			in.fault(line, "file", "is missing")
		}
		in.close()
	}
	if vals, line := top.values("cluster"); line > 0 {
		in := &section{file: file, path: "cluster", line: line, faults: &faults}
		in.open(vals, "member", "tier")
		s.Cluster = readCluster(in, classes)
		in.close()
	}
	top.close()
	if len(faults) == 0 {
		return s, nil
	}
	slices.SortStableFunc(faults, func(a, b FileError) int { return a.Line - b.Line })
	errs := make([]error, len(faults))
	for i, f := range faults {
		errs[i] = f
	}
	return nil, errors.Join(errs...)
}

func readNATS(s *section, classes []string) *NATS {
	n := &NATS{
		Listen:             s.text("listen", ""),
		NodePort:           s.integer("node-port", 0, 1, 65535),
		Cluster:            s.boolean("cluster", false),
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
		Session:            Session{Class: "", Key: KeySource{Kind: "client"}, Timeout: 2 * time.Second},
	}
	if n.Listen == "" {
		s.fault(s.line, "listen", "is missing")
	} else if host, port, err := net.SplitHostPort(n.Listen); err != nil || net.ParseIP(host) == nil {
		s.fault(s.line, "listen", "%q is not IP:port", n.Listen)
	} else if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		s.fault(s.line, "listen", "%q is not IP:port", n.Listen)
	}
	if vals, line := s.values("session"); line > 0 {
		in := &section{file: s.file, path: s.path + ".session", line: line, faults: s.faults}
		in.open(vals)
		n.Session.Class = in.class(classes)
		n.Session.Key = in.from("key", n.Session.Key, "user", "name", "client")
		n.Session.Group = in.from("group", KeySource{}, "user", "name")
		n.Session.Timeout = in.duration("wait", n.Session.Timeout, 10*time.Millisecond, time.Minute)
		in.close()
	} else if len(classes) > 0 {
		n.Session.Class = classes[0]
	}
	s.used["request"] = true
	for _, f := range s.keys["request"] {
		in := &section{file: s.file, path: s.path + ".request", line: f.line, faults: s.faults}
		in.open(f.list[1:])
		r := RequestClass{Subject: in.text("subject", ""), Class: in.class(classes), Line: f.line,
			Timeout: in.duration("deadline", time.Second, time.Millisecond, time.Hour),
			Key:     in.from("key", KeySource{Kind: "session"}, "session", "user", "token")}
		if r.Subject == "" {
			in.fault(f.line, "subject", "is missing")
		}
		for _, other := range n.Requests {
			if other.Subject == r.Subject && r.Subject != "" {
				in.fault(f.line, "subject", "%q is given twice, first on line %d", r.Subject, other.Line)
			}
		}
		in.close()
		n.Requests = append(n.Requests, r)
	}
	return n
}

func (s *section) class(classes []string) string {
	name := s.text("class", "")
	switch {
	case name == "" && len(classes) > 0:
		return classes[0]
	case name != "" && len(classes) > 0 && !slices.Contains(classes, name):
		_, line := s.values("class")
		s.fault(line, "class", "%q is no class of the settings", name)
	}
	return name
}

// from reads a word, or (token N) where that is allowed.
func (s *section) from(key string, otherwise KeySource, words ...string) KeySource {
	v, ok := s.one(key)
	if !ok {
		return otherwise
	}
	if w, ok := v.atom.(edn.Symbol); ok && w != "token" && slices.Contains(words, string(w)) {
		return KeySource{Kind: string(w)}
	}
	if slices.Contains(words, "token") && v.isList() && len(v.list) == 2 && v.list[0].atom == edn.Symbol("token") {
		if n, ok := v.list[1].atom.(int64); ok && n >= 0 && n < 64 {
			return KeySource{Kind: "token", Token: int(n)}
		}
	}
	s.fault(v.line, key, "%s is none of %v", v, words)
	return otherwise
}
