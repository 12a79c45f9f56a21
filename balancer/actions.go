package balancer

import (
	"log/slog"
	"strings"
	"time"
)

// Action is an output of a Balancer, to be carried out by its host. The concrete types are those below.
type Action interface{ action() }

type (
	// Send starts the request's next attempt.
	Send struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // of the attempt; 0: until the client gives up
		// ConnectTimeout bounds the time until the connection is established: one that is established later
		// must carry nothing, as by then the server may drain, or the time to repeat the request be over. 0:
		// no bound.
		ConnectTimeout time.Duration
	}

	// Reject is a final answer: the request was not done, and a retry is harmless.
	Reject struct {
		ID          RequestID
		RetryAfter  time.Duration // 0: not stated
		ShedByFleet bool          // by the FleetShedLevel, not for want of capacity here
	}

	// Fail is a final answer that leaves open whether the request was done.
	Fail struct{ ID RequestID }

	// Migrate ends an open connection gracefully; its client reconnects with a new request.
	Migrate struct{ ID RequestID }

	// PollLoad asks a server for its load. A LoadReport answers it, or nothing does.
	PollLoad struct{ Server ServerID }

	// SetTimer asks for a TimerFired after the given time.
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
