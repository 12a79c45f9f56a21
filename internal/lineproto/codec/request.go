package codec

import (
	"bytes"
	"strconv"
	"time"
)

// maxTimeout bounds a client's timeout, so that no sum of times overflows.
const maxTimeout = 24 * time.Hour

// RequestKind is the command of a client's first line.
type RequestKind int

// The commands of a client's first line.
const (
	RequestOther RequestKind = iota // none of the protocol's
	RequestOpen
	RequestPing
	RequestStats
)

// ParseRequestKind reads the command of a client's first line, with or without its end.
func ParseRequestKind(line []byte) RequestKind {
	command, _ := splitCommand(line)
	switch string(command) {
	case "OPEN":
		return RequestOpen
	case "PING":
		return RequestPing
	case "STATS":
		return RequestStats
	}
	return RequestOther
}

// Open is a client's opening line. Its slices are parts of the line.
type Open struct {
	Line         []byte // complete, with its end
	ID           []byte
	Key          []byte
	Class        []byte
	Group        []byte
	Tenant       []byte
	Owner        []byte        // the server that has held the connection since before this process; empty: none
	Timeout      time.Duration // for which the client waits for UP after it has sent the line; 0: not stated
	Load         float64       // the expected load, in the client's unit; 0: not stated
	Retry        bool
	Reconnecting bool
	MidFlow      bool

	timeoutStart, timeoutEnd int // offsets of the timeout's digits in Line; both 0: not stated
}

// ParseOpen reads an opening line, its end included. The error is ErrTooLong or ErrMalformed.
func ParseOpen(line []byte) (Open, error) {
	if len(line) > MaxLineLength {
		return Open{}, ErrTooLong
	}
	body, ok := openBody(line)
	if !ok {
		return Open{}, ErrMalformed
	}
	open := Open{Line: line}
	fields, ok := open.parseHead(body)
	if !ok || !open.parseFields(fields, len(body)-len(fields)) {
		return open, ErrMalformed
	}
	return open, nil
}

// openBody is a line without its end, which has to be CRLF. It reports false for a line with control characters.
func openBody(line []byte) ([]byte, bool) {
	body, ok := bytes.CutSuffix(line, crlf)
	if !ok {
		return nil, false
	}
	for _, c := range body {
		if c < ' ' || c == 0x7f {
			return nil, false
		}
	}
	return body, true
}

// parseHead reads the command, the request's ID and its key, and returns the list of fields, which may be empty.
func (o *Open) parseHead(body []byte) (fields []byte, ok bool) {
	command, rest, _ := bytes.Cut(body, space)
	if string(command) != "OPEN" {
		return nil, false
	}
	if o.ID, rest, ok = bytes.Cut(rest, space); !ok || len(o.ID) == 0 {
		return nil, false
	}
	o.Key, fields, _ = bytes.Cut(rest, space)
	if len(o.Key) == 0 || bytes.Contains(fields, space) {
		return nil, false
	}
	return fields, true
}

// parseFields reads the list of fields, which starts at an offset in the line. Unknown fields are ignored.
func (o *Open) parseFields(fields []byte, offset int) bool {
	for len(fields) > 0 {
		pair, name, value, rest, ok := cutField(fields)
		if !ok || !o.setField(string(name), value, offset+len(name)+1) {
			return false
		}
		offset += len(pair) + 1
		fields = rest
	}
	return true
}

// setField takes the value of one field; offset is where the value starts in the line.
func (o *Open) setField(name string, value []byte, offset int) bool {
	ok := true
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
		ok = o.setTimeout(value, offset)
	case "h":
		o.Load, ok = parseNumber(value)
	case "r":
		o.Retry = isSet(value)
	case "again":
		o.Reconnecting = isSet(value)
	case "mid":
		o.MidFlow = isSet(value)
	}
	return ok
}

func isSet(value []byte) bool { return string(value) == "1" }

// setTimeout takes the timeout, in milliseconds. It may be stated once only, since Forward rewrites it in one place, and a
// client that does not wait at all is malformed.
func (o *Open) setTimeout(value []byte, offset int) bool {
	milliseconds, ok := parseNumber(value)
	if !ok || milliseconds == 0 || o.timeoutEnd > 0 {
		return false
	}
	o.Timeout = min(time.Duration(milliseconds*float64(time.Millisecond)), maxTimeout)
	o.timeoutStart, o.timeoutEnd = offset, offset+len(value)
	return true
}

// Forward appends to parts the pieces of the line for a server, for a vectored write. They are the line's own bytes, but for
// the timeout, which is replaced by the one given, in whole milliseconds and at least 1.
func (o *Open) Forward(parts [][]byte, timeout time.Duration) [][]byte {
	if o.timeoutEnd == 0 {
		return append(parts, o.Line)
	}
	milliseconds := strconv.AppendInt(nil, max(timeout.Milliseconds(), 1), 10)
	return append(parts, o.Line[:o.timeoutStart], milliseconds, o.Line[o.timeoutEnd:])
}
