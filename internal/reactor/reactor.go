// Package reactor drives TCP connections with a few event loops. A loop waits for the events of all its connections with
// epoll, passes what has arrived to handlers in place, and writes without a copy what the kernel takes at once. It knows no
// protocol.
//
// A Group owns its loops and connections; Close ends them and waits for the loops. Handlers are called by the loop of their
// connection, one at a time. The methods of Group, Listener and Conn may be called by any goroutine and don't block on the
// network, but for Group.Close and Group.Quiesce, which wait for the loops and must not be called by a handler.
//
// A loop waits in a system call, which occupies one of the runtime's processors until the runtime's monitor takes it back,
// up to 10 ms later: the program needs one processor more for each loop. Waiting for the loop's epoll descriptor in the
// runtime's poller would need none, but not every platform reports that an epoll descriptor within another is ready: one
// that supports only sockets, pipes and eventfds there never showed a client.
//
// Memory is bounded: a connection is left unread while the one that it sends to has too much to write, and a peer that does
// not read at all is disconnected.
package reactor

import "errors"

// Handler handles the events of a connection. Its methods are called by the connection's loop, one at a time, and must not
// block.
type Handler interface {
	// OnOpen is called first: for a dialed connection when it is established, or with an error when that failed; for an
	// accepted one with nil.
	OnOpen(c *Conn, err error)
	// OnData shows the bytes that have arrived and were not consumed yet, and returns how many it consumes. The others are
	// shown again, followed by further ones. The bytes are valid during the call alone.
	OnData(c *Conn, b []byte) int
	// OnEnd is called when the peer has ended the connection, or when it is broken or stalled (ErrStalled). It is not
	// called after this side has ended it.
	OnEnd(c *Conn, err error)
}

// HangupHandler is a Handler that is notified when the peer of a paused connection has ended its side: what was sent before
// is still to be read. OnHangup is called once a pause.
type HangupHandler interface{ OnHangup(c *Conn) }

// Errors of OnEnd, OnOpen and Send, besides the system's own.
var (
	ErrStalled = errors.New("reactor: peer does not read")
	ErrTimeout = errors.New("reactor: connect timed out")
	ErrClosed  = errors.New("reactor: connection is closed")

	errGroupClosed  = errors.New("reactor: group is closed")
	errNoDescriptor = errors.New("reactor: descriptor budget is used up")
)

// WasReset reports whether an error of OnEnd means a broken connection, not one that its peer has ended in order.
func WasReset(err error) bool { return err != nil }
