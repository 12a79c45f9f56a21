package codec

import (
	"bytes"
	"strconv"
	"time"
)

// maxTimeout limits a client's timeout, so that sums of times can't overflow.
const maxTimeout = 24 * time.Hour

// RequestKind is the command of a client's first line.
type RequestKind int

// The commands of a client's first line.
const (
	RequestOther RequestKind = iota // no command of the protocol
	RequestOpen
	RequestPing
	RequestStats
)

// ParseRequestKind returns the command of a client's first line, with or without its line end.
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

// Open is a client's parsed opening line. Its slices refer to the bytes of the line.
type Open struct {
	Line         []byte // the complete line, with its line end
	ID           []byte
	Key          []byte
	Class        []byte
	Group        []byte
	Tenant       []byte
	Owner        []byte        // the server that owned the connection before this process started; empty if none
	Timeout      time.Duration // how long the client waits for UP after sending the line; zero if not stated
	Load         float64       // the expected load, in the client's unit; zero if not stated
	Retry        bool
	Reconnecting bool
	MidFlow      bool

	timeoutStart, timeoutEnd int // offsets of the timeout's digits in Line; both zero if not stated
}

// ParseOpen parses an opening line, including its line end. It returns ErrTooLong or ErrMalformed if the line is not valid.
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

// openBody returns an opening line without its line end, and true if the line is valid. It returns false if the line does not
// end with CRLF, or contains another control character.
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

// parseHead parses the command, the request's ID and its key, and returns the list of fields, which may be empty.
// ok is false if the command is not OPEN, the ID or the key is missing, or the list contains a space.
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

// parseFields parses the list of fields, which starts at offset in the line. It ignores unknown fields, and returns
// false if a field is malformed.
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

// setField stores the value of a field. offset is the position of the value in the line. It returns false if the value is
// malformed.
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

// setTimeout parses the timeout in milliseconds. It returns false if the timeout is malformed. A second timeout is malformed,
// because Forward replaces only one. A timeout of zero is malformed too, because such a client would not wait at all.
func (o *Open) setTimeout(value []byte, offset int) bool {
	milliseconds, ok := parseNumber(value)
	if !ok || milliseconds == 0 || o.timeoutEnd > 0 {
		return false
	}
	o.Timeout = min(time.Duration(milliseconds*float64(time.Millisecond)), maxTimeout)
	o.timeoutStart, o.timeoutEnd = offset, offset+len(value)
	return true
}

// Forward returns parts with the pieces of the opening line for the server appended, and sends nothing. A vectored write of the
// pieces sends the line. The pieces hold the line's own bytes, except that the given timeout replaces the client's. The
// timeout is written in whole milliseconds and is at least 1 ms. A line without a timeout stays as it is.
func (o *Open) Forward(parts [][]byte, timeout time.Duration) [][]byte {
	if o.timeoutEnd == 0 {
		return append(parts, o.Line)
	}
	milliseconds := strconv.AppendInt(nil, max(timeout.Milliseconds(), 1), 10)
	return append(parts, o.Line[:o.timeoutStart], milliseconds, o.Line[o.timeoutEnd:])
}
