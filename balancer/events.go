package balancer

import "time"

// ServerID identifies a server. It is the same at every gateway and stays the same when the server's process
// restarts.
type ServerID uint32

// RequestID identifies a request. An ID is never reused.
type RequestID uint32

// ServerState is the state of a server in the endpoint list.
type ServerState int

// The states of a server.
const (
	Ready    ServerState = iota
	Draining             // finishes its work and is sent nothing new
	Removed              // is not part of the fleet any more
)

// Server is one entry of the endpoint list.
type Server struct {
	ID       ServerID      `json:"ID"`
	Zone     string        `json:"Zone"`
	Cell     int           `json:"Cell"`
	State    ServerState   `json:"State"`
	Capacity float64       `json:"Capacity"` // relative to other servers; defaults to 1
	Started  time.Duration `json:"Started"`  // latest process start on the event clock; zero means long ago
	Evacuate bool          `json:"Clear"`    // while it drains, its connections are migrated before it stops
}

// ListMode states how an EndpointList is to be interpreted.
type ListMode int

// The modes of an EndpointList.
const (
	ListDelta    ListMode = iota // the changed entries only
	ListComplete                 // the complete list; servers that it leaves out count as removed
	ListCached                   // the complete list as cached before a restart; it may be stale
)

// Event is an input of a Balancer. The concrete types are those below.
type Event interface{ event() }

type (
	// EndpointList holds the servers of the fleet, or those that have changed.
	EndpointList struct {
		Mode    ListMode
		Servers []Server
	}

	// Request is a client's request, which gets one final answer within its Timeout. Fields that a deployment
	// does not know are zero.
	Request struct {
		ID           RequestID
		Class        string
		Tenant       string
		Key          string        // identifies the client
		Group        string        // group of clients that are best kept on the same server
		Timeout      time.Duration // time left until the client gives up
		Load         float64       // usual load, in microseconds of work per second; zero means unknown
		Reconnecting bool          // the client had a connection that broke or was migrated
		MidFlow      bool          // the request carries packets of a connection that a server already holds
		OwnerKnown   bool          // for MidFlow: the server that holds the connection is known
		Owner        ServerID      // if OwnerKnown: that server
		Priority     int           // requests of priority 0 are shed first
	}

	// AdoptedConnection reports a connection that was open at this gateway before the Balancer was started.
	AdoptedConnection struct {
		Request
		Server ServerID
	}

	// AttemptEstablished reports that an attempt's connection is established. The timeouts of the attempt no
	// longer apply.
	AttemptEstablished struct {
		ID      RequestID
		Attempt int // counts from 0
		Server  ServerID
		Elapsed time.Duration
	}

	// LoadChanged reports the current load of an open connection, in microseconds of work per second.
	LoadChanged struct {
		ID   RequestID
		Load float64
	}

	// MessageDelay reports how long a server currently takes for a message.
	MessageDelay struct {
		ID     RequestID
		Server ServerID
		Delay  time.Duration
	}

	// LoadReport is a server's report of its load from all gateways together.
	LoadReport struct {
		Server      ServerID
		Utilization float64 // fraction of its capacity that is in use; above 1 the server is overloaded
		Connections float64 // connections from all gateways; zero means not reported
	}

	// FleetShedLevel sets which requests the fleet sheds. It sheds all requests whose priority is below the
	// integer part of Level. Of the requests whose priority equals the integer part, it sheds those of a
	// share of the clients; the fractional part of Level is this share. Mid-flow requests are never shed.
	// Zero sheds nothing.
	FleetShedLevel struct{ Level float64 }

	// AttemptEnded reports the end of an attempt. Exactly one follows each Send.
	AttemptEnded struct {
		ID       RequestID
		Attempt  int
		Server   ServerID
		Result   Result
		Elapsed  time.Duration
		Answered bool // the client has received its final answer
	}

	// ClientDisconnected reports that the client has disconnected and needs no answer.
	ClientDisconnected struct{ ID RequestID }

	// ServerReinstated reports that an operator has put a server back into service. Its earlier failures no
	// longer count.
	ServerReinstated struct{ Server ServerID }

	// Shutdown announces that the process stops. Each waiting request needs its final answer by the Deadline,
	// which is on the event clock.
	Shutdown struct{ Deadline time.Duration }

	// TimerFired reports that the timer of a SetTimer with the same Ref has fired.
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

// Result states how an attempt ended.
type Result int

// The results of attempts.
const (
	OK            Result = iota
	Errored              // the server answered with an error
	Rejected             // the server rejected the request without processing it
	TimedOut             // the server did not answer in time
	ConnectFailed        // no connection was established in time
	Reset                // the connection broke
	Cancelled            // the attempt was cancelled, or the client disconnected
	NotSent              // the request was never sent
)

// String returns the name of the result, or "unknown" if the value is not defined.
func (r Result) String() string {
	names := [...]string{
		"ok", "errored", "rejected", "timed out", "connect failed", "reset", "cancelled", "not sent",
	}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// NeverRan reports whether the result proves that the server did not process the attempt.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }
