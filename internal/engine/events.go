package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// Event is something that happened to a gateway. The concrete types are those below.
type Event interface{ event() }

// Events of clients.
type (
	// ClientConnected brings a connection that has not sent a request yet. Done, which may be nil, is called once the
	// connection has been admitted or rejected.
	ClientConnected struct {
		Client Client
		Done   func()
	}
	// ClientActive says that a connection without a request is in use, for example by health checks of the platform.
	ClientActive struct{ Client Client }
	// ClientDisconnected says that a client ended its connection.
	ClientDisconnected struct{ Client Client }
	// ProtocolViolated says that the frontend ended a client's connection for what it sent.
	ProtocolViolated struct{ Client Client }
	// RequestReceived brings the request of a client that connected before.
	RequestReceived struct {
		Client  Client
		Request Request
	}
	// UnaryRequestReceived brings a request that comes without a connection of its own: its final answer ends it.
	// AttemptEnded with balancer.OK says that its server has given that answer.
	UnaryRequestReceived struct {
		Client  Client
		Request Request
	}
)

// Events of attempts and of the connections that they established. A stale RequestID or Number is ignored.
type (
	// AttemptEstablished says that an attempt's connection is established.
	AttemptEstablished struct {
		RequestID slotmap.Handle
		Number    int
		Elapsed   time.Duration // since the attempt was sent
	}
	// AttemptEnded is the end of an attempt, or of the connection that it established.
	AttemptEnded struct {
		RequestID slotmap.Handle
		Number    int
		Result    balancer.Result
	}
	// ConnectionLoad reports the present load of an established connection, in microseconds of work a second.
	ConnectionLoad struct {
		RequestID slotmap.Handle
		Load      float64
	}
	// MessageAnswered reports how long a message on an established connection took to be answered.
	MessageAnswered struct {
		RequestID slotmap.Handle
		Delay     time.Duration
	}
	// ServerDraining says that the server of an attempt has announced that it drains, which the endpoint list may not say
	// yet.
	ServerDraining struct {
		RequestID slotmap.Handle
		Number    int
	}
)

// Events of servers.
type (
	// EndpointList brings the servers that discovery lists, or changes of them.
	EndpointList struct {
		Mode    balancer.ListMode
		Version int64 // as discovery numbers its lists; 0: it does not
		Servers []Server
	}
	// LoadReported brings a server's answer to LoadPoller.PollLoad.
	LoadReported struct {
		Server balancer.ServerID
		Report LoadReport
	}
	// MaintenanceChanged puts a server into maintenance mode, whatever the endpoint list says of it, or ends that.
	// Done, which may be nil, is called once the change is in effect.
	MaintenanceChanged struct {
		Name          string
		InMaintenance bool
		Done          func()
	}
)

// Events of the fleet and of the process.
type (
	// FleetShedLevel is what the fleet sheds, as balancer.FleetShedLevel.
	FleetShedLevel struct{ Level float64 }
	// StateRequested asks for the state that the next process of the gateway is to take over.
	StateRequested struct{ Deliver func(State) }
	// PredecessorState brings the state of the predecessor process. The first one also brings what its balancer has
	// learned; later ones repeat its open connections as they are then.
	PredecessorState struct {
		State State
		First bool
	}
	// Shutdown begins a graceful shutdown. New requests are still served: until Options.AnswerTimeout has passed where
	// connections end with this gateway, and else until Options.DrainTimeout has.
	Shutdown struct{}
)

func (ClientConnected) event()      {}
func (ClientActive) event()         {}
func (ClientDisconnected) event()   {}
func (ProtocolViolated) event()     {}
func (RequestReceived) event()      {}
func (UnaryRequestReceived) event() {}
func (AttemptEstablished) event()   {}
func (AttemptEnded) event()         {}
func (ConnectionLoad) event()       {}
func (MessageAnswered) event()      {}
func (ServerDraining) event()       {}
func (EndpointList) event()         {}
func (LoadReported) event()         {}
func (MaintenanceChanged) event()   {}
func (FleetShedLevel) event()       {}
func (StateRequested) event()       {}
func (PredecessorState) event()     {}
func (Shutdown) event()             {}

// Handle takes one event.
func (e *Engine) Handle(now time.Duration, ev Event) {
	e.now = max(e.now, now)
	switch ev := ev.(type) {
	case ClientConnected:
		e.onClientConnected(ev)
	case ClientActive:
		e.onClientActive(ev)
	case ClientDisconnected:
		e.onClientDisconnected(ev)
	case ProtocolViolated:
		e.onProtocolViolated(ev)
	case RequestReceived:
		e.onRequestReceived(ev)
	case UnaryRequestReceived:
		e.onUnaryRequestReceived(ev)
	case AttemptEstablished:
		e.onAttemptEstablished(ev)
	case AttemptEnded:
		e.onAttemptEnded(ev)
	case ConnectionLoad:
		e.onConnectionLoad(ev)
	case MessageAnswered:
		e.onMessageAnswered(ev)
	case ServerDraining:
		e.onServerDraining(ev)
	case EndpointList:
		e.onEndpointList(ev)
	case LoadReported:
		e.onLoadReported(ev)
	case MaintenanceChanged:
		e.onMaintenanceChanged(ev)
	case FleetShedLevel:
		e.notify(balancer.FleetShedLevel{Level: ev.Level})
	case StateRequested:
		e.onStateRequested(ev)
	case PredecessorState:
		e.onPredecessorState(ev)
	case Shutdown:
		e.onShutdown()
	}
}
