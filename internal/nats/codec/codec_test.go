package codec

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawFrame draws a random valid frame.
func drawFrame(t *rapid.T) []byte {
	token := rapid.StringMatching(`[a-zA-Z0-9_$-]{1,6}`)
	subject := rapid.Map(rapid.SliceOfN(token, 1, 4), func(s []string) []byte { return []byte(strings.Join(s, ".")) })
	reply := rapid.OneOf(rapid.Just([]byte(nil)), subject)
	body := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "body")
	headers := 0
	if rapid.Bool().Draw(t, "headers") {
		h := AppendStatus(nil, 503, "", 0)
		headers, body = len(h), append(h, body...)
	}
	sid := []byte(token.Draw(t, "sid"))
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return []byte(PingFrame)
	case 1:
		return []byte("pong\r\n")
	case 2:
		frame := AppendPub(nil, subject.Draw(t, "s"), reply.Draw(t, "r"), headers, len(body))
		return append(append(frame, body...), "\r\n"...)
	case 3:
		frame := AppendMsg(nil, subject.Draw(t, "s"), sid, reply.Draw(t, "r"), headers, len(body))
		return append(append(frame, body...), "\r\n"...)
	case 4:
		return AppendSub(nil, subject.Draw(t, "s"), reply.Draw(t, "q"), sid)
	case 5:
		return AppendUnsub(nil, sid, rapid.IntRange(0, 99).Draw(t, "max"))
	case 6:
		return AppendErr(nil, "Stale Connection")
	case 7:
		return AppendJSON(nil, "INFO", ServerInfo{ID: "x", MaxPayload: 7})
	default:
		return []byte("CONNECT {\"verbose\":false}\r\n")
	}
}

// frameText returns the values of all fields of a frame as text.
func frameText(f *Frame) string {
	return fmt.Sprintf("%d %q %q %q %q %d %d %q %q", f.Op, f.Subject, f.Reply, f.Queue, f.SID, f.MaxMessages,
		f.HeaderSize, f.Body, f.Raw)
}

// A stream arrives in fragments that do not end at frame boundaries. Parse must return the same frames as for an unfragmented
// stream.
func TestParseFragmentedStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var want []string
		for range rapid.IntRange(1, 8).Draw(t, "frames") {
			b := drawFrame(t)
			f, n, err := Parse(b, Limits{})
			if err != nil || n != len(b) {
				t.Fatalf("Parse(%q): got length %d, want %d; error %v", b, n, len(b), err)
			}
			want = append(want, frameText(&f))
			stream = append(stream, b...)
		}
		var got []string
		var unparsed []byte
		for len(stream) > 0 {
			n := min(rapid.IntRange(1, 50).Draw(t, "cut"), len(stream))
			unparsed, stream = append(unparsed, stream[:n]...), stream[n:]
			for len(unparsed) > 0 {
				f, n, err := Parse(unparsed, Limits{})
				if err != nil {
					t.Fatalf("Parse(%q): unexpected error %v", unparsed, err)
				}
				if n == 0 {
					break
				}
				got = append(got, frameText(&f))
				unparsed = unparsed[n:]
			}
		}
		if len(unparsed) > 0 || strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Fatalf("got frames %q and %q left unparsed, want frames %q", got, unparsed, want)
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"PING\r\n", "PUB a 2\r\nhi\r\n", "HPUB a b 12 14\r\nNATS/1.0\r\n\r\nhi\r\n", "SUB a q 1\r\n", "UNSUB 1 5\r\n",
		"MSG a 1 2\r\nhi\r\n", "INFO {}\r\n", "CONNECT {}\r\n", "-ERR 'x'\r\n", "+OK\r\n", "PUB a 999999999\r\n",
		"\r\n", "PUB  a\t0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	limits := Limits{MaxControlLine: 64, MaxPayload: 128}
	f.Fuzz(func(t *testing.T, b []byte) {
		for len(b) > 0 {
			frame, n, err := Parse(b, limits)
			if err != nil {
				var e ProtocolError
				if !errors.As(err, &e) {
					t.Fatalf("error %v is not a ProtocolError", err)
				}
				return
			}
			if n == 0 {
				// The limits also bound the size of an incomplete frame.
				if limit := limits.MaxControlLine*infoLineFactor + 2 + limits.MaxPayload + 2; len(b) > limit {
					t.Fatalf("got an incomplete frame of %d bytes, want at most %d", len(b), limit)
				}
				return
			}
			if len(frame.Raw) != n || frame.HeaderSize > len(frame.Body) {
				t.Fatalf("length %d does not match the frame, or its headers exceed its body: %+v", n, frame)
			}
			b = b[n:]
		}
	})
}

func TestParseErrors(t *testing.T) {
	for in, want := range map[string]error{
		"HELLO\r\n":                           ErrUnknownOperation,
		"GARBAGE!!":                           ErrUnknownOperation,
		"\r\n":                                ErrParse,
		"PUB a\r\n":                           ErrParse,
		"PUB a x\r\n":                         ErrParse,
		"PUB a 1 2 3\r\n":                     ErrParse,
		"PUB a -1\r\n":                        ErrParse,
		"PUB a 4\r\nhix\r\n\r\n":              ErrParse,
		"PUB a 9999999999\r\n":                ErrParse,
		"PUB a 1048577\r\n":                   ErrMaxPayload,
		"PUB a.* 0\r\n\r\n":                   ErrPubSubject,
		"PUB a..b 0\r\n\r\n":                  ErrPubSubject,
		"SUB a.>.b 1\r\n":                     ErrSubject,
		"SUB a\r\n":                           ErrParse,
		"UNSUB\r\n":                           ErrParse,
		"HPUB a 5 4\r\n":                      ErrParse,
		"PUB " + strings.Repeat("a", 5000):    ErrMaxControlLine,
		"INFO " + strings.Repeat("a", 5000):   nil,
		"INFO " + strings.Repeat("a", 70_000): ErrMaxControlLine,
		"PUB a 10\r\nhi":                      nil,
		"PU":                                  nil,
	} {
		t.Run(fmt.Sprintf("%.20q of %d bytes", in, len(in)), func(t *testing.T) {
			if _, n, err := Parse([]byte(in), Limits{}); !errors.Is(err, want) || n != 0 {
				t.Errorf("got length %d and error %v, want 0 and %v", n, err, want)
			}
		})
	}
}

func TestMatchesSubject(t *testing.T) {
	for _, c := range []struct {
		pattern, subject string
		want             bool
	}{
		{"a.b", "a.b", true},
		{"a.*", "a.b", true},
		{"a.*", "a.b.c", false},
		{"a.>", "a.b.c", true},
		{"a.>", "a", false},
		{">", "a", true},
		{"*.b", "a.b", true},
		{"a", "a.b", false},
		{"a.b", "a", false},
		{"a.*.c", "a.b.c", true},
	} {
		t.Run(c.pattern+" and "+c.subject, func(t *testing.T) {
			if got := MatchesSubject([]byte(c.pattern), []byte(c.subject)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestToken(t *testing.T) {
	if got := Token([]byte("a.b.c"), 1); string(got) != "b" || Token([]byte("a"), 1) != nil {
		t.Errorf("got token %q, want \"b\" for token 1 of \"a.b.c\" and nil for token 1 of \"a\"", got)
	}
}

func TestAppendStatus(t *testing.T) {
	got := AppendStatus(nil, StatusTooManyRequests, "Refused", 1500*time.Microsecond)
	if want := "NATS/1.0 429 Refused\r\nRetry-After-Ms: 2\r\n\r\n"; string(got) != want {
		t.Errorf("got %q, want status 429 with Retry-After-Ms 2", got)
	}
	if got := AppendStatus(nil, StatusNoResponders, "", 0); string(got) != "NATS/1.0 503\r\n\r\n" {
		t.Errorf("got %q, want status 503 without a description", got)
	}
}

func TestParseDoesNotAllocate(t *testing.T) {
	b := []byte("HPUB a.b reply.to 12 14\r\nNATS/1.0\r\n\r\nhi\r\n")
	if n := testing.AllocsPerRun(100, func() {
		if _, n, err := Parse(b, Limits{}); n != len(b) || err != nil {
			t.Fatal(n, err)
		}
	}); n != 0 {
		t.Errorf("got %v allocations, want 0", n)
	}
	if !bytes.HasPrefix(b, []byte("HPUB")) {
		t.Error("Parse modified its input")
	}
}

func BenchmarkParse(b *testing.B) {
	frame := append(append([]byte("MSG updates.oviedo.17 42 128\r\n"), bytes.Repeat([]byte{'x'}, 128)...), "\r\n"...)
	b.SetBytes(int64(len(frame)))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Parse(frame, Limits{}); err != nil {
			b.Fatal(err)
		}
	}
}
