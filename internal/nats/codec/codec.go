// Package codec reads and writes the frames of the NATS client protocol (docs.nats.io, "Client Protocol"). It does no
// I/O: Parse works on the bytes that it is given, keeps slices of them and allocates nothing for a frame that is relayed.
package codec

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// Op is a frame's operation.
type Op uint8

// The operations of both sides.
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

// ProtocolError is a fault in what a peer sent, in the words of the protocol's own -ERR.
type ProtocolError string

func (e ProtocolError) Error() string { return string(e) }

// Faults that Parse finds. Each ends the connection.
const (
	ErrUnknownOperation = ProtocolError("Unknown Protocol Operation")
	ErrParse            = ProtocolError("Parser Error")
	ErrMaxControlLine   = ProtocolError("Maximum Control Line Exceeded")
	ErrMaxPayload       = ProtocolError("Maximum Payload Violation")
	ErrSubject          = ProtocolError("Invalid Subject")
	ErrPubSubject       = ProtocolError("Invalid Publish Subject")
)

// Limits bound a frame. Zero fields have the stated defaults.
type Limits struct {
	MaxControlLine int // bytes of a frame's first line without its end; 0: 4096. INFO and -ERR may have 16 times as many.
	MaxPayload     int // bytes of headers and payload; 0: 1 MiB
}

// Defaults of the protocol's reference server.
const (
	DefaultMaxControlLine = 4096
	DefaultMaxPayload     = 1 << 20
	infoTimes             = 16
)

func (l Limits) controlLine() int {
	if l.MaxControlLine > 0 {
		return l.MaxControlLine
	}
	return DefaultMaxControlLine
}

func (l Limits) payload() int {
	if l.MaxPayload > 0 {
		return l.MaxPayload
	}
	return DefaultMaxPayload
}

// Frame is one frame. Its slices are parts of what was parsed.
type Frame struct {
	Op          Op
	Subject     []byte // of PUB, HPUB, SUB, MSG, HMSG
	Reply       []byte // of PUB, HPUB, MSG, HMSG; empty: none
	Queue       []byte // of SUB; empty: none
	SID         []byte // of SUB, UNSUB, MSG, HMSG
	MaxMessages int    // of UNSUB; 0: at once
	HeaderSize  int    // bytes of Body that are headers, of HPUB and HMSG
	Body        []byte // headers and payload; the JSON of INFO and CONNECT; the text of -ERR
	Raw         []byte // the frame as it stands, its end included
}

// Payload is the body behind the headers.
func (f *Frame) Payload() []byte { return f.Body[f.HeaderSize:] }

// Header is the body's headers, with NATS/1.0 and the last empty line; nil: none.
func (f *Frame) Header() []byte {
	if f.HeaderSize == 0 {
		return nil
	}
	return f.Body[:f.HeaderSize]
}

var end = []byte("\r\n")

// Parse reads the first frame of b. n is its length; 0 says that it is not whole yet. An error is an Error, and final.
func Parse(b []byte, l Limits) (f Frame, n int, err error) {
	most := l.controlLine()
	op := opOf(b)
	if op == Info || op == Err {
		most *= infoTimes
	}
	i := bytes.IndexByte(b[:min(len(b), most+2)], '\n')
	if i < 0 {
		if len(b) >= most+2 {
			return f, 0, ErrMaxControlLine
		}
		if op == None && len(b) >= opMost {
			return f, 0, ErrUnknownOperation
		}
		return f, 0, nil
	}
	line := b[:i]
	if k := len(line); k > 0 && line[k-1] == '\r' {
		line = line[:k-1]
	}
	if op == None {
		if len(line) == 0 {
			return f, 0, ErrParse
		}
		return f, 0, ErrUnknownOperation
	}
	f.Op = op
	_, rest := word(line)
	size, err := f.line(rest)
	if err != nil {
		return f, 0, err
	}
	n = i + 1
	if size >= 0 {
		if size > l.payload() {
			return f, 0, ErrMaxPayload
		}
		if len(b) < n+size+len(end) {
			return f, 0, nil
		}
		f.Body = b[n : n+size]
		if !bytes.HasPrefix(b[n+size:], end) {
			return f, 0, ErrParse
		}
		n += size + len(end)
	}
	f.Raw = b[:n]
	return f, n, nil
}

// opMost is the length of the longest operation's name and a byte behind it.
const opMost = 8

// opOf tells the operation that b begins with; None where it is none, or not to be told yet.
func opOf(b []byte) Op {
	var name [opMost]byte
	n := 0
	for n < len(b) && n < opMost {
		c := b[n]
		if c == ' ' || c == '\t' || c == '\r' || c == '\n' {
			break
		}
		if 'a' <= c && c <= 'z' {
			c -= 'a' - 'A'
		}
		name[n] = c
		n++
	}
	if n == len(b) {
		return None // more of the name may come
	}
	switch string(name[:n]) {
	case "PUB":
		return Pub
	case "HPUB":
		return HPub
	case "MSG":
		return Msg
	case "HMSG":
		return HMsg
	case "SUB":
		return Sub
	case "UNSUB":
		return Unsub
	case "PING":
		return Ping
	case "PONG":
		return Pong
	case "INFO":
		return Info
	case "CONNECT":
		return Connect
	case "+OK":
		return OK
	case "-ERR":
		return Err
	}
	return None
}

// word cuts the first word off.
func word(b []byte) (first, rest []byte) {
	i := 0
	for i < len(b) && (b[i] == ' ' || b[i] == '\t') {
		i++
	}
	j := i
	for j < len(b) && b[j] != ' ' && b[j] != '\t' {
		j++
	}
	return b[i:j], b[j:]
}

// line reads what stands behind the operation. size is that of the body to come, or -1.
func (f *Frame) line(rest []byte) (size int, err error) {
	var w [6][]byte
	n := 0
	switch f.Op {
	case Info, Connect, Err:
		f.Body = bytes.TrimSpace(rest)
		return -1, nil
	case Ping, Pong, OK:
		return -1, nil
	}
	for {
		var first []byte
		if first, rest = word(rest); len(first) == 0 {
			break
		}
		if n == len(w) {
			return 0, ErrParse
		}
		w[n] = first
		n++
	}
	sizes := 1
	if f.Op == HPub || f.Op == HMsg {
		sizes = 2
	}
	switch f.Op {
	case Sub:
		if n < 2 || n > 3 {
			return 0, ErrParse
		}
		f.Subject, f.SID = w[0], w[n-1]
		if n == 3 {
			f.Queue = w[1]
		}
		if !ValidSubject(f.Subject, true) {
			return 0, ErrSubject
		}
		return -1, nil
	case Unsub:
		if n < 1 || n > 2 {
			return 0, ErrParse
		}
		f.SID = w[0]
		if n == 2 {
			if f.MaxMessages, err = number(w[1]); err != nil {
				return 0, err
			}
		}
		return -1, nil
	case Pub, HPub:
		if n < 1+sizes || n > 2+sizes {
			return 0, ErrParse
		}
		f.Subject = w[0]
		if n == 2+sizes {
			f.Reply = w[1]
		}
		if !ValidSubject(f.Subject, false) || len(f.Reply) > 0 && !ValidSubject(f.Reply, false) {
			return 0, ErrPubSubject
		}
	case Msg, HMsg:
		if n < 2+sizes || n > 3+sizes {
			return 0, ErrParse
		}
		f.Subject, f.SID = w[0], w[1]
		if n == 3+sizes {
			f.Reply = w[2]
		}
	}
	if size, err = number(w[n-1]); err != nil {
		return 0, err
	}
	if sizes == 2 {
		if f.HeaderSize, err = number(w[n-2]); err != nil || f.HeaderSize > size {
			return 0, ErrParse
		}
	}
	return size, nil
}

// number reads a plain whole number of at most nine digits, as the reference server does.
func number(b []byte) (int, error) {
	if len(b) == 0 || len(b) > 9 {
		return 0, ErrParse
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, ErrParse
		}
		n = 10*n + int(c-'0')
	}
	return n, nil
}

// Appenders write frames behind what b holds.

// AppendPub appends PUB, or HPUB where there are headers. The payload and the end that follow are the caller's, so that a
// relayed message is not copied.
func AppendPub(b, subject, reply []byte, headers, size int) []byte {
	if headers > 0 {
		b = append(b, "HPUB "...)
	} else {
		b = append(b, "PUB "...)
	}
	b = append(append(b, subject...), ' ')
	if len(reply) > 0 {
		b = append(append(b, reply...), ' ')
	}
	return appendSizes(b, headers, size)
}

// AppendMsg appends the first line of MSG, or of HMSG where there are headers.
func AppendMsg(b, subject, sid, reply []byte, headers, size int) []byte {
	if headers > 0 {
		b = append(b, "HMSG "...)
	} else {
		b = append(b, "MSG "...)
	}
	b = append(append(b, subject...), ' ')
	b = append(append(b, sid...), ' ')
	if len(reply) > 0 {
		b = append(append(b, reply...), ' ')
	}
	return appendSizes(b, headers, size)
}

func appendSizes(b []byte, headers, size int) []byte {
	if headers > 0 {
		b = append(strconv.AppendInt(b, int64(headers), 10), ' ')
	}
	return append(strconv.AppendInt(b, int64(size), 10), end...)
}

// AppendSub appends SUB.
func AppendSub(b, subject, queue, sid []byte) []byte {
	b = append(append(append(b, "SUB "...), subject...), ' ')
	if len(queue) > 0 {
		b = append(append(b, queue...), ' ')
	}
	return append(append(b, sid...), end...)
}

// AppendUnsub appends UNSUB; max 0 is at once.
func AppendUnsub(b, sid []byte, max int) []byte {
	b = append(append(b, "UNSUB "...), sid...)
	if max > 0 {
		b = strconv.AppendInt(append(b, ' '), int64(max), 10)
	}
	return append(b, end...)
}

// AppendErr appends -ERR.
func AppendErr(b []byte, text string) []byte {
	return append(append(append(b, "-ERR '"...), text...), "'\r\n"...)
}

// AppendJSON appends INFO or CONNECT with an object.
func AppendJSON(b []byte, op string, v any) []byte {
	text, err := json.Marshal(v)
	if err != nil { // of maps and structs of plain values: it cannot be
		panic(err)
	}
	return append(append(append(append(b, op...), ' '), text...), end...)
}

// Frames without figures.
const (
	PingFrame = "PING\r\n"
	PongFrame = "PONG\r\n"
	OKFrame   = "+OK\r\n"
)
