// Package reactor drives non-blocking TCP connections with a few event loops. Each loop waits with epoll for the events of
// all its connections, passes received bytes to handlers without copying them, and writes directly from the caller's
// buffers as far as the kernel accepts the bytes at once. The package is independent of any protocol.
//
// A Group owns its loops and connections; Close closes the connections and waits for the loops. The loop of a connection
// calls the connection's handler, one call at a time. The methods of Group, Listener and Conn may be called by any
// goroutine and don't block on the network. The exceptions are Group.Close, Group.Quiesce and Listener.Drain, which wait
// for loops: a handler must not call them.
//
// A loop waits in a system call, which occupies one of the Go runtime's processors until the runtime's monitor takes it
// back, up to 10 ms later. The program therefore needs one more processor for each loop. No additional processor would
// be needed if the runtime's poller waited for the loop's epoll descriptor. But not every platform reports readiness of an
// epoll descriptor that is nested in another epoll set: on a platform that supports only sockets, pipes and eventfds in an
// epoll set, the loop never saw an event of a client.
//
// Memory use is bounded: a connection is not read while too many bytes are pending for the connection that it sends to, and
// a peer that stops reading is disconnected.
package reactor

import "errors"

// Handler handles the events of a connection. The connection's loop calls the methods, one call at a time. They must not
// block.
type Handler interface {
	// OnOpen is called first. For a dialed connection it is called when the connection is established, or with the error if
	// the dial failed. For an accepted connection err is nil.
	OnOpen(c *Conn, err error)
	// OnData receives the bytes that have arrived and that were not consumed yet, and returns how many of them it consumes.
	// The others are passed again, followed by further bytes. The slice is valid only during the call.
	OnData(c *Conn, b []byte) int
	// OnEnd is called when the peer has ended the connection (err is nil), when the connection has failed, or when the peer
	// does not read (ErrStalled). It is not called after this side has closed the connection.
	OnEnd(c *Conn, err error)
}

// HangupHandler is implemented by a Handler that needs to know when the peer of a paused connection has ended its side.
// Bytes that the peer sent before are still unread then. OnHangup is called at most once during a pause.
type HangupHandler interface{ OnHangup(c *Conn) }

// Errors that OnEnd, OnOpen and Send report besides system errors.
var (
	ErrStalled = errors.New("reactor: peer does not read")
	ErrTimeout = errors.New("reactor: connect timed out")
	ErrClosed  = errors.New("reactor: connection is closed")

	errGroupClosed  = errors.New("reactor: group is closed")
	errNoDescriptor = errors.New("reactor: descriptor budget is used up")
)

// IsFailure reports whether an error passed to OnEnd means that the connection failed, as opposed to an orderly end by the
// peer.
func IsFailure(err error) bool { return err != nil }
