package engine

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/slotmap"
)

// Event is an input of an Engine. This file declares its concrete types.
type Event interface{ event() }

// Events of clients.
type (
	// ClientConnected adds a connection that has not sent a request yet. Done, which may be nil, is called once the
	// connection has been admitted or rejected.
	ClientConnected struct {
		Client Client
		Done   func()
	}
	// ClientActive reports that a connection without a request is in use, for example by health checks of the platform.
	ClientActive struct{ Client Client }
	// ClientDisconnected reports that a client ended its connection.
	ClientDisconnected struct{ Client Client }
	// ProtocolViolated reports that the frontend closed a client's connection because of a protocol violation.
	ProtocolViolated struct{ Client Client }
	// RequestReceived adds the request of a client that is already connected.
	RequestReceived struct {
		Client  Client
		Request Request
	}
	// UnaryRequestReceived adds a request that has no connection of its own and ends with its final answer.
	// AttemptEnded with balancer.OK reports that its server has given that answer.
	UnaryRequestReceived struct {
		Client  Client
		Request Request
	}
)

// Events of attempts and of the connections that they established. A stale RequestID or Number is ignored.
type (
	// AttemptEstablished reports that an attempt has established its connection.
	AttemptEstablished struct {
		RequestID slotmap.Handle
		Number    int
		Elapsed   time.Duration // since the attempt was sent
	}
	// AttemptEnded reports the end of an attempt, or of the connection that it established.
	AttemptEnded struct {
		RequestID slotmap.Handle
		Number    int
		Result    balancer.Result
	}
	// ConnectionLoadChanged reports the current load of an established connection, in microseconds of work per second.
	ConnectionLoadChanged struct {
		RequestID slotmap.Handle
		Load      float64
	}
	// MessageAnswered reports the time from sending a message on an established connection to its answer.
	MessageAnswered struct {
		RequestID slotmap.Handle
		Delay     time.Duration
	}
	// ServerDraining reports that the server of an attempt has announced that it is draining. The endpoint list may not
	// show this yet.
	ServerDraining struct {
		RequestID slotmap.Handle
		Number    int
	}
)

// Events of servers.
type (
	// EndpointList is an endpoint list of discovery, or a change of it.
	EndpointList struct {
		Mode    balancer.ListMode
		Version int64 // assigned by discovery; zero if discovery has no versions
		Servers []Server
	}
	// LoadReported is a server's answer to LoadPoller.PollLoad.
	LoadReported struct {
		Server balancer.ServerID
		Report LoadReport
	}
	// MaintenanceChanged begins or ends the maintenance mode of a server, which overrides the state in the endpoint list.
	// Done, which may be nil, is called once the change is in effect.
	MaintenanceChanged struct {
		Name          string
		InMaintenance bool
		Done          func()
	}
)

// Events of the fleet and of the process.
type (
	// FleetShedLevel reports the shed level of the fleet, as defined by balancer.FleetShedLevel.
	FleetShedLevel struct{ Level float64 }
	// StateRequested requests the state that the successor process of the gateway takes over. The engine passes it to
	// Deliver.
	StateRequested struct{ Deliver func(State) }
	// PredecessorState is the state of the predecessor process. The balancer restores its snapshot from the first one
	// only; later ones update the open connections.
	PredecessorState struct {
		State State
		First bool
	}
	// Shutdown begins a graceful shutdown. New requests are still served: for Options.AnswerTimeout if connections end
	// with this gateway, and otherwise for Options.DrainTimeout.
	Shutdown struct{}
)

func (ClientConnected) event()       {}
func (ClientActive) event()          {}
func (ClientDisconnected) event()    {}
func (ProtocolViolated) event()      {}
func (RequestReceived) event()       {}
func (UnaryRequestReceived) event()  {}
func (AttemptEstablished) event()    {}
func (AttemptEnded) event()          {}
func (ConnectionLoadChanged) event() {}
func (MessageAnswered) event()       {}
func (ServerDraining) event()        {}
func (EndpointList) event()          {}
func (LoadReported) event()          {}
func (MaintenanceChanged) event()    {}
func (FleetShedLevel) event()        {}
func (StateRequested) event()        {}
func (PredecessorState) event()      {}
func (Shutdown) event()              {}

// Handle processes one event. now is the time on the engine's clock. If now is before the time of an earlier call, the
// event is processed at that earlier call's time.
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
	case ConnectionLoadChanged:
		e.onConnectionLoadChanged(ev)
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
