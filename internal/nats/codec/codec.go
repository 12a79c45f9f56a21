// Package codec parses and writes the frames of the NATS client protocol (docs.nats.io, "Client Protocol"). Parse parses the
// frames of clients and servers, the Append functions write them, and MatchesSubject matches subjects against patterns with
// wildcards.
//
// The package does no I/O and has no state, so that all functions may be called from any goroutine. Parse returns slices of its
// input and does not allocate, so that a frame can be forwarded without a copy.
package codec

// Op identifies the operation of a frame.
type Op uint8

// The operations of clients and servers. None is the zero value and means that the operation is unknown or incomplete.
const (
	None Op = iota
	Info
	Connect
	Ping
	Pong
	Pub
	HPub
	Sub
	Unsub
	Msg
	HMsg
	OpOK
	OpErr
)

// ProtocolError is a violation of the protocol by a peer. Its text is the one that the protocol specifies for the -ERR frame.
type ProtocolError string

func (e ProtocolError) Error() string { return string(e) }

// Errors of Parse, ParseConnect and ParseInfo. The connection must be closed after any of them.
const (
	ErrUnknownOperation = ProtocolError("Unknown Protocol Operation")
	ErrParse            = ProtocolError("Parser Error")
	ErrMaxControlLine   = ProtocolError("Maximum Control Line Exceeded")
	ErrMaxPayload       = ProtocolError("Maximum Payload Violation")
	ErrSubject          = ProtocolError("Invalid Subject")
	ErrPubSubject       = ProtocolError("Invalid Publish Subject")
)

// Limits holds the limits on the size of a frame. Zero or a negative value means the default.
type Limits struct {
	// MaxControlLine is the maximum size of the control line (the first line of a frame) in bytes, without the line end.
	// INFO and -ERR may be 16 times as long. Defaults to DefaultMaxControlLine.
	MaxControlLine int
	// MaxPayload is the maximum size of headers and payload together in bytes. Defaults to DefaultMaxPayload.
	MaxPayload int
}

// Default limits in bytes, the same as those of the reference server.
const (
	DefaultMaxControlLine = 4096
	DefaultMaxPayload     = 1 << 20
)

// infoLineFactor is the factor by which the control line limit is larger for INFO and -ERR.
const infoLineFactor = 16

// maxControlLine returns the maximum size of the control line of an operation in bytes, without the line end.
func (l Limits) maxControlLine(op Op) int {
	limit := l.MaxControlLine
	if limit <= 0 {
		limit = DefaultMaxControlLine
	}
	if op == Info || op == OpErr {
		limit *= infoLineFactor
	}
	return limit
}

func (l Limits) maxPayload() int {
	if l.MaxPayload > 0 {
		return l.MaxPayload
	}
	return DefaultMaxPayload
}

// Frame holds one parsed frame. Its slices point into the buffer that was parsed.
type Frame struct {
	Op          Op
	Subject     []byte // of PUB, HPUB, SUB, MSG, HMSG
	Reply       []byte // reply subject of PUB, HPUB, MSG, HMSG; empty means none
	Queue       []byte // queue group of SUB; empty means none
	SID         []byte // subscription ID of SUB, UNSUB, MSG, HMSG
	MaxMessages int    // of UNSUB: number of messages after which the subscription ends; 0 means at once
	HeaderSize  int    // of HPUB and HMSG: size of the headers in Body, in bytes
	Body        []byte // headers and payload of a message; JSON of INFO and CONNECT; text of -ERR
	Raw         []byte // the complete frame as received, with its line end
}

// Payload returns the body without the headers.
func (f *Frame) Payload() []byte { return f.Body[f.HeaderSize:] }

// Header returns the headers of the body, including the version line and the empty line at the end, or nil if there are none.
func (f *Frame) Header() []byte {
	if f.HeaderSize == 0 {
		return nil
	}
	return f.Body[:f.HeaderSize]
}
