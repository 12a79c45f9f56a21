package engine

import (
	"log/slog"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/metrics"
	"example.org/milletvane/internal/slotmap"
)

// ClientHandle ties a client to its slot. A front embeds it in its clients and leaves it alone.
type ClientHandle struct{ id slotmap.Handle }

// Client is the front's end of a connection. The engine calls it from its own goroutine; no method may
// wait for the peer. Refuse, Fail and Close are final: the client sends no Left after them. After Move it sends
// Left once it has been told.
type Client interface {
	Handle() *ClientHandle
	Reject(after time.Duration) // nothing was done; trying again is harmless
	Fail()                      // failed, with no promise, or never to be done
	Close()                     // ended, both sides, with no word but an answer to what may be on its way
	// Migrate says that an open connection is to leave its server: its client is sent away politely, or taken elsewhere
	// by its front. One that has not left after the time returned is closed; 0 is taken as a second.
	Migrate() time.Duration
}

// DrainObserver is a Client that its front can take to another server without the client's help. It is told as soon as its open
// connection's server drains or is gone.
type DrainObserver interface{ ServerDraining() }

// Attempt is one try of a request at a server.
type Attempt struct {
	RequestID      slotmap.Handle
	Number         int
	Server         balancer.ServerID
	Addr           string
	Client         Client
	Timeout        time.Duration // that the attempt is given
	ConnectTimeout time.Duration // a connection that comes up later carries nothing, and the attempt never ran; 0: no such bound
}

// ActiveAttempt is an attempt that has been started.
type ActiveAttempt interface {
	// Cancel gives up an attempt that is not up, before it returns. It returns false for one that is up,
	// or that has ended by itself: word of that is on its way.
	Cancel() bool
	// UnansweredFor is for how long the oldest line of the client has been without a line in return; 0: none is.
	UnansweredFor() time.Duration
}

// Backend starts attempts. Each reports Up at most once and Ended at most once, in this order, unless it
// was abandoned or its client left.
type Backend interface{ Send(Attempt) ActiveAttempt }

// Request is what a client asks for.
type Request struct {
	ID           string // the client's name for it; empty: none
	Class        string
	Tenant       string
	Key          string
	Group        string
	Timeout      time.Duration // that the client waits; 0: not stated
	Load         float64       // in microseconds of work a second; 0: unknown
	Reconnecting bool
	MidFlow      bool
	Owner        string // the server that holds the connection since before the run
}

// Server is an entry of the list, with the address at which this gateway reaches it.
type Server struct {
	Name string
	Addr string
	balancer.Server
}

// Event is what the engine is told.
type Event interface{ event() }

type (
	// ClientConnected brings a connection that has asked for nothing yet. Done, if there is one, is called once it has been taken
	// or turned away.
	ClientConnected struct {
		Client Client
		Done   func()
	}
	// ClientActive says that a connection without a request is in use, as by health checks.
	ClientActive struct{ Client Client }
	// RequestReceived brings an accepted connection's request.
	RequestReceived struct {
		Client  Client
		Request Request
	}
	// UnaryRequestReceived brings a request without a connection of its own: its final answer ends it. Ended with balancer.OK says that
	// its server has given that.
	UnaryRequestReceived struct {
		Client  Client
		Request Request
	}
	// ServerDraining says that the server of an open connection has told that it drains, ahead of the list.
	ServerDraining struct{ RequestID slotmap.Handle }
	// ClientDisconnected says that a client ended its connection.
	ClientDisconnected struct{ Client Client }
	// ProtocolViolated says that the front turned a client away for what it sent.
	ProtocolViolated struct{ Client Client }
	// AttemptEstablished says that a connection stands at its server.
	AttemptEstablished struct {
		RequestID slotmap.Handle
		Number    int
		Elapsed   time.Duration
	}
	// AttemptEnded is the end of an attempt, or of the connection that it set up.
	AttemptEnded struct {
		RequestID slotmap.Handle
		Number    int
		Result    balancer.Result
	}
	// ConnectionLoad tells the present load of an open connection.
	ConnectionLoad struct {
		RequestID slotmap.Handle
		Load      float64
	}
	// MessageAnswered tells how long an open connection's line took to be returned.
	MessageAnswered struct {
		RequestID slotmap.Handle
		Delay     time.Duration
	}
	// EndpointList brings news of the servers.
	EndpointList struct {
		Mode    balancer.ListMode
		Version int64 // as discovery numbers its lists; 0: it does not
		Servers []Server
	}
	// MaintenanceChanged takes a server out by hand, whatever the list says of it, or puts it back. Done is called once that holds.
	MaintenanceChanged struct {
		Name          string
		InMaintenance bool
		Done          func()
	}
	// FleetShedLevel tells what the fleet sheds, as balancer.FleetShedLevel.
	FleetShedLevel struct{ Level float64 }
	// Shutdown begins the end: what comes is still served, until AnswerBy has gone by where connections end with this
	// gateway, and else until Drain has.
	Shutdown struct{}
)

func (ClientConnected) event()      {}
func (ClientActive) event()         {}
func (RequestReceived) event()      {}
func (UnaryRequestReceived) event() {}
func (ServerDraining) event()       {}
func (ClientDisconnected) event()   {}
func (ProtocolViolated) event()     {}
func (AttemptEstablished) event()   {}
func (AttemptEnded) event()         {}
func (ConnectionLoad) event()       {}
func (MessageAnswered) event()      {}
func (EndpointList) event()         {}
func (MaintenanceChanged) event()   {}
func (FleetShedLevel) event()       {}
func (Shutdown) event()             {}

// Options are what an engine goes by.
type Options struct {
	MaxSockets                int                            // that clients and their servers may take: one for each side
	MaxIdleClients            int                            // of these, for clients that have asked for nothing; 0: all
	Classes                   []string                       // of requests; empty: any
	PriorityOf                func(class, tenant string) int // of requests, 0 the lowest; nil: all have 0
	PriorityCounters          *metrics.PriorityCounters      // what became of requests by rank; nil: nobody reads it
	RetryAfter                time.Duration                  // that a client is to stay away for want of sockets; 0: not stated
	DefaultTimeout            time.Duration                  // of a request that states none
	AnswerGrace               time.Duration                  // after a request's deadline an answer is still valid this long
	FlowRetention             time.Duration                  // servers keep a connection for so long whose packets have stopped
	ConnectionsOutliveGateway bool                           // open connections outlive this gateway: they are not moved when it stops
	ReportsMessageDelay       bool                           // the rules want word of slow messages
	MessageLatencyObjective   time.Duration                  // the shortest wanted time of a message; 0: none stated
	CanPollLoad               bool                           // servers may be asked for their load
	ReadyTimeout              time.Duration                  // from the start until it is ready without a list; 0: never
	AnswerTimeout             time.Duration                  // from Stop until all that waits is answered; 0: Drain
	DrainTimeout              time.Duration                  // from Stop to the end
	Metrics                   *metrics.Registry              // what is reported; nil: nobody reads it
	Logger                    *slog.Logger
	Trace                     bool // log each request's way, at level debug
}
