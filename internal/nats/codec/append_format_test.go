package codec_test

import (
	"fmt"
	"testing"
	"time"

	"example.org/milletvane/internal/golden"

	"example.org/milletvane/internal/nats/codec"
)

func TestAppendFrames(t *testing.T) {
	lines := []string{
		fmt.Sprintf("ping %q", codec.PingFrame), fmt.Sprintf("pong %q", codec.PongFrame),
		fmt.Sprintf("ok %q", codec.OKFrame),
	}
	addLine := func(name string, b []byte) { lines = append(lines, fmt.Sprintf("%s: %q", name, b)) }
	prefix := func() []byte { return []byte("before ") }
	for _, reply := range []string{"", "reply.to"} {
		for _, headerSize := range []int{0, 1, 16} {
			for _, size := range []int{0, 16, 1 << 20} {
				name := fmt.Sprintf("reply %q, headers %d, size %d", reply, headerSize, size)
				addLine("publish, "+name, codec.AppendPub(prefix(), []byte("a.b"), []byte(reply), headerSize, size))
				addLine("message, "+name, codec.AppendMsg(prefix(), []byte("a.b"), []byte("sid-7"), []byte(reply),
					headerSize, size))
			}
		}
	}
	for _, queue := range []string{"", "workers"} {
		addLine("subscribe", codec.AppendSub(prefix(), []byte("a.>"), []byte(queue), []byte("7")))
	}
	for _, count := range []int{-1, 0, 1, 12345} {
		addLine(fmt.Sprint("unsubscribe after ", count), codec.AppendUnsub(prefix(), []byte("7"), count))
	}
	for _, protocolError := range []codec.ProtocolError{
		codec.ErrUnknownOperation, codec.ErrParse, codec.ErrMaxControlLine, codec.ErrMaxPayload,
		codec.ErrSubject, codec.ErrPubSubject, "",
	} {
		addLine("error", codec.AppendErr(prefix(), string(protocolError)))
	}
	addLine("empty info", codec.AppendJSON(prefix(), "INFO", codec.ServerInfo{}))
	addLine("full info", codec.AppendJSON(nil, "INFO", codec.ServerInfo{
		ID: "id", Name: "name", Version: "2.10",
		Go: "go1", Host: "host", Port: 4222,
		Headers: true, AuthRequired: true, MaxPayload: 1 << 20, Proto: 1, ClientID: 17, Nonce: "nonce",
		LameDuck: true,
	}))
	echo := false
	addLine("full connect", codec.AppendJSON(nil, "CONNECT", codec.ConnectOptions{
		Verbose: true, Pedantic: true, Headers: true,
		NoResponders: true,
		Name:         "name", User: "user", Token: "token", Echo: &echo,
	}))
	addLine("empty connect", codec.AppendJSON(nil, "CONNECT", codec.ConnectOptions{}))
	addLine("members as they came", codec.AppendJSON(nil, "CONNECT", map[string]any{"b": 1, "a": "<&>", "c": nil}))
	for _, code := range []int{
		codec.StatusNoResponders, codec.StatusTimeout, codec.StatusTooManyRequests, codec.StatusServerError,
		0,
	} {
		for _, description := range []string{"", "Two Words"} {
			for _, retryAfter := range []time.Duration{-1, 0, 1, time.Millisecond, 1500 * time.Microsecond, time.Minute} {
				addLine(fmt.Sprintf("status %d %q after %d", code, description, retryAfter.Nanoseconds()),
					codec.AppendStatus(prefix(), code, description, retryAfter))
			}
		}
	}
	golden.CheckLines(t, "written.txt", lines)
}
