// Package codec reads and writes the frames of the NATS client protocol (docs.nats.io, "Client Protocol"): Parse reads
// frames of both sides, the Append functions write them, and MatchesSubject compares subjects with wildcards.
//
// The package does no I/O and has no state: all functions may be called from any goroutine. Parse works on the bytes that
// it is given, returns slices of them and does not allocate, so that a frame can be forwarded without a copy.
package codec

// Op is the operation of a frame.
type Op uint8

// The operations of clients and servers. None is the zero value and stands for an unknown or incomplete operation.
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
	OK
	Err
)

// ProtocolError is a violation of the protocol by a peer. Its text is what the protocol sends in -ERR for it.
type ProtocolError string

func (e ProtocolError) Error() string { return string(e) }

// Errors of Parse, ParseConnect and ParseInfo. The connection is to be closed after each of them.
const (
	ErrUnknownOperation = ProtocolError("Unknown Protocol Operation")
	ErrParse            = ProtocolError("Parser Error")
	ErrMaxControlLine   = ProtocolError("Maximum Control Line Exceeded")
	ErrMaxPayload       = ProtocolError("Maximum Payload Violation")
	ErrSubject          = ProtocolError("Invalid Subject")
	ErrPubSubject       = ProtocolError("Invalid Publish Subject")
)

// Limits bound the size of a frame. A field that is not positive has its default.
type Limits struct {
	// MaxControlLine is the maximum size of the first line in bytes, without its end. INFO and -ERR may be 16 times as
	// long. The default is DefaultMaxControlLine.
	MaxControlLine int
	// MaxPayload is the maximum size of headers and payload in bytes. The default is DefaultMaxPayload.
	MaxPayload int
}

// Default limits, as in the reference server.
const (
	DefaultMaxControlLine = 4096
	DefaultMaxPayload     = 1 << 20
)

// infoLineFactor is how many times the limit of a control line INFO and -ERR may have.
const infoLineFactor = 16

// controlLine is the maximum size of the control line of an operation.
func (l Limits) controlLine(op Op) int {
	limit := l.MaxControlLine
	if limit <= 0 {
		limit = DefaultMaxControlLine
	}
	if op == Info || op == Err {
		limit *= infoLineFactor
	}
	return limit
}

func (l Limits) payload() int {
	if l.MaxPayload > 0 {
		return l.MaxPayload
	}
	return DefaultMaxPayload
}

// Frame is one frame. Its slices are parts of the buffer that was parsed.
type Frame struct {
	Op          Op
	Subject     []byte // of PUB, HPUB, SUB, MSG, HMSG
	Reply       []byte // reply subject of PUB, HPUB, MSG, HMSG; empty: none
	Queue       []byte // queue group of SUB; empty: none
	SID         []byte // subscription ID of SUB, UNSUB, MSG, HMSG
	MaxMessages int    // of UNSUB: end the subscription after so many messages; 0: at once
	HeaderSize  int    // size of the headers in Body, of HPUB and HMSG, in bytes
	Body        []byte // headers and payload of a message; JSON of INFO and CONNECT; text of -ERR
	Raw         []byte // the frame as received, with its end
}

// Payload returns the body without the headers.
func (f *Frame) Payload() []byte { return f.Body[f.HeaderSize:] }

// Header returns the headers of the body, with the version line and the empty line at the end; nil: there are none.
func (f *Frame) Header() []byte {
	if f.HeaderSize == 0 {
		return nil
	}
	return f.Body[:f.HeaderSize]
}
