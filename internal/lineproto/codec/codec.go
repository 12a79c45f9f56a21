// Package codec parses and formats the lines that clients, balancers and servers exchange.
//
// It does no I/O and holds no state. Parsers don't copy: the slices in their results refer to the bytes that were parsed.
// All functions may be called by any goroutine. Lines end with CRLF; lines of a server may also end with a bare LF.
package codec

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"
)

// MaxLineLength is the length of the longest line in bytes, including its line end.
const MaxLineLength = 4 << 10

// Lines that the balancer sends on its own behalf.
const (
	Pong  = "PONG\r\n"
	No    = "NO\r\n"
	Err   = "ERR\r\n"
	Move  = "MOVE\r\n"
	Stats = "STATS\r\n" // asks a server for its load report, on a connection for load polls
)

// Errors that ParseOpen returns.
var (
	ErrTooLong   = errors.New("line too long")
	ErrMalformed = errors.New("malformed line")
)

// Limits of a number: its length in bytes and its value.
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

// trimEnd returns the line without its line end, CRLF or a bare LF.
func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'})
}

// splitCommand splits a line into its first word and the rest, without the line end.
func splitCommand(line []byte) (command, rest []byte) {
	command, rest, _ = bytes.Cut(trimEnd(line), space)
	return command, rest
}

// cutField splits the first name=value pair off a list of pairs that are separated by commas. pair is the text that was
// split off. ok is false if it has no name or no equals sign.
func cutField(list []byte) (pair, name, value, rest []byte, ok bool) {
	pair, rest, _ = bytes.Cut(list, comma)
	name, value, ok = bytes.Cut(pair, equals)
	return pair, name, value, rest, ok && len(name) > 0
}

// parseNumber parses a decimal number from 0 to maxNumber and reports whether it is valid.
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

// Busy returns a BUSY line, which rejects a request. If retryAfter is above zero, the line tells the client after how many
// milliseconds to retry, rounded up.
func Busy(retryAfter time.Duration) []byte {
	line := []byte("BUSY")
	if retryAfter > 0 {
		milliseconds := (retryAfter + time.Millisecond - 1).Milliseconds()
		line = strconv.AppendInt(append(line, ' '), milliseconds, 10)
	}
	return append(line, '\r', '\n')
}
