package balancer

import (
	"log/slog"
	"strings"
	"time"
)

// Action is an output of a Balancer, which its host carries out. The concrete types are those below.
type Action interface{ action() }

type (
	// Send starts the request's next attempt.
	Send struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // timeout of the attempt; zero means until the client gives up
		// ConnectTimeout bounds the time until the connection is established. Nothing may be sent over a
		// connection that is established later, because the server may be draining by then, or the dedup
		// window may have passed. Zero means no bound.
		ConnectTimeout time.Duration
	}

	// Reject is a final answer that tells the client that it may safely retry.
	Reject struct {
		ID          RequestID
		RetryAfter  time.Duration // zero means that none is stated
		ShedByFleet bool          // the FleetShedLevel caused it, not a lack of capacity at this gateway
	}

	// Fail is a final answer that does not tell whether the request was processed.
	Fail struct{ ID RequestID }

	// Migrate ends an open connection gracefully; its client reconnects with a new request.
	Migrate struct{ ID RequestID }

	// PollLoad asks a server for its load. The host reports the answer as a LoadReport, if there is one.
	PollLoad struct{ Server ServerID }

	// SetTimer asks the host for a TimerFired with the same Ref after the given time.
	SetTimer struct {
		After time.Duration
		Ref   int64
	}

	// Log adds a line to the gateway's log.
	Log struct {
		Message string // a constant; values are in Attrs
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

// String returns the message, followed by key=value for each attribute.
func (l Log) String() string {
	var text strings.Builder
	text.WriteString(l.Message)
	for _, a := range l.Attrs {
		text.WriteString(" " + a.String())
	}
	return text.String()
}
