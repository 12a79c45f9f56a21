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
	add := func(name string, b []byte) { lines = append(lines, fmt.Sprintf("%s: %q", name, b)) }
	before := func() []byte { return []byte("before ") }
	for _, reply := range []string{"", "reply.to"} {
		for _, headers := range []int{0, 1, 16} {
			for _, size := range []int{0, 16, 1 << 20} {
				name := fmt.Sprintf("reply %q, headers %d, size %d", reply, headers, size)
				add("publish, "+name, codec.AppendPub(before(), []byte("a.b"), []byte(reply), headers, size))
				add("message, "+name, codec.AppendMsg(before(), []byte("a.b"), []byte("sid-7"), []byte(reply),
					headers, size))
			}
		}
	}
	for _, queue := range []string{"", "workers"} {
		add("subscribe", codec.AppendSub(before(), []byte("a.>"), []byte(queue), []byte("7")))
	}
	for _, count := range []int{-1, 0, 1, 12345} {
		add(fmt.Sprint("unsubscribe after ", count), codec.AppendUnsub(before(), []byte("7"), count))
	}
	for _, fault := range []codec.ProtocolError{
		codec.ErrUnknownOperation, codec.ErrParse, codec.ErrMaxControlLine, codec.ErrMaxPayload,
		codec.ErrSubject, codec.ErrPubSubject, "",
	} {
		add("error", codec.AppendErr(before(), string(fault)))
	}
	add("empty info", codec.AppendJSON(before(), "INFO", codec.ServerInfo{}))
	add("full info", codec.AppendJSON(nil, "INFO", codec.ServerInfo{
		ID: "id", Name: "name", Version: "2.10",
		Go: "go1", Host: "host", Port: 4222,
		Headers: true, AuthRequired: true, MaxPayload: 1 << 20, Proto: 1, ClientID: 17, Nonce: "nonce",
		LameDuck: true,
	}))
	echo := false
	add("full connect", codec.AppendJSON(nil, "CONNECT", codec.ConnectOptions{
		Verbose: true, Pedantic: true, Headers: true,
		NoResponders: true,
		Name:         "name", User: "user", Token: "token", Echo: &echo,
	}))
	add("empty connect", codec.AppendJSON(nil, "CONNECT", codec.ConnectOptions{}))
	add("members as they came", codec.AppendJSON(nil, "CONNECT", map[string]any{"b": 1, "a": "<&>", "c": nil}))
	for _, code := range []int{
		codec.StatusNoResponders, codec.StatusTimeout, codec.StatusTooManyRequests, codec.StatusServerError,
		0,
	} {
		for _, words := range []string{"", "Two Words"} {
			for _, after := range []time.Duration{-1, 0, 1, time.Millisecond, 1500 * time.Microsecond, time.Minute} {
				add(fmt.Sprintf("status %d %q after %d", code, words, after.Nanoseconds()),
					codec.AppendStatus(before(), code, words, after))
			}
		}
	}
	golden.CheckLines(t, "written.txt", lines)
}
