package codec

import "bytes"

const (
	// maxOperationNameSize is the size in bytes of the longest operation name, CONNECT, and the delimiter after it.
	maxOperationNameSize = 8
	// maxFields is the maximum number of fields after the operation.
	maxFields = 6
	// maxDigits is the maximum number of digits of a number, the same as in the reference server.
	maxDigits = 9
	// noBody is used as the body size of a frame that consists only of a control line.
	noBody = -1
)

// lineEnd terminates each control line and each body.
var lineEnd = []byte("\r\n")

// Parse parses the first frame in b and returns it with its length n in bytes. If the frame is incomplete, n is 0 and err is
// nil. Any error is a ProtocolError and is final: b cannot be parsed even if more bytes arrive.
func Parse(b []byte, l Limits) (f Frame, n int, err error) {
	op := parseOperation(b)
	line, n, err := cutControlLine(b, op, l)
	if err != nil || n == 0 {
		return f, 0, err
	}
	if op == None {
		if len(line) == 0 {
			return f, 0, ErrParse
		}
		return f, 0, ErrUnknownOperation
	}
	f.Op = op
	_, arguments := cutField(line)
	size, err := f.parseArguments(arguments)
	if err != nil {
		return f, 0, err
	}
	if size != noBody {
		if size > l.maxPayload() {
			return f, 0, ErrMaxPayload
		}
		bodyStart, bodyEnd := n, n+size
		n = bodyEnd + len(lineEnd)
		if len(b) < n {
			return f, 0, nil
		}
		if !bytes.HasPrefix(b[bodyEnd:], lineEnd) {
			return f, 0, ErrParse
		}
		f.Body = b[bodyStart:bodyEnd]
	}
	f.Raw = b[:n]
	return f, n, nil
}

// cutControlLine returns the first line of b without its line end, and its length n in bytes with the line end. If the line is
// incomplete, n is 0 and err is nil.
func cutControlLine(b []byte, op Op, l Limits) (line []byte, n int, err error) {
	limit := l.maxControlLine(op) + len(lineEnd)
	i := bytes.IndexByte(b[:min(len(b), limit)], '\n')
	switch {
	case i >= 0:
		line = b[:i]
		if i > 0 && line[i-1] == '\r' {
			line = line[:i-1]
		}
		return line, i + 1, nil
	case len(b) >= limit:
		return nil, 0, ErrMaxControlLine
	case op == None && len(b) >= maxOperationNameSize:
		return nil, 0, ErrUnknownOperation
	default:
		return nil, 0, nil
	}
}

// parseOperation returns the operation at the beginning of b, or None if it is unknown or incomplete.
func parseOperation(b []byte) Op {
	var name [maxOperationNameSize]byte
	n := 0
	for n < len(b) && n < maxOperationNameSize {
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
		return None // more of the name may follow
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
		return OpOK
	case "-ERR":
		return OpErr
	default:
		return None
	}
}

// cutField returns the first field of b and the bytes that follow it. Fields are separated by spaces and tabs.
func cutField(b []byte) (field, rest []byte) {
	start := 0
	for start < len(b) && (b[start] == ' ' || b[start] == '\t') {
		start++
	}
	end := start
	for end < len(b) && b[end] != ' ' && b[end] != '\t' {
		end++
	}
	return b[start:end], b[end:]
}

// parseArguments parses the part of the control line after the operation. It returns the size in bytes of the body that
// follows, or noBody.
func (f *Frame) parseArguments(line []byte) (size int, err error) {
	switch f.Op {
	case Info, Connect, OpErr:
		f.Body = bytes.TrimSpace(line)
		return noBody, nil
	case Ping, Pong, OpOK:
		return noBody, nil
	}
	var fieldArray [maxFields][]byte
	count := 0
	for field, rest := cutField(line); len(field) > 0; field, rest = cutField(rest) {
		if count == maxFields {
			return 0, ErrParse
		}
		fieldArray[count] = field
		count++
	}
	fields := fieldArray[:count]
	switch f.Op {
	case Sub:
		return noBody, f.parseSub(fields)
	case Unsub:
		return noBody, f.parseUnsub(fields)
	case Pub, HPub:
		return f.parsePub(fields)
	default:
		return f.parseMsg(fields)
	}
}

// parseSub parses the fields "subject [queue group] sid".
func (f *Frame) parseSub(fields [][]byte) error {
	switch len(fields) {
	case 2:
		f.Subject, f.SID = fields[0], fields[1]
	case 3:
		f.Subject, f.Queue, f.SID = fields[0], fields[1], fields[2]
	default:
		return ErrParse
	}
	if !ValidSubject(f.Subject, true) {
		return ErrSubject
	}
	return nil
}

// parseUnsub parses the fields "sid [max messages]".
func (f *Frame) parseUnsub(fields [][]byte) (err error) {
	switch len(fields) {
	case 1:
		f.SID = fields[0]
	case 2:
		f.SID = fields[0]
		f.MaxMessages, err = parseNumber(fields[1])
	default:
		return ErrParse
	}
	return err
}

// parsePub parses the fields "subject [reply] sizes" and returns the total size.
func (f *Frame) parsePub(fields [][]byte) (size int, err error) {
	n := len(fields) - f.sizeFields()
	if n < 1 || n > 2 {
		return 0, ErrParse
	}
	f.Subject = fields[0]
	if n == 2 {
		f.Reply = fields[1]
	}
	if !ValidSubject(f.Subject, false) || len(f.Reply) > 0 && !ValidSubject(f.Reply, false) {
		return 0, ErrPubSubject
	}
	return f.parseSizes(fields[n:])
}

// parseMsg parses the fields "subject sid [reply] sizes" and returns the total size.
func (f *Frame) parseMsg(fields [][]byte) (size int, err error) {
	n := len(fields) - f.sizeFields()
	if n < 2 || n > 3 {
		return 0, ErrParse
	}
	f.Subject, f.SID = fields[0], fields[1]
	if n == 3 {
		f.Reply = fields[2]
	}
	return f.parseSizes(fields[n:])
}

// sizeFields returns the number of size fields of a message: the header size, if the operation allows headers, and the total
// size.
func (f *Frame) sizeFields() int {
	if f.Op == HPub || f.Op == HMsg {
		return 2
	}
	return 1
}

// parseSizes parses the fields "[header size] total size" and returns the total size in bytes.
func (f *Frame) parseSizes(fields [][]byte) (size int, err error) {
	size, err = parseNumber(fields[len(fields)-1])
	if err != nil || len(fields) == 1 {
		return size, err
	}
	f.HeaderSize, err = parseNumber(fields[0])
	if err != nil || f.HeaderSize > size {
		return 0, ErrParse
	}
	return size, nil
}

// parseNumber parses an unsigned decimal number of at most maxDigits digits.
func parseNumber(b []byte) (int, error) {
	if len(b) == 0 || len(b) > maxDigits {
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
