package backend

import "bytes"

// maxLinePrefix is how many bytes of a line are kept in order to parse its command.
const maxLinePrefix = 64

// lineTracker keeps the start of the current line of a stream that arrives in pieces.
type lineTracker struct {
	prefix []byte
}

// nextLine consumes the bytes of b up to the end of the first line. It returns the start of that line, valid until the next
// call, and the bytes after the line. complete is false if b contains no end of a line.
func (t *lineTracker) nextLine(b []byte) (prefix, rest []byte, complete bool) {
	part := b
	end := bytes.IndexByte(b, '\n')
	if end >= 0 {
		part, rest = b[:end+1], b[end+1:]
	}
	if room := maxLinePrefix - len(t.prefix); room > 0 {
		t.prefix = append(t.prefix, part[:min(len(part), room)]...)
	}
	if end < 0 {
		return nil, nil, false
	}
	prefix = t.prefix
	t.prefix = t.prefix[:0]
	return prefix, rest, true
}
