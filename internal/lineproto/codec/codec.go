// Package codec reads and writes the lines that clients, balancers and servers exchange.
//
// It does no I/O and holds no state: parsers work on the bytes that they are given, and the slices in their results are parts
// of these bytes. All functions may be called by any goroutine. Lines end with CRLF; what a server sends may also end with a
// bare LF.
package codec

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"
)

// MaxLineLength is the length of the longest line in bytes, its end included.
const MaxLineLength = 4 << 10

// Lines that the balancer itself sends.
const (
	Pong  = "PONG\r\n"
	No    = "NO\r\n"
	Err   = "ERR\r\n"
	Move  = "MOVE\r\n"
	Stats = "STATS\r\n" // to a server, on a connection for health checks
)

// Errors of ParseOpen.
var (
	ErrTooLong   = errors.New("line too long")
	ErrMalformed = errors.New("malformed line")
)

// Bounds of a number.
const (
	maxNumberLength = 24
	maxNumber       = 1e12
)

var (
	space  = []byte{' '}
	comma  = []byte{','}
	equals = []byte{'='}
	crlf   = []byte("\r\n")
)

// trimEnd cuts off the end of a line, CRLF or a bare LF.
func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}

// splitCommand splits a line into its first word and the rest, without the end.
func splitCommand(line []byte) (command, rest []byte) {
	command, rest, _ = bytes.Cut(trimEnd(line), space)
	return command, rest
}

// cutField cuts the first name=value pair off a list that is separated by commas. It reports false for a pair without a name
// or without an equals sign; pair is then what was cut off.
func cutField(list []byte) (pair, name, value, rest []byte, ok bool) {
	pair, rest, _ = bytes.Cut(list, comma)
	name, value, ok = bytes.Cut(pair, equals)
	return pair, name, value, rest, ok && len(name) > 0
}

// parseNumber reads a decimal number from 0 to maxNumber.
func parseNumber(text []byte) (float64, bool) {
	if len(text) == 0 || len(text) > maxNumberLength {
		return 0, false
	}
	number, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(number) || number < 0 || number > maxNumber {
		return 0, false
	}
	return number, true
}

// Busy is a rejection. With retryAfter above 0 it tells the client when to retry, in milliseconds rounded up.
func Busy(retryAfter time.Duration) []byte {
	line := []byte("BUSY")
	if retryAfter > 0 {
		milliseconds := (retryAfter + time.Millisecond - 1).Milliseconds()
		line = strconv.AppendInt(append(line, ' '), milliseconds, 10)
	}
	return append(line, '\r', '\n')
}
