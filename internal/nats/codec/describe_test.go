package codec_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"

	"example.org/milletvane/internal/nats/codec"
)

func digest(text string) string { return fmt.Sprintf("%.16x", sha256.Sum256([]byte(text))) }

func operationName(op codec.Op) string {
	switch op {
	case codec.None:
		return "none"
	case codec.Info:
		return "INFO"
	case codec.Connect:
		return "CONNECT"
	case codec.Ping:
		return "PING"
	case codec.Pong:
		return "PONG"
	case codec.Pub:
		return "PUB"
	case codec.HPub:
		return "HPUB"
	case codec.Sub:
		return "SUB"
	case codec.Unsub:
		return "UNSUB"
	case codec.Msg:
		return "MSG"
	case codec.HMsg:
		return "HMSG"
	case codec.OpOK:
		return "+OK"
	case codec.OpErr:
		return "-ERR"
	default:
		return "unknown operation"
	}
}

// describeError describes an error by the text that a peer would receive.
func describeError(err error) string {
	var protocolError codec.ProtocolError
	if !errors.As(err, &protocolError) {
		return "an error of another type"
	}
	return fmt.Sprintf("error %q", protocolError.Error())
}

// describeFirstFrame describes the result of Parse for the first frame in b, field by field.
func describeFirstFrame(b []byte, limits codec.Limits) string {
	f, n, err := codec.Parse(b, limits)
	switch {
	case err != nil:
		return describeError(err)
	case n == 0:
		return "more"
	}
	return fmt.Sprintf("%d bytes %s subject=%q reply=%q queue=%q sid=%q max=%d headers=%d body=%q payload=%q header=%q no header=%t whole=%t",
		n, operationName(f.Op), f.Subject, f.Reply, f.Queue, f.SID, f.MaxMessages, f.HeaderSize, f.Body, f.Payload(),
		f.Header(), f.Header() == nil, string(f.Raw) == string(b[:n]))
}

// describePrefixes describes the results of Parse for all prefixes of a frame. Consecutive prefixes with the same result
// are listed once, with the length of the shortest of them.
func describePrefixes(frame string, limits codec.Limits) string {
	var b strings.Builder
	previous := ""
	for n := range len(frame) + 1 {
		if got := describeFirstFrame([]byte(frame[:n]), limits); n == 0 || got != previous {
			fmt.Fprintf(&b, " %d: %s;", n, got)
			previous = got
		}
	}
	return strings.TrimSpace(b.String())
}
