package balancer

import (
	"log/slog"
	"strings"
	"time"
)

// ServerID names a server. It is the same at every gateway and survives a restart of the server's process.
type ServerID uint32

// RequestID names a request. It is never used twice.
type RequestID uint32

// Idempotency says what repeating a request of a class may do.
type Idempotency int

const (
	Idempotent         Idempotency = iota // may be repeated and refused freely
	WithIdempotencyKey                    // repeats are discarded within a scope of servers, for a time
	NonIdempotent                         // may be repeated or refused only when no attempt ran
)

// DedupScope is the set of servers that discard each other's repeats of a keyed request.
type DedupScope int

const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Class is one class of requests.
type Class struct {
	Name                    string
	Idempotency             Idempotency
	DedupScope              DedupScope    // for Keyed
	DedupWindow             time.Duration // for Keyed: how long repeats are recognised
	PriorityWeight          float64       // 0 is taken as 1
	SetupLatencyObjective   time.Duration // wanted set-up time; 0 is taken as a third of Deadline
	Timeout                 time.Duration // given up after this; 0 is taken from each request
	MessageLatencyObjective time.Duration // wanted time of a message; 0: none stated
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name            string
	ConnectionQuota float64 // open connections within its share, all gateways together; 0: no quota
}

// Settings are what a gateway is told once, at its start. Zero values have the stated meaning.
type Settings struct {
	Seed                  uint64 // this gateway's own; for jitter only, never for placement
	Gateways              int    // gateways that share the load; 0 is taken as 1
	Classes               []Class
	Tenants               []Tenant
	OverQuotaWeightFactor float64 // part of its worth that traffic over a tenant's quota keeps; 0: all
	MaxAttempts           int     // attempts for one request; 0 is taken as 1
	// how long a server keeps a connection whose packets stopped; 0: not at all
	FlowRetention time.Duration
	DrainGrace    time.Duration // sends to a draining or gone server must stop within this
	// a fresh server can do all it ever can after this; 0: servers start warm
	WarmupDuration       time.Duration
	ColdOverloadFactor   float64       // sent over this multiple of what it can do, a cold server falls over
	ColdOverloadDuration time.Duration // when it lasts this long; 0 is taken as a second
	RemovalIsAdvisory    bool          // a server called gone may still be sent to; only draining binds
	// over this, attempts beyond each request's first are rationed; 0: no rule
	RetryBudgetWindow time.Duration
	RetryBudgetMin    float64       // with BudgetSpan: so many are allowed in any case
	RetryBudgetRatio  float64       // with BudgetSpan: and so many for each request taken
	MaxRetryAfter     time.Duration // longest advice to stay away that a client follows; 0: none is given
	CanPollLoad       bool          // servers may be asked for their load with Ask
}

// ServerState is what the list says of a server.
type ServerState int

const (
	Ready    ServerState = iota
	Draining             // finishes its work; send nothing new
	Removed
)

// Server is one entry of the server list.
type Server struct {
	ID       ServerID      `json:"ID"`
	Zone     string        `json:"Zone"`
	Cell     int           `json:"Cell"`
	State    ServerState   `json:"State"`
	Capacity float64       `json:"Capacity"` // for comparison with other servers; 0 is taken as 1
	Started  time.Duration `json:"Started"`  // latest start on the event clock; 0: long ago
	Evacuate bool          `json:"Clear"`    // where it drains: its connections are to leave before it does
}

// ListMode says how a List is to be read.
type ListMode int

const (
	ListDelta    ListMode = iota // changed entries only
	ListComplete                 // the whole list
	ListCached                   // the whole list as last held before a restart; may be stale
)

// Event is what a gateway is told. The concrete types are those below.
type Event interface{ event() }

type (
	// EndpointList brings news of the servers.
	EndpointList struct {
		Mode    ListMode
		Servers []Server
	}

	// Request asks for one final answer within Deadline from now. Fields that a site lacks are zero.
	Request struct {
		ID           RequestID
		Class        string
		Tenant       string
		Key          string
		Group        string
		Timeout      time.Duration // left from now
		Load         float64       // usual load, in microseconds of work a second; 0: unknown
		Reconnecting bool          // its client had a connection that broke or was moved
		MidFlow      bool          // packets of a connection that some server already holds
		OwnerKnown   bool          // and that server is known:
		Owner        ServerID
		Priority     int // of its tier: what is shed first has 0
	}

	// AdoptedConnection is a connection that already ran through this gateway when it started.
	AdoptedConnection struct {
		Request
		Server ServerID
	}

	// AttemptEstablished says that an attempt's connection stands; deadline and time-out no longer run.
	AttemptEstablished struct {
		ID      RequestID
		Attempt int
		Server  ServerID
		Elapsed time.Duration
	}

	// LoadChanged tells the present load of an open connection, in microseconds of work a second.
	LoadChanged struct {
		ID   RequestID
		Load float64
	}

	// MessageDelay tells how long a message takes at a server now.
	MessageDelay struct {
		ID     RequestID
		Server ServerID
		Delay  time.Duration
	}

	// LoadReport brings a server's word of the load asked of it by all, as a part of what it can do.
	LoadReport struct {
		Server      ServerID
		Utilization float64
		Connections float64 // connections there, of all gateways; 0: not told
	}

	// FleetShedLevel tells what the fleet sheds: requests of ranks under the whole part of Level, and of the
	// rank at it the part behind the point. 0 sheds nothing.
	FleetShedLevel struct{ Level float64 }

	// AttemptEnded ends an attempt. Each Send gets exactly one.
	AttemptEnded struct {
		ID       RequestID
		Attempt  int
		Server   ServerID
		Result   Result
		Elapsed  time.Duration
		Answered bool // the client has its final answer
	}

	// ClientDisconnected says that the client is gone; no answer is owed.
	ClientDisconnected struct{ ID RequestID }

	// ServerReinstated says that a server that was out by hand may serve again: what was held against
	// it is void.
	ServerReinstated struct{ Server ServerID }

	// Shutdown says that the program ends: each request that waits has to have its final answer by then.
	Shutdown struct{ Deadline time.Duration }

	// TimerFired answers a Wake.
	TimerFired struct{ Ref int64 }
)

func (EndpointList) event()       {}
func (Request) event()            {}
func (AdoptedConnection) event()  {}
func (AttemptEstablished) event() {}
func (LoadChanged) event()        {}
func (MessageDelay) event()       {}
func (LoadReport) event()         {}
func (FleetShedLevel) event()     {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (ServerReinstated) event()   {}
func (Shutdown) event()           {}
func (TimerFired) event()         {}

// Result is how an attempt ended.
type Result int

const (
	OK            Result = iota
	Errored              // an error answer
	Rejected             // turned away unseen
	TimedOut             // no answer in time
	ConnectFailed        // no connection in time
	Reset                // broken while it was out
	Cancelled            // cancelled, or the client left
	NotSent              // never sent
)

// String names a result.
func (r Result) String() string {
	names := [...]string{"ok", "errored", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Action is what a gateway is to do. The concrete types are those below.
type Action interface{ action() }

type (
	// Send starts the request's next attempt. Timeout 0 means until the client gives up. A connection that
	// comes up later than Begin carries nothing: by then the server may drain, or the time to repeat be over.
	Send struct {
		ID                      RequestID
		Server                  ServerID
		Timeout, ConnectTimeout time.Duration // Begin 0: at any time
	}

	// Reject is a final answer: not done, and a retry is harmless.
	Reject struct {
		ID          RequestID
		RetryAfter  time.Duration
		ShedByFleet bool // by what the fleet sheds, not for want of room here
	}

	// Fail is a final answer that promises nothing.
	Fail struct{ ID RequestID }

	// Migrate ends an open connection politely; its client comes again as a new request.
	Migrate struct{ ID RequestID }

	// PollLoad asks a server for its load; a LoadReport answers it, or nothing.
	PollLoad struct{ Server ServerID }

	// SetTimer asks for a Timer after the given time.
	SetTimer struct {
		After time.Duration
		Ref   int64
	}

	// Log adds a line to the gateway's log.
	Log struct {
		Message string // a constant
		Attrs   []slog.Attr
	}
)

func (Send) action()     {}
func (Reject) action()   {}
func (Fail) action()     {}
func (Migrate) action()  {}
func (PollLoad) action() {}
func (SetTimer) action() {}
func (Log) action()      {}

// String returns the line as text: the message, then key=value for each attribute.
func (l Log) String() string {
	var text strings.Builder
	text.WriteString(l.Message)
	for _, a := range l.Attrs {
		text.WriteString(" " + a.String())
	}
	return text.String()
}
