package discovery

import (
	"bytes"
	"errors"
	"strconv"
)

// errHead is any fault of a response's head.
var errHead = errors.New("malformed response head")

// headMost bounds a head.
const headMost = 16 << 10

// head is what a response's head says of its body.
type head struct {
	status  int
	length  int // of the body; -1: not stated
	chunked bool
	closes  bool // the connection ends with the body
}

// parseHead reads a response's head where it stands. size is 0 while the head is not whole.
func parseHead(b []byte) (h head, size int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > headMost {
			return h, 0, errHead
		}
		return h, 0, nil
	}
	size = end + 4
	line, rest, _ := bytes.Cut(b[:end+2], []byte("\r\n"))
	proto, line, ok := bytes.Cut(line, []byte{' '})
	code, _, _ := bytes.Cut(line, []byte{' '})
	if !ok || !bytes.HasPrefix(proto, []byte("HTTP/1.")) || len(code) != 3 {
		return h, 0, errHead
	}
	if h.status, err = strconv.Atoi(string(code)); err != nil || h.status < 100 {
		return h, 0, errHead
	}
	h.length = -1
	h.closes = string(proto) == "HTTP/1.0"
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return h, 0, errHead
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.Atoi(string(value))
			if err != nil || n < 0 || n > bodyMost || h.length >= 0 && h.length != n {
				return h, 0, errHead
			}
			h.length = n
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if !bytes.EqualFold(value, []byte("chunked")) {
				return h, 0, errHead
			}
			h.chunked = true
		case bytes.EqualFold(name, []byte("Connection")):
			if bytes.EqualFold(value, []byte("close")) {
				h.closes = true
			}
		}
	}
	return h, size, nil
}

// parseChunk reads the line that starts a chunk. size is 0 while the line is not whole.
func parseChunk(b []byte) (length, size int, err error) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > 256 {
			return 0, 0, errHead
		}
		return 0, 0, nil
	}
	digits, _, _ := bytes.Cut(b[:end], []byte{';'})
	n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
	if err != nil || n > bodyMost {
		return 0, 0, errHead
	}
	return int(n), end + 2, nil
}
