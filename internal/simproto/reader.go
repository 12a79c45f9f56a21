package simproto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	readBufferSize = 1 << 16
	maxNames       = 1 << 14 // names that are interned; further ones are allocated each time
)

// InputError is a line that the protocol does not allow. The input cannot be read any further.
type InputError struct {
	Line int // from 1; blank lines count
	Err  error
}

// Error names the line and says what is wrong with it.
func (e *InputError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns what is wrong with the line.
func (e *InputError) Unwrap() error { return e.Err }

// Reader reads batches. It must not be used by several goroutines at once.
type Reader struct {
	in    *bufio.Reader
	line  int
	long  []byte            // a line longer than the buffer of in
	names map[string]string // interned names of event kinds, classes, tenants, zones and groups
}

// NewReader returns a Reader of r. It buffers, and may read more from r than the batches it returns.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readBufferSize), names: map[string]string{}}
}

// Read reads the next batch into b, whose Events are reused. It returns io.EOF if the input ends between batches, an
// *InputError for a line that the protocol does not allow, and errors of the underlying reader as they are.
func (r *Reader) Read(b *Batch) error {
	b.Events = b.Events[:0]
	if err := r.readMark(b); err != nil {
		return err
	}
	for {
		line, err := r.nextNonBlank()
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
		ev, known, err := r.event(kind, &f)
		if err != nil {
			return err
		}
		if known {
			b.Events = append(b.Events, ev)
		}
	}
}

// readMark reads the line that begins a batch. A line without a time leaves that of the batch before.
func (r *Reader) readMark(b *Batch) error {
	line, err := r.nextNonBlank()
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

func (r *Reader) nextNonBlank() ([]byte, error) {
	for {
		line, err := r.next()
		if err != nil || len(line) > 0 {
			return line, err
		}
	}
}

// next returns the next line without its end, valid until the following call.
func (r *Reader) next() ([]byte, error) {
	b, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], b...)
		for errors.Is(err, bufio.ErrBufferFull) {
			b, err = r.in.ReadSlice('\n')
			r.long = append(r.long, b...)
		}
		b = r.long
	}
	if err != nil && (len(b) == 0 || !errors.Is(err, io.EOF)) {
		return nil, err
	}
	r.line++
	return bytes.TrimRight(b, "\r\n"), nil
}

// intern returns b as a string that is shared by all equal ones, up to maxNames different ones.
func (r *Reader) intern(b []byte) string {
	if s, ok := r.names[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(r.names) < maxNames {
		r.names[s] = s
	}
	return s
}

// errorf returns an *InputError for the current line.
func (r *Reader) errorf(format string, args ...any) error {
	return &InputError{Line: r.line, Err: fmt.Errorf(format, args...)}
}
