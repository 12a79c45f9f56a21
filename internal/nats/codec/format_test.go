package codec_test

import (
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/nats/codec"
)

var update = flag.Bool("update", false, "write the files in testdata anew")

// compareLines compares lines with those of a file in testdata, or writes the file with -update.
func compareLines(t *testing.T, file string, got []string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.WriteFile(path, []byte(strings.Join(got, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(got) != len(want) {
		t.Errorf("%s: %d lines, want %d", path, len(got), len(want))
	}
	differ := 0
	for i := range min(len(got), len(want)) {
		if got[i] == want[i] {
			continue
		}
		if differ++; differ <= 5 {
			t.Errorf("%s:%d:\n got %s\nwant %s", path, i+1, got[i], want[i])
		}
	}
}

func digest(text string) string { return fmt.Sprintf("%.16x", sha256.Sum256([]byte(text))) }

func operation(op codec.Op) string {
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
	case codec.OK:
		return "+OK"
	case codec.Err:
		return "-ERR"
	default:
		return "unknown operation"
	}
}

// describeError is a fault as a client is told it.
func describeError(err error) string {
	var fault codec.ProtocolError
	if !errors.As(err, &fault) {
		return "an error of another type"
	}
	return fmt.Sprintf("error %q", fault.Error())
}

// describe is what Parse makes of the first frame, field by field.
func describe(b []byte, limits codec.Limits) string {
	f, n, err := codec.Parse(b, limits)
	switch {
	case err != nil:
		return describeError(err)
	case n == 0:
		return "more"
	}
	return fmt.Sprintf("%d bytes %s subject=%q reply=%q queue=%q sid=%q max=%d headers=%d body=%q payload=%q header=%q no header=%t whole=%t",
		n, operation(f.Op), f.Subject, f.Reply, f.Queue, f.SID, f.MaxMessages, f.HeaderSize, f.Body, f.Payload(), f.Header(),
		f.Header() == nil, string(f.Raw) == string(b[:n]))
}

// inPieces tells what Parse makes of a frame of which more and more has come: each result with the length from which it
// stands.
func inPieces(frame string, limits codec.Limits) string {
	var b strings.Builder
	last := ""
	for n := range len(frame) + 1 {
		if got := describe([]byte(frame[:n]), limits); n == 0 || got != last {
			fmt.Fprintf(&b, " %d: %s;", n, got)
			last = got
		}
	}
	return strings.TrimSpace(b.String())
}

const status = "NATS/1.0 503\r\n\r\n" // 16 bytes

// frames are good frames of every operation.
var frames = []string{
	"PING\r\n", "PING\n", "ping\r\n", "PiNg \r\n", "PING\t\r\n", "PING x\r\n", "PONG\r\n", "pong\n", "+OK\r\n",
	"+ok\r\n", "+OK fine\r\n",
	"-ERR 'Stale Connection'\r\n", "-err  'x' \r\n", "-ERR\r\n", "-ERR 'a \t b'\t\r\n",
	"INFO {\"server_id\":\"x\",\"max_payload\":7}\r\n", "info {}\r\n", "INFO \r\n", "INFO\t{} \r\n",
	"CONNECT {\"verbose\":false}\r\n", "connect\t{}\n", "CONNECT\r\n",
	"PUB a 2\r\nhi\r\n", "PUB a.b.c reply.to 2\r\nhi\r\n", "pub a 0\r\n\r\n", "PUB  a\t 2 \r\nhi\r\n",
	"PUB a 2\nhi\r\n", "PUB a 4\r\n\r\n\r\n\r\n", "PUB a 000000002\r\nhi\r\n",
	"HPUB a 16 18\r\n" + status + "hi\r\n", "HPUB a reply.to 16 18\r\n" + status + "hi\r\n", "hpub a 0 2\r\nhi\r\n",
	"HPUB a 16 16\r\n" + status + "\r\n", "HPUB a 0 0\r\n\r\n",
	"MSG a 1 2\r\nhi\r\n", "MSG a.b sid-7 reply.to 2\r\nhi\r\n", "msg a 1 0\r\n\r\n", "MSG a..b 1 0\r\n\r\n",
	"MSG > 1 *.x 0\r\n\r\n",
	"HMSG a 1 16 18\r\n" + status + "hi\r\n", "HMSG a 1 reply.to 16 18\r\n" + status + "hi\r\n", "hmsg a 1 0 0\r\n\r\n",
	"SUB a 1\r\n", "SUB a.*.c workers 1\r\n", "sub > 1\r\n", "SUB a.> q x\n", "SUB\ta\t1\t\r\n", "UNSUB 1\r\n",
	"UNSUB 1 5\r\n", "unsub x 0\n", "UNSUB 1 999999999\r\n",
}

// badFrames are what no peer may send, and what is not to be told yet.
var badFrames = []string{
	"", "\r\n", "\n", "\r", " PING\r\n", "HELLO\r\n", "HELLO", "GARBAGE", "GARBAGE!", "GARBAGE!!", "GARBAGES \r\n",
	"PINGS\r\n", "PINGPONGPING", "P\r\n", "CONNECT{}\r\n", "OK\r\n", "ERR\r\n", "+OKAY\r\n",
	"\x00\r\n", "PUB\r\n", "PUB a\r\n", "PUB a x\r\n", "PUB a 1 2 3\r\n", "PUB a b c d e f g 1\r\n", "PUB a -1\r\n",
	"PUB a +1\r\n", "PUB a 1.0\r\n", "PUB a 0000000002\r\nhi\r\n", "PUB a 999999999\r\n",
	"PUB a 1048576\r\n", "PUB a 1048577\r\n", "PUB a.* 0\r\n\r\n", "PUB a.> 0\r\n\r\n", "PUB a..b 0\r\n\r\n",
	"PUB .a 0\r\n\r\n", "PUB a. 0\r\n\r\n", "PUB a b.* 0\r\n\r\n", "PUB a b. 0\r\n\r\n",
	"PUB a 2\r\nhix\r\n", "PUB a 2\r\nhi\n", "PUB a 2\r\nhi\rx", "PUB a 2\r\nh\r\n", "PUB a.*b 0\r\n\r\n",
	"HPUB a\r\n", "HPUB a 1\r\n", "HPUB a 5 4\r\n", "HPUB a x 4\r\n", "HPUB a 4 x\r\n", "HPUB a b c 1 2\r\n",
	"HPUB a -1 2\r\n", "HPUB a.* 0 0\r\n\r\n", "HPUB a 0 1048577\r\n",
	"MSG\r\n", "MSG a\r\n", "MSG a 1\r\n", "MSG a 1 x\r\n", "MSG a 1 b c 2\r\n", "MSG a 1 1048577\r\n",
	"HMSG a 1 2\r\n", "HMSG a 1 3 2\r\n", "HMSG a 1 b c 1 2\r\n", "HMSG a 1 x 2\r\n",
	"SUB\r\n", "SUB a\r\n", "SUB a b c d\r\n", "SUB a b c d e f g\r\n", "SUB a.>.b 1\r\n", "SUB a..b 1\r\n",
	"SUB .a 1\r\n", "SUB a. q 1\r\n",
	"UNSUB\r\n", "UNSUB 1 x\r\n", "UNSUB 1 -1\r\n", "UNSUB 1 2 3\r\n", "UNSUB 1 9999999999\r\n",
}

func TestFramesReadInPieces(t *testing.T) {
	var lines []string
	for _, frame := range append(slices.Clone(frames), badFrames...) {
		lines = append(lines, fmt.Sprintf("%q: %s", frame, inPieces(frame, codec.Limits{})))
	}
	compareLines(t, "frames.txt", lines)
}

// Frames as long as a limit allows, and longer.
func TestLimitsOfFrames(t *testing.T) {
	limits := []struct {
		name   string
		limits codec.Limits
	}{
		{"none stated", codec.Limits{}},
		{"small", codec.Limits{MaxControlLine: 32, MaxPayload: 8}},
		{"no bound below zero", codec.Limits{MaxControlLine: -1, MaxPayload: -1}},
		{"small line", codec.Limits{MaxControlLine: 32}},
		{"small payload", codec.Limits{MaxPayload: 8}},
	}
	lines := []string{fmt.Sprintf("control line %d, payload %d", codec.DefaultMaxControlLine, codec.DefaultMaxPayload)}
	for _, l := range limits {
		for _, line := range []int{32, codec.DefaultMaxControlLine} {
			for _, start := range []string{
				"PUB ", "SUB ", "PING ", "CONNECT ", "MSG a 1 ", "INFO ", "-ERR ",
				"unknown ",
			} {
				for _, times := range []int{1, 16} {
					var b strings.Builder
					for more := -1; more <= 3; more++ {
						text := start + strings.Repeat("a", line*times+more-len(start))
						for _, end := range []string{"", "\r", "\n", "\r\n"} {
							fmt.Fprintln(&b, describe([]byte(text+end), l.limits))
						}
					}
					lines = append(lines, fmt.Sprintf("limits %s: %s, %d times %d bytes: %s", l.name, start, times,
						line, digest(b.String())))
				}
			}
		}
		for _, payload := range []int{
			7, 8, 9, 10, codec.DefaultMaxPayload - 1, codec.DefaultMaxPayload,
			codec.DefaultMaxPayload + 1,
		} {
			for _, head := range []string{"PUB a %d\r\n", "HPUB a 7 %d\r\n", "MSG a 1 %d\r\n"} {
				text := fmt.Sprintf(head, payload)
				lines = append(lines, fmt.Sprintf("limits %s: %q: %s", l.name, text, describe([]byte(text), l.limits)))
			}
		}
	}
	compareLines(t, "limits.txt", lines)
}

// spoilt are the frames that differ from a frame in one byte: left out, replaced or put in before it.
func spoilt(frame string) (all []string) {
	for i := range len(frame) + 1 {
		for _, c := range "\x00 \t\r\n.*>1x\xff-" {
			all = append(all, frame[:i]+string(byte(c))+frame[i:])
			if i < len(frame) {
				all = append(all, frame[:i]+string(byte(c))+frame[i+1:])
			}
		}
		if i < len(frame) {
			all = append(all, frame[:i]+frame[i+1:])
		}
	}
	return all
}

// Every frame with one byte other than it should be, as a digest of what Parse makes of it.
func TestSpoiltFrames(t *testing.T) {
	var lines []string
	for _, frame := range frames {
		all := spoilt(frame)
		var b strings.Builder
		for _, f := range all {
			fmt.Fprintf(&b, "%q: %s\n", f, describe([]byte(f), codec.Limits{}))
		}
		lines = append(lines, fmt.Sprintf("%q, %d frames: %s", frame, len(all), digest(b.String())))
	}
	compareLines(t, "spoilt.txt", lines)
}

// Drawn streams of frames, some with a fault, that come in pieces: one digest of what is read of each.
func TestDrawnStreams(t *testing.T) {
	var lines []string
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 24))
		var stream strings.Builder
		for range 1 + rng.IntN(12) {
			frame := frames[rng.IntN(len(frames))]
			if rng.IntN(15) == 0 {
				frame = badFrames[rng.IntN(len(badFrames))]
			}
			stream.WriteString(frame)
		}
		limits := codec.Limits{}
		if rng.IntN(4) == 0 {
			limits = codec.Limits{MaxControlLine: 18, MaxPayload: 17}
		}
		lines = append(lines, fmt.Sprintf("%04d %s", seed, digest(readStream(rng, stream.String(), limits))))
	}
	compareLines(t, "streams.txt", lines)
}

func readStream(rng *rand.Rand, stream string, limits codec.Limits) string {
	var b strings.Builder
	var held []byte
	for len(stream) > 0 {
		n := min(1+rng.IntN(30), len(stream))
		held, stream = append(held, stream[:n]...), stream[n:]
		for {
			text := describe(held, limits)
			fmt.Fprintf(&b, "%s\n", text)
			_, n, err := codec.Parse(held, limits)
			if err != nil {
				return b.String()
			}
			if n == 0 {
				break
			}
			held = held[n:]
		}
	}
	return b.String()
}

func TestFramesWritten(t *testing.T) {
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
	compareLines(t, "written.txt", lines)
}

func describeConnect(body []byte) string {
	options, members, err := codec.ParseConnect(body)
	if err != nil {
		return describeError(err)
	}
	echo := "not stated"
	if options.Echo != nil {
		echo = strconv.FormatBool(*options.Echo)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "accepted verbose=%t pedantic=%t headers=%t no_responders=%t", options.Verbose, options.Pedantic,
		options.Headers, options.NoResponders)
	fmt.Fprintf(&b, " name=%q user=%q token=%q echo=%s", options.Name, options.User, options.Token, echo)
	for _, name := range slices.Sorted(maps.Keys(members)) {
		fmt.Fprintf(&b, " [%q %q]", name, string(members[name]))
	}
	return b.String()
}

func describeInfo(body []byte) string {
	info, err := codec.ParseInfo(body)
	if err != nil {
		return describeError(err)
	}
	return fmt.Sprintf("accepted id=%q name=%q version=%q go=%q host=%q port=%d", info.ID, info.Name, info.Version, info.Go,
		info.Host, info.Port) +
		fmt.Sprintf(" headers=%t auth=%t payload=%d proto=%d", info.Headers, info.AuthRequired, info.MaxPayload, info.Proto) +
		fmt.Sprintf(" client=%d nonce=%q draining=%t", info.ClientID, info.Nonce, info.LameDuck)
}

func TestConnectAndInfoRead(t *testing.T) {
	var lines []string
	for _, body := range []string{
		`{"verbose":true,"pedantic":true,"headers":true,"no_responders":true,"name":"n","user":"u","auth_token":"t","echo":false,"lang":"go","tls_required":false,"x":[1, 2]}`,
		`{"verbose":false,"echo":true}`, `{}`, `{"echo":null,"name":null}`, `{"Verbose":true,"NAME":"x"}`,
		`{"verbose":1}`, `{"name":7}`, `[]`, `null`, `7`, `""`, ``, `{`, `{"a":1}x`,
		`{"name":"a","name":"b"}`, `{"name":"é\u00e9"}`,
	} {
		lines = append(lines, fmt.Sprintf("connect %q: %s", body, describeConnect([]byte(body))))
	}
	for _, body := range []string{
		`{"server_id":"id","server_name":"name","version":"2","go":"go1","host":"h","port":4222,"headers":true,"auth_required":true,"max_payload":9,"proto":1,"client_id":17,"nonce":"n","ldm":true,"x":1}`,
		`{}`, `{"ldm":true}`, `{"max_payload":"9"}`, `{"max_payload":-9}`, `{"client_id":-1}`, `{"port":1.5}`, `null`,
		`[]`, `7`, ``, `{`,
	} {
		lines = append(lines, fmt.Sprintf("info %q: %s", body, describeInfo([]byte(body))))
	}
	compareLines(t, "connect_info.txt", lines)
}

func TestSubjectsMatched(t *testing.T) {
	subjects := []string{
		"", ".", "a", "b", "ab", "*", ">", "a.", ".a", "a..b", "a.b", "a.*", "a.>", "*.b", "*.*",
		"*.>", ">.a", "a.>.b", "a.b.c", "a.*.c", "a.*c", "a.b>", "**", "a b",
		"$SYS.x", "_INBOX.abc.1", "é.ü",
	}
	var lines []string
	for _, subject := range subjects {
		var line strings.Builder
		fmt.Fprintf(&line, "%q: valid %t, valid with wildcards %t, tokens", subject,
			codec.ValidSubject([]byte(subject), false), codec.ValidSubject([]byte(subject), true))
		for n := range 4 {
			token := codec.Token([]byte(subject), n)
			fmt.Fprintf(&line, " %q %t", token, token == nil)
		}
		line.WriteString(", matches")
		for _, other := range subjects {
			if codec.MatchesSubject([]byte(subject), []byte(other)) {
				fmt.Fprintf(&line, " %q", other)
			}
		}
		lines = append(lines, line.String())
	}
	compareLines(t, "subjects.txt", lines)
}
