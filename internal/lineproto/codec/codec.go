// Package codec reads and writes the lines that clients, balancers and servers exchange. It does no
// I/O: parsers work on the bytes that they are given and keep slices of them.
package codec

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"
)

// MaxLine is the longest line, its end included.
const MaxLineLength = 4 << 10

// Lines of the balancer's own.
const (
	Pong  = "PONG\r\n"
	No    = "NO\r\n"
	Err   = "ERR\r\n"
	Move  = "MOVE\r\n"
	Stats = "STATS\r\n" // to a server, on a connection for probes
)

// Errors of a first line.
var (
	ErrTooLong   = errors.New("line too long")
	ErrMalformed = errors.New("malformed line")
)

// maxWait bounds a client's stated wait, so that no sum of times overflows.
const maxTimeout = 24 * time.Hour

// Open is a client's opening line. Its slices are parts of the line.
type Open struct {
	Line         []byte // whole, with its end
	ID           []byte
	Key          []byte
	Class        []byte
	Group        []byte
	Tenant       []byte
	Owner        []byte        // the server that holds the connection since before the run; empty: none
	Timeout      time.Duration // that the client waits for UP, from the sending of the line; 0: not stated
	Load         float64       // h as written; 0: none
	Retry        bool
	Reconnecting bool
	MidFlow      bool

	timeoutStart, timeoutEnd int // where d's value stands in Line; both 0: nowhere
}

// RequestKind tells first lines apart.
type RequestKind int

// Kinds of first lines.
const (
	RequestOther RequestKind = iota
	RequestOpen
	RequestPing
	RequestStats
)

// ParseRequestKind tells what a first line asks for.
func ParseRequestKind(line []byte) RequestKind {
	word, _, _ := bytes.Cut(trimEnd(line), space)
	switch string(word) {
	case "OPEN":
		return RequestOpen
	case "PING":
		return RequestPing
	case "STATS":
		return RequestStats
	}
	return RequestOther
}

var space = []byte{' '}

// trimEnd takes off a line's end, CRLF or a bare LF.
func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}

// ParseOpen reads an opening line, its end included.
func ParseOpen(line []byte) (o Open, err error) {
	if len(line) > MaxLineLength {
		return o, ErrTooLong
	}
	if len(line) < 2 || line[len(line)-1] != '\n' || line[len(line)-2] != '\r' {
		return o, ErrMalformed
	}
	body := line[:len(line)-2]
	for _, c := range body {
		if c < ' ' || c == 0x7f {
			return o, ErrMalformed
		}
	}
	word, rest, _ := bytes.Cut(body, space)
	if string(word) != "OPEN" {
		return o, ErrMalformed
	}
	o.Line = line
	var ok bool
	if o.ID, rest, ok = bytes.Cut(rest, space); !ok || len(o.ID) == 0 {
		return o, ErrMalformed
	}
	// The list may be missing; the key may not.
	o.Key, rest, _ = bytes.Cut(rest, space)
	if len(o.Key) == 0 || bytes.IndexByte(rest, ' ') >= 0 {
		return o, ErrMalformed
	}
	offset := len(body) - len(rest)
	for len(rest) > 0 {
		pair, tail, _ := bytes.Cut(rest, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{'='})
		if !ok || len(name) == 0 {
			return o, ErrMalformed
		}
		if err := o.set(string(name), value, offset+len(name)+1); err != nil {
			return o, err
		}
		offset += len(pair) + 1
		rest = tail
	}
	return o, nil
}

func (o *Open) set(name string, value []byte, at int) error {
	switch name {
	case "c":
		o.Class = value
	case "g":
		o.Group = value
	case "t":
		o.Tenant = value
	case "at":
		o.Owner = value
	case "d":
		ms, ok := number(value)
		// Given twice, it could be rewritten in one place only. A client that does not wait at all is no client.
		if !ok || ms == 0 || o.timeoutEnd > 0 {
			return ErrMalformed
		}
		o.Timeout = min(time.Duration(ms*float64(time.Millisecond)), maxTimeout)
		o.timeoutStart, o.timeoutEnd = at, at+len(value)
	case "h":
		h, ok := number(value)
		if !ok {
			return ErrMalformed
		}
		o.Load = h
	case "r":
		o.Retry = string(value) == "1"
	case "again":
		o.Reconnecting = string(value) == "1"
	case "mid":
		o.MidFlow = string(value) == "1"
	}
	return nil
}

// number reads a plain decimal figure of 0 or more.
func number(b []byte) (float64, bool) {
	if len(b) == 0 || len(b) > 24 {
		return 0, false
	}
	v, err := strconv.ParseFloat(string(b), 64)
	if err != nil || !(v >= 0) || v > 1e12 || math.IsInf(v, 0) {
		return 0, false
	}
	return v, true
}

// Forward appends to parts the pieces of the line as a server is to get it: only d's value is another, the
// time that the balancer will wait. The pieces are the line's own bytes, for a gathered write.
func (o *Open) Forward(parts [][]byte, wait time.Duration) [][]byte {
	if o.timeoutEnd == 0 {
		return append(parts, o.Line)
	}
	ms := strconv.AppendInt(nil, max(wait.Milliseconds(), 1), 10)
	return append(parts, o.Line[:o.timeoutStart], ms, o.Line[o.timeoutEnd:])
}

// Busy is a refusal; after 0 it says nothing of when to come again.
func Busy(after time.Duration) []byte {
	b := []byte("BUSY")
	if after > 0 {
		b = strconv.AppendInt(append(b, ' '), (after + time.Millisecond - 1).Milliseconds(), 10)
	}
	return append(b, '\r', '\n')
}

// ReplyKind is what a server's line says.
type ReplyKind int

// Words of a server's lines.
const (
	ReplyOther ReplyKind = iota // any line of the connection's own
	ReplyUp
	ReplyBye
	ReplyMove
	ReplyErr
	ReplyBusy
	ReplyLoad
)

// Reply is a server's line.
type Reply struct {
	Kind   ReplyKind
	Load   float64 // LOAD's figure
	Report []byte  // the load report, as sent
}

// ParseReply reads a server's line, with or without its end. What it cannot read is WordOther.
func ParseReply(line []byte) Reply {
	word, rest, _ := bytes.Cut(trimEnd(line), space)
	switch string(word) {
	case "UP":
		return Reply{Kind: ReplyUp}
	case "BYE":
		return Reply{Kind: ReplyBye, Report: rest}
	case "MOVE":
		return Reply{Kind: ReplyMove}
	case "ERR":
		return Reply{Kind: ReplyErr, Report: rest}
	case "BUSY":
		return Reply{Kind: ReplyBusy, Report: rest}
	case "LOAD":
		if v, ok := number(rest); ok {
			return Reply{Kind: ReplyLoad, Load: v}
		}
	}
	return Reply{}
}

// ParsePong reads the answer to a probe; ok is false for any other line. The report is empty after PING.
func ParsePong(line []byte) (report []byte, ok bool) {
	word, rest, _ := bytes.Cut(trimEnd(line), space)
	return rest, string(word) == "PONG"
}

// EachReportField walks a load report such as inflight=7,queue=2,util=0.61; a field that it cannot read is passed over.
func EachReportField(b []byte, field func(name string, value float64)) {
	for len(b) > 0 {
		pair, rest, _ := bytes.Cut(b, []byte{','})
		b = rest
		name, value, ok := bytes.Cut(pair, []byte{'='})
		if v, good := number(value); ok && good && len(name) > 0 {
			field(string(name), v)
		}
	}
}
