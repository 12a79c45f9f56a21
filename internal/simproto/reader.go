package simproto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	readBufferSize   = 1 << 16 // bytes
	maxInternedNames = 1 << 14 // names beyond this number are allocated at each use
)

// InputError reports a line that violates the protocol. Reading cannot continue after it.
type InputError struct {
	Line int   // line number, from 1; blank lines count
	Err  error // what is wrong with the line
}

// Error returns the line number and the violation.
func (e *InputError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns Err.
func (e *InputError) Unwrap() error { return e.Err }

// Reader reads batches of events. It must not be used by several goroutines at once.
type Reader struct {
	in       *bufio.Reader
	line     int               // number of the current line, from 1
	longLine []byte            // buffer for a line that does not fit into the buffer of in
	names    map[string]string // interned names of event kinds, list modes, classes, tenants, zones and groups
}

// NewReader returns a Reader that reads from r. It buffers its input and may read more from r than the batches that it
// returns.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readBufferSize), names: map[string]string{}}
}

// Read reads the next batch into b and reuses the memory of b.Events. It returns io.EOF if the input ends between batches,
// an *InputError for a line that violates the protocol, and errors of the underlying reader unchanged.
func (r *Reader) Read(b *Batch) error {
	b.Events = b.Events[:0]
	if err := r.readMark(b); err != nil {
		return err
	}
	for {
		line, err := r.nextNonBlankLine()
		if errors.Is(err, io.EOF) {
			return r.errorf("input ends inside a batch")
		}
		if err != nil {
			return err
		}
		f := fields{rest: line}
		kind := f.word()
		if string(kind) == "over_to_you" {
			return nil
		}
		ev, known, err := r.decodeEvent(kind, &f)
		if err != nil {
			return err
		}
		if known {
			b.Events = append(b.Events, ev)
		}
	}
}

// readMark reads the mark line that begins a batch. If the line has no time, b.Now keeps its value.
func (r *Reader) readMark(b *Batch) error {
	line, err := r.nextNonBlankLine()
	if err != nil {
		return err
	}
	f := fields{rest: line}
	if word := f.word(); string(word) != "mark" {
		return r.errorf("expected mark, found %q", word)
	}
	for f.next() {
		if string(f.key) == "t_ns" {
			b.Now = f.duration()
		}
	}
	if f.err != nil {
		return r.errorf("mark: %w", f.err)
	}
	return nil
}

func (r *Reader) nextNonBlankLine() ([]byte, error) {
	for {
		line, err := r.nextLine()
		if err != nil || len(line) > 0 {
			return line, err
		}
	}
}

// nextLine returns the next line without its line break. The line is valid until the next call.
func (r *Reader) nextLine() ([]byte, error) {
	b, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine[:0], b...)
		for errors.Is(err, bufio.ErrBufferFull) {
			b, err = r.in.ReadSlice('\n')
			r.longLine = append(r.longLine, b...)
		}
		b = r.longLine
	}
	if err != nil && (len(b) == 0 || !errors.Is(err, io.EOF)) {
		return nil, err
	}
	r.line++
	return bytes.TrimRight(b, "\r\n"), nil
}

// intern returns b as a string. It stores up to maxInternedNames different strings and returns the stored one for equal
// bytes, which saves an allocation.
func (r *Reader) intern(b []byte) string {
	if s, ok := r.names[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(r.names) < maxInternedNames {
		r.names[s] = s
	}
	return s
}

// errorf returns an *InputError for the current line.
func (r *Reader) errorf(format string, args ...any) error {
	return &InputError{Line: r.line, Err: fmt.Errorf(format, args...)}
}
