package balancer

import "time"

// ServerID identifies a server. It is the same at every gateway and survives a restart of the server's
// process.
type ServerID uint32

// RequestID identifies a request. It is never used twice.
type RequestID uint32

// ServerState is the state of a server in the endpoint list.
type ServerState int

// The states of a server.
const (
	Ready    ServerState = iota
	Draining             // finishes its work; nothing new is to be sent
	Removed
)

// Server is one entry of the endpoint list.
type Server struct {
	ID       ServerID      `json:"ID"`
	Zone     string        `json:"Zone"`
	Cell     int           `json:"Cell"`
	State    ServerState   `json:"State"`
	Capacity float64       `json:"Capacity"` // relative to other servers; 0 is taken as 1
	Started  time.Duration `json:"Started"`  // latest start of its process on the event clock; 0: long ago
	Evacuate bool          `json:"Clear"`    // if it drains: its connections are to migrate before it stops
}

// ListMode states how an EndpointList is to be read.
type ListMode int

// The modes of an EndpointList.
const (
	ListDelta    ListMode = iota // changed entries only
	ListComplete                 // the whole list
	ListCached                   // the whole list as cached before a restart; may be stale
)

// Event is an input of a Balancer. The concrete types are those below.
type Event interface{ event() }

type (
	// EndpointList brings the servers, or changes of them.
	EndpointList struct {
		Mode    ListMode
		Servers []Server
	}

	// Request asks for one final answer within its Timeout. Fields that a deployment lacks are zero.
	Request struct {
		ID           RequestID
		Class        string
		Tenant       string
		Key          string        // of the client
		Group        string        // of clients that are best kept on one server
		Timeout      time.Duration // left from now
		Load         float64       // usual load, in microseconds of work a second; 0: unknown
		Reconnecting bool          // its client had a connection that broke or was migrated
		MidFlow      bool          // packets of a connection that some server already holds
		OwnerKnown   bool          // for MidFlow: that server is known,
		Owner        ServerID      // it is this one
		Priority     int           // requests of priority 0 are shed first
	}

	// AdoptedConnection is a connection that ran through this gateway before the Balancer was started.
	AdoptedConnection struct {
		Request
		Server ServerID
	}

	// AttemptEstablished reports that an attempt's connection is established; its time-outs no longer run.
	AttemptEstablished struct {
		ID      RequestID
		Attempt int // 0 is the first
		Server  ServerID
		Elapsed time.Duration
	}

	// LoadChanged reports the present load of an open connection, in microseconds of work a second.
	LoadChanged struct {
		ID   RequestID
		Load float64
	}

	// MessageDelay reports how long a message takes at a server now.
	MessageDelay struct {
		ID     RequestID
		Server ServerID
		Delay  time.Duration
	}

	// LoadReport is a server's report of the load by all gateways.
	LoadReport struct {
		Server      ServerID
		Utilization float64 // part of its capacity that is in use; above 1 it is overloaded
		Connections float64 // there, of all gateways; 0: not reported
	}

	// FleetShedLevel sets what the fleet sheds: requests of priorities under the whole part of Level, and its
	// fraction of the requests of the next priority. 0 sheds nothing.
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

	// ClientDisconnected reports that the client has gone; it is owed no answer.
	ClientDisconnected struct{ ID RequestID }

	// ServerReinstated reports that staff put a server back into service: its failures so far no longer
	// count.
	ServerReinstated struct{ Server ServerID }

	// Shutdown announces the end of the program: each waiting request needs its final answer by the Deadline.
	Shutdown struct{ Deadline time.Duration } // on the event clock

	// TimerFired answers a SetTimer.
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

// The results of attempts.
const (
	OK            Result = iota
	Errored              // an error answer
	Rejected             // rejected unprocessed
	TimedOut             // no answer in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // cancelled, or the client disconnected
	NotSent              // never sent
)

// String returns the name of a result, or "unknown".
func (r Result) String() string {
	names := [...]string{
		"ok", "errored", "rejected", "timed out", "connect failed", "reset", "cancelled", "not sent",
	}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }
