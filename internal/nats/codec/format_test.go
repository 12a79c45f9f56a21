package codec_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"example.org/milletvane/internal/golden"

	"example.org/milletvane/internal/nats/codec"
)

const statusHeaders = "NATS/1.0 503\r\n\r\n" // size: 16 bytes

// validFrames holds valid frames of every operation.
var validFrames = []string{
	"PING\r\n", "PING\n", "ping\r\n", "PiNg \r\n", "PING\t\r\n", "PING x\r\n", "PONG\r\n", "pong\n", "+OK\r\n",
	"+ok\r\n", "+OK fine\r\n",
	"-ERR 'Stale Connection'\r\n", "-err  'x' \r\n", "-ERR\r\n", "-ERR 'a \t b'\t\r\n",
	"INFO {\"server_id\":\"x\",\"max_payload\":7}\r\n", "info {}\r\n", "INFO \r\n", "INFO\t{} \r\n",
	"CONNECT {\"verbose\":false}\r\n", "connect\t{}\n", "CONNECT\r\n",
	"PUB a 2\r\nhi\r\n", "PUB a.b.c reply.to 2\r\nhi\r\n", "pub a 0\r\n\r\n", "PUB  a\t 2 \r\nhi\r\n",
	"PUB a 2\nhi\r\n", "PUB a 4\r\n\r\n\r\n\r\n", "PUB a 000000002\r\nhi\r\n",
	"HPUB a 16 18\r\n" + statusHeaders + "hi\r\n", "HPUB a reply.to 16 18\r\n" + statusHeaders + "hi\r\n",
	"hpub a 0 2\r\nhi\r\n",
	"HPUB a 16 16\r\n" + statusHeaders + "\r\n", "HPUB a 0 0\r\n\r\n",
	"MSG a 1 2\r\nhi\r\n", "MSG a.b sid-7 reply.to 2\r\nhi\r\n", "msg a 1 0\r\n\r\n", "MSG a..b 1 0\r\n\r\n",
	"MSG > 1 *.x 0\r\n\r\n",
	"HMSG a 1 16 18\r\n" + statusHeaders + "hi\r\n", "HMSG a 1 reply.to 16 18\r\n" + statusHeaders + "hi\r\n",
	"hmsg a 1 0 0\r\n\r\n",
	"SUB a 1\r\n", "SUB a.*.c workers 1\r\n", "sub > 1\r\n", "SUB a.> q x\n", "SUB\ta\t1\t\r\n", "UNSUB 1\r\n",
	"UNSUB 1 5\r\n", "unsub x 0\n", "UNSUB 1 999999999\r\n",
}

// invalidFrames holds frames that violate the protocol, and incomplete frames.
var invalidFrames = []string{
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

func TestParseIncompleteFrames(t *testing.T) {
	var lines []string
	for _, frame := range append(slices.Clone(validFrames), invalidFrames...) {
		lines = append(lines, fmt.Sprintf("%q: %s", frame, describePrefixes(frame, codec.Limits{})))
	}
	golden.CheckLines(t, "frames.txt", lines)
}

// Checks the results of Parse for frames whose control line or payload is slightly below or above a limit.
func TestParseLimits(t *testing.T) {
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
					for extraBytes := -1; extraBytes <= 3; extraBytes++ {
						text := start + strings.Repeat("a", line*times+extraBytes-len(start))
						for _, end := range []string{"", "\r", "\n", "\r\n"} {
							fmt.Fprintln(&b, describeFirstFrame([]byte(text+end), l.limits))
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
				lines = append(lines, fmt.Sprintf("limits %s: %q: %s", l.name, text, describeFirstFrame([]byte(text), l.limits)))
			}
		}
	}
	golden.CheckLines(t, "limits.txt", lines)
}

// corruptions returns the frames that result from removing, replacing or inserting one byte of a frame.
func corruptions(frame string) (all []string) {
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

// Checks the results of Parse for each one-byte corruption of each valid frame, by one digest for each valid frame.
func TestParseCorruptedFrames(t *testing.T) {
	var lines []string
	for _, frame := range validFrames {
		corrupted := corruptions(frame)
		var b strings.Builder
		for _, f := range corrupted {
			fmt.Fprintf(&b, "%q: %s\n", f, describeFirstFrame([]byte(f), codec.Limits{}))
		}
		lines = append(lines, fmt.Sprintf("%q, %d frames: %s", frame, len(corrupted), digest(b.String())))
	}
	golden.CheckLines(t, "spoilt.txt", lines)
}

// Checks the results of Parse for random streams that arrive in fragments and contain some invalid frames, by one digest for
// each stream.
func TestParseRandomStreams(t *testing.T) {
	var lines []string
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 24))
		var stream strings.Builder
		for range 1 + rng.IntN(12) {
			frame := validFrames[rng.IntN(len(validFrames))]
			if rng.IntN(15) == 0 {
				frame = invalidFrames[rng.IntN(len(invalidFrames))]
			}
			stream.WriteString(frame)
		}
		limits := codec.Limits{}
		if rng.IntN(4) == 0 {
			limits = codec.Limits{MaxControlLine: 18, MaxPayload: 17}
		}
		lines = append(lines, fmt.Sprintf("%04d %s", seed, digest(describeStream(rng, stream.String(), limits))))
	}
	golden.CheckLines(t, "streams.txt", lines)
}

// describeStream describes the results of Parse for a stream that arrives in random fragments, up to the first error.
func describeStream(rng *rand.Rand, stream string, limits codec.Limits) string {
	var b strings.Builder
	var unparsed []byte
	for len(stream) > 0 {
		n := min(1+rng.IntN(30), len(stream))
		unparsed, stream = append(unparsed, stream[:n]...), stream[n:]
		for {
			text := describeFirstFrame(unparsed, limits)
			fmt.Fprintf(&b, "%s\n", text)
			_, n, err := codec.Parse(unparsed, limits)
			if err != nil {
				return b.String()
			}
			if n == 0 {
				break
			}
			unparsed = unparsed[n:]
		}
	}
	return b.String()
}

func TestSubjectFunctions(t *testing.T) {
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
	golden.CheckLines(t, "subjects.txt", lines)
}
