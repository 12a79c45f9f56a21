package membership_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"example.org/milletvane/internal/membership"
)

// Instances of different builds exchange packets, and a build may start on the incarnation file of another. These tests
// compare the packets and that file with testdata byte by byte, and the decoded values field by field.

var updateFormat = flag.Bool("update-format", false, "rewrite the files of testdata/format")

// compareGolden compares a text with a file of testdata. With -update-format it rewrites the file first.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "format", name)
	if *updateFormat {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || gotLines[i] != wantLines[i] {
			t.Fatalf("%s differs from line %d on:\n got %q\nwant %q", path, i+1, gotLines[min(i, len(gotLines)-1):], wantLines[min(i, len(wantLines)-1):])
		}
	}
}

func shortDigest(text string) string {
	d := sha256.Sum256([]byte(text))
	return hex.EncodeToString(d[:8])
}

func mustDecodeHex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// rawMessage returns the packet of a message, encoded independently of the package under test.
func rawMessage(name string, incarnation byte, body string) []byte {
	return slices.Concat([]byte{1, 1, byte(len(name))}, []byte(name), []byte{0, 0, 0, 0, 0, 0, 0, incarnation}, []byte(body))
}

// describeHandling passes packets to a new endpoint one after another. It returns the resulting messages, replies and counts
// as text, field by field.
func describeHandling(own uint64, bump func(uint64) (uint64, error), packets ...[]byte) string {
	var b strings.Builder
	e := membership.NewEndpoint(membership.Options{
		Name: "a", Incarnation: own,
		OnMessage: func(m membership.Message) {
			fmt.Fprintf(&b, "message from %q incarnation %d body %x\n", m.From, m.Incarnation, m.Payload)
		},
		BumpIncarnation: func(above uint64) (uint64, error) {
			fmt.Fprintf(&b, "incarnation %d is known\n", above)
			return bump(above)
		},
	})
	for _, p := range packets {
		to, reply := e.HandlePacket(p)
		fmt.Fprintf(&b, "reply to %q %x\n", to, reply)
	}
	fmt.Fprintf(&b, "own incarnation %d\n", e.Incarnation())
	counts := e.Counts()
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c := counts[name]
		fmt.Fprintf(&b, "peer %q incarnation %d: sent %d dropped %d received %d old %d bad %d\n", name, e.PeerIncarnation(name), c.Sent, c.Dropped, c.Received, c.Stale, c.Malformed)
	}
	return b.String()
}

func bumpByOne(above uint64) (uint64, error) { return above + 1, nil }

// Guards against changes of the packet format. Packets of every kind must have the bytes in testdata, and those bytes must
// decode to the values recorded there.
func TestPacketsKeepTheirFormat(t *testing.T) {
	var written strings.Builder
	for _, c := range []struct {
		name        string
		incarnation uint64
		body        string
	}{{"b", 7, "body"}, {"gateway-17.zone", 0x0102030405060708, "\x00\xff"}, {"b", 0, ""}, {strings.Repeat("n", 128), 1<<64 - 1, strings.Repeat("x", 1100)}} {
		e := membership.NewEndpoint(membership.Options{Name: c.name, Incarnation: c.incarnation})
		fmt.Fprintf(&written, "message %x\n", e.EncodeMessage([]byte(c.body)))
	}
	e := membership.NewEndpoint(membership.Options{Name: "a", Incarnation: 3})
	e.ObserveIncarnation("b", 0x0a0b0c0d0e0f1011)
	_, reply := e.HandlePacket(rawMessage("b", 5, "stale"))
	fmt.Fprintf(&written, "remembered %x\n", reply)
	compareGolden(t, "packets.written", written.String())

	stored, err := os.ReadFile(filepath.Join("testdata", "format", "packets.written"))
	if err != nil {
		t.Fatal(err)
	}
	var read strings.Builder
	for line := range strings.Lines(string(stored)) {
		kind, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		fmt.Fprintf(&read, "%s\n%s", kind, describeHandling(1, bumpByOne, mustDecodeHex(t, text)))
	}
	compareGolden(t, "packets.read", read.String())
}

// Guards against changes in which packets are accepted and how they are answered. The test passes packets with valid and
// invalid versions, kinds, lengths and incarnations, and compares the results with testdata.
func TestPacketsAreHandledAsBefore(t *testing.T) {
	message := rawMessage("b", 7, "body")
	remembered := func(incarnation byte) []byte {
		b := slices.Concat([]byte{1, 2, 1, 'b'}, make([]byte, 8))
		b[11] = incarnation
		return b
	}
	change := func(at int, to byte) []byte {
		b := slices.Clone(message)
		b[at] = to
		return b
	}
	long := func(name, body int) []byte {
		return slices.Concat([]byte{1, 1, byte(name)}, bytes.Repeat([]byte{'n'}, name), make([]byte, 8), make([]byte, body))
	}
	refuse := func(uint64) (uint64, error) { return 0, errors.New("no disk") }
	same := func(above uint64) (uint64, error) { return above, nil }
	var all strings.Builder
	for _, c := range []struct {
		name    string
		own     uint64
		bump    func(uint64) (uint64, error)
		packets [][]byte
	}{
		{"message", 1, bumpByOne, [][]byte{message}},
		{"twice", 1, bumpByOne, [][]byte{message, message}},
		{"later incarnation", 1, bumpByOne, [][]byte{message, rawMessage("b", 8, "x")}},
		{"earlier incarnation", 1, bumpByOne, [][]byte{message, rawMessage("b", 6, "x"), message}},
		{"two peers", 1, bumpByOne, [][]byte{message, rawMessage("c", 1, "x")}},
		{"its own name", 1, bumpByOne, [][]byte{rawMessage("a", 9, "x")}},
		{"nothing", 1, bumpByOne, [][]byte{nil, {}, {1}, {1, 1}}},
		{"another version", 1, bumpByOne, [][]byte{change(0, 0), change(0, 2)}},
		{"another kind", 1, bumpByOne, [][]byte{change(1, 0), change(1, 3), change(1, 255)}},
		{"no name", 1, bumpByOne, [][]byte{change(2, 0)}},
		{"name of 128", 1, bumpByOne, [][]byte{long(128, 1)}},
		{"name of 129", 1, bumpByOne, [][]byte{long(129, 1)}},
		{"body of 1100", 1, bumpByOne, [][]byte{long(4, 1100)}},
		{"body of 1101", 1, bumpByOne, [][]byte{long(4, 1101)}},
		{"remembered later", 1, bumpByOne, [][]byte{remembered(9), remembered(9), remembered(10), remembered(11)}},
		{"remembered own", 9, bumpByOne, [][]byte{remembered(9)}},
		{"remembered earlier", 10, bumpByOne, [][]byte{remembered(9)}},
		{"remembered without a disk", 1, refuse, [][]byte{remembered(9), remembered(9)}},
		{"remembered and not raised", 1, same, [][]byte{remembered(9)}},
	} {
		fmt.Fprintf(&all, "%s\n%s\n", c.name, describeHandling(c.own, c.bump, c.packets...))
	}
	for _, base := range [][]byte{message, remembered(9), long(3, 20)} {
		var cuts, flips strings.Builder
		for at := range base {
			cuts.WriteString(describeHandling(1, bumpByOne, base[:at]))
			for bit := range 8 {
				b := slices.Clone(base)
				b[at] ^= 1 << bit
				flips.WriteString(describeHandling(1, bumpByOne, b, message))
			}
		}
		fmt.Fprintf(&all, "%x: cuts %s flips %s\n", base, shortDigest(cuts.String()), shortDigest(flips.String()))
	}
	o := membership.NewEndpoint(membership.Options{}).Options()
	fmt.Fprintf(&all, "bounds: %d bytes a second, %d messages, a body of %d, 1000 bytes in %d\n", o.BytesPerSecond, o.MaxQueuedMessages, membership.MaxPayloadBytes, o.SendDuration(1000))
	compareGolden(t, "packets.taken", all.String())
}
