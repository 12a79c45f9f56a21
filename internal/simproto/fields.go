package simproto

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"example.org/milletvane/internal/settings"
)

// maxFloat is the largest float value that is accepted. Sums of larger values would lose integer precision.
const maxFloat = 1e15

// fields iterates over the name=value pairs of a line. It stops at the first error, which it stores in err. The rest is
// the part of the line that is not read yet; key and value belong to the current pair.
type fields struct {
	rest, key, value []byte
	err              error
}

// word removes the text up to the next space from the rest of the line, and returns it without the space.
func (f *fields) word() []byte {
	word, rest, _ := bytes.Cut(f.rest, []byte{' '})
	f.rest = rest
	return word
}

// next advances to the next pair and reports whether there is one. Repeated spaces are ignored.
func (f *fields) next() bool {
	for f.err == nil && len(f.rest) > 0 {
		pair := f.word()
		if len(pair) == 0 {
			continue
		}
		separator := bytes.IndexByte(pair, '=')
		if separator <= 0 {
			f.err = fmt.Errorf("%q is not name=value", pair)
			return false
		}
		f.key, f.value = pair[:separator], pair[separator+1:]
		return true
	}
	return false
}

// setError records that the current value is not what was expected, unless an error is recorded already.
func (f *fields) setError(expected string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %q is not %s", f.key, f.value, expected)
	}
}

// integer returns the value as an integer of at least 0 and below limit. With noLimit any int64 is accepted.
func (f *fields) integer(limit int64) int64 {
	n, err := strconv.ParseInt(string(f.value), 10, 64)
	if err != nil || limit != noLimit && (n < 0 || n >= limit) {
		f.setError("a whole number in range")
		return 0
	}
	return n
}

// duration returns the value, in nanoseconds, as a duration of at least 0.
func (f *fields) duration() time.Duration {
	n := f.integer(noLimit)
	if n < 0 {
		f.setError("a time")
	}
	return time.Duration(n)
}

// float returns the value as a number from 0 to maxFloat.
func (f *fields) float() float64 {
	v, err := strconv.ParseFloat(string(f.value), 64)
	if err != nil || v < 0 || v > maxFloat || math.IsNaN(v) {
		f.setError("a number in range")
		return 0
	}
	return v
}

// boolean returns the value as a boolean: 1, true, 0 or false.
func (f *fields) boolean() bool {
	v, ok := settings.ParseBool(string(f.value))
	if !ok {
		f.setError("a bool")
	}
	return v
}
