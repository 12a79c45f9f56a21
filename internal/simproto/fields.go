package simproto

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"example.org/milletvane/internal/settings"
)

// maxFloat bounds fractions: larger ones lose whole numbers in sums.
const maxFloat = 1e15

// fields iterates over the name=value pairs of a line. It stops at the first error and keeps it in err.
type fields struct {
	rest, key, value []byte
	err              error
}

// word returns what comes before the next space.
func (f *fields) word() []byte {
	word, rest, _ := bytes.Cut(f.rest, []byte{' '})
	f.rest = rest
	return word
}

// next moves to the next pair, and reports whether there is one.
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

// fail keeps the first error: the current value is not what was expected.
func (f *fields) fail(expected string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %q is not %s", f.key, f.value, expected)
	}
}

// integer returns the value as a whole number from 0 and below limit; with noLimit, as any int64.
func (f *fields) integer(limit int64) int64 {
	n, err := strconv.ParseInt(string(f.value), 10, 64)
	if err != nil || limit != noLimit && (n < 0 || n >= limit) {
		f.fail("a whole number in range")
		return 0
	}
	return n
}

// duration returns the value in nanoseconds.
func (f *fields) duration() time.Duration {
	n := f.integer(noLimit)
	if n < 0 {
		f.fail("a time")
	}
	return time.Duration(n)
}

// float returns the value as a number from 0 to maxFloat.
func (f *fields) float() float64 {
	v, err := strconv.ParseFloat(string(f.value), 64)
	if err != nil || v < 0 || v > maxFloat || math.IsNaN(v) {
		f.fail("a number in range")
		return 0
	}
	return v
}

func (f *fields) boolean() bool {
	v, ok := settings.ParseBool(string(f.value))
	if !ok {
		f.fail("a bool")
	}
	return v
}
