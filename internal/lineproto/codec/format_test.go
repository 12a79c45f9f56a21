package codec_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/golden"

	"example.org/milletvane/internal/lineproto/codec"
)

func digest(text string) string { return fmt.Sprintf("%.16x", sha256.Sum256([]byte(text))) }

// The functions below return the results of the parsers as text, field by field.

func describeOpen(line []byte) string {
	open, err := codec.ParseOpen(line)
	switch {
	case errors.Is(err, codec.ErrTooLong):
		return "too long"
	case errors.Is(err, codec.ErrMalformed):
		return "malformed"
	case err != nil:
		return "another error"
	}
	return fmt.Sprintf("id=%q key=%q class=%q group=%q tenant=%q at=%q wait=%d hint=%v retry=%t returned=%t mid=%t whole=%t",
		open.ID, open.Key, open.Class, open.Group, open.Tenant, open.Owner, open.Timeout.Nanoseconds(), open.Load,
		open.Retry, open.Reconnecting, open.MidFlow, string(open.Line) == string(line))
}

func describeKind(line []byte) string {
	switch kind := codec.ParseRequestKind(line); kind {
	case codec.RequestOpen:
		return "OPEN"
	case codec.RequestPing:
		return "PING"
	case codec.RequestStats:
		return "STATS"
	case codec.RequestOther:
		return "other"
	default:
		return "unknown kind"
	}
}

func describeReply(line []byte) string {
	reply := codec.ParseReply(line)
	kind := "unknown word"
	switch reply.Kind {
	case codec.ReplyOther:
		kind = "other"
	case codec.ReplyUp:
		kind = "UP"
	case codec.ReplyBye:
		kind = "BYE"
	case codec.ReplyMove:
		kind = "MOVE"
	case codec.ReplyErr:
		kind = "ERR"
	case codec.ReplyBusy:
		kind = "BUSY"
	case codec.ReplyLoad:
		kind = "LOAD"
	}
	return fmt.Sprintf("%s load=%v report=%q", kind, reply.Load, reply.Report)
}

func describePong(line []byte) string {
	report, ok := codec.ParsePong(line)
	return fmt.Sprintf("pong=%t report=%q", ok, report)
}

func describeReport(report []byte) string {
	var b strings.Builder
	codec.EachReportField(report, func(name string, value float64) { fmt.Fprintf(&b, "[%s %v]", name, value) })
	return b.String()
}

// describeAll returns the results of all parsers for a line.
func describeAll(line []byte) string {
	return strings.Join([]string{
		describeKind(line), describeOpen(line), describeReply(line), describePong(line),
		describeReport(line),
	}, " | ")
}

// describePrefixes returns the results of a parser for the prefixes of a line: each result that differs from that for the
// prefix before, with the prefix's length.
func describePrefixes(line string, read func([]byte) string) string {
	var b strings.Builder
	last := ""
	for n := range len(line) + 1 {
		if got := read([]byte(line[:n])); n == 0 || got != last {
			fmt.Fprintf(&b, " %d: %s;", n, got)
			last = got
		}
	}
	return strings.TrimSpace(b.String())
}

// corrupted returns the lines that differ from a line in one byte: one that is removed, replaced or inserted.
func corrupted(line string) (all []string) {
	for i := range len(line) + 1 {
		for _, c := range "\x00 ,=\r\n\x7f\xff9xc." {
			all = append(all, line[:i]+string(byte(c))+line[i:])
			if i < len(line) {
				all = append(all, line[:i]+string(byte(c))+line[i+1:])
			}
		}
		if i < len(line) {
			all = append(all, line[:i]+line[i+1:])
		}
	}
	return all
}

// openLines returns valid and malformed opening lines without their line ends.
func openLines() []string {
	lines := []string{
		"OPEN 9b1f03aa5c7e2d41 7f3a9c21 c=chat,d=2000,g=5c0f,t=acme,r=1,again=1,mid=1,at=s-1,h=3.5,zz=9",
		"OPEN i k", "OPEN i k ", "OPEN i k  c=a", "OPEN i k c=a ", "OPEN i  c=a", "OPEN  k c=a", "OPEN i", "OPEN",
		"OPEN ", "OPEN i ",
		"open i k c=a", "OPENED i k c=a", " OPEN i k c=a", "OPEN\ti k c=a", "PING", "UP x", "",
		"OPEN i k c=a,g=b", "OPEN i k g=b,c=a", "OPEN i k c=a,c=b", "OPEN i k c=,g=,t=,at=", "OPEN i k c==a",
		"OPEN i k c=a=b",
		"OPEN i k c", "OPEN i k =a", "OPEN i k ,", "OPEN i k c=a,", "OPEN i k ,c=a", "OPEN i k c=a,,g=b",
		"OPEN i k C=a,G=b",
		"OPEN i k t=acme", "OPEN i k at=s-9,at=s-8", "OPEN i k unknown=1,x=,y=2", "OPEN é k c=ü",
		"OPEN i k r=0", "OPEN i k r=1", "OPEN i k r=true", "OPEN i k r=", "OPEN i k r=1,r=0", "OPEN i k again=0",
		"OPEN i k again=1", "OPEN i k again=01",
		"OPEN i k mid=0", "OPEN i k mid=1", "OPEN i k mid=2",
	}
	for _, number := range []string{
		"", "0", "00", "1", "0.5", ".5", "5.", "1e3", "1E3", "1e-7", "+5", "-5", "-0",
		"x", "1x", "0x10", "1_0", "nan", "inf", "1e12",
		"1000000000001", "1e400", "2000", "2000.75", "86399999", "86400000", "86400001", "000000000000000000000001",
		"0000000000000000000000001",
	} {
		lines = append(lines, "OPEN i k d="+number, "OPEN i k h="+number)
	}
	lines = append(lines, "OPEN i k d=1,d=2", "OPEN i k d=1,c=a,d=1", "OPEN i k h=1,h=2", "OPEN i k c=a,d=7,g=b")
	return lines
}

func TestOpenLinesRead(t *testing.T) {
	var lines []string
	for _, open := range openLines() {
		for _, end := range []string{"\r\n", "\n", ""} {
			lines = append(lines, fmt.Sprintf("%q: %s", open+end, describeOpen([]byte(open+end))))
		}
	}
	for _, length := range []int{codec.MaxLineLength - 1, codec.MaxLineLength, codec.MaxLineLength + 1, 2 * codec.MaxLineLength} {
		for _, end := range []string{"\r\n", "xx"} {
			line := "OPEN i k c="
			line += strings.Repeat("x", length-len(line)-len(end)) + end
			lines = append(lines, fmt.Sprintf("%d bytes, end %q: %s", length, end, digest(describeOpen([]byte(line)))))
		}
	}
	for c := range 256 {
		line := append([]byte("OPEN i k c=a"), byte(c), '\r', '\n')
		lines = append(lines, fmt.Sprintf("%q: %s", line, describeOpen(line)))
	}
	golden.CheckLines(t, "open_read.txt", lines)
}

func TestOpenLinesForwarded(t *testing.T) {
	waits := []time.Duration{
		-time.Second, 0, 1, time.Millisecond - 1, time.Millisecond, 1500 * time.Microsecond,
		2 * time.Second, 25 * time.Hour,
	}
	var lines []string
	for _, line := range openLines() {
		line += "\r\n"
		open, err := codec.ParseOpen([]byte(line))
		if err != nil {
			continue
		}
		lines = append(lines, fmt.Sprintf("%q", line))
		for _, wait := range waits {
			lines = append(lines, fmt.Sprintf("\t%d: %q", wait.Nanoseconds(), open.Forward([][]byte{[]byte("before")},
				wait)))
		}
	}
	golden.CheckLines(t, "open_forwarded.txt", lines)
}

func TestRequestKindsRead(t *testing.T) {
	var lines []string
	for _, line := range []string{
		"OPEN i k c=a\r\n", "OPEN\r\n", "OPENS i\r\n", "PING\r\n", "PING 7\r\n", "PING\n",
		"PING\r", "PINGS\r\n", "ping\r\n", " PING\r\n",
		"PING\t\r\n", "PING \r\n", "PING\r\r\n", "PING\n\n", "STATS\r\n", "STATS all\r\n", "STATSX\r\n", "stats\r\n",
		"PONG\r\n", "UP 1\r\n", "\r\n", "\n", " ", "\x00\r\n",
	} {
		lines = append(lines, fmt.Sprintf("%q: %s", line, describePrefixes(line, describeKind)))
	}
	golden.CheckLines(t, "first_lines.txt", lines)
}

func TestServerLinesRead(t *testing.T) {
	var lines []string
	for _, line := range []string{
		"UP 7309b9501eeca7e6\r\n", "UP\r\n", "UPX\r\n", "up 1\r\n", "BYE\r\n",
		"BYE inflight=7,queue=2,util=0.61\r\n", "BYE \r\n",
		"BYE two words\r\n", "MOVE\r\n", "MOVE away\r\n", "MOVED\r\n", "ERR\r\n", "ERR no such class\r\n", "BUSY\r\n",
		"BUSY 20\r\n", "BUSY 20 30\r\n",
		"LOAD 351313.469\r\n", "LOAD\r\n", "LOAD \r\n", "LOAD x\r\n", "LOAD -1\r\n", "LOAD 0\r\n", "LOAD 1e3\r\n",
		"LOAD 1 2\r\n", "LOAD 1e12\r\n", "LOAD 1e13\r\n",
		"PONG inflight=7\r\n", "M 1 751b\r\n", "NO\r\n", " UP\r\n", "UP\t1\r\n", "\r\n", "\r\r\n", "UP\r\r\n",
	} {
		bare := strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		for _, l := range []string{line, bare + "\n", bare} {
			lines = append(lines, fmt.Sprintf("%q: %s", l, describeReply([]byte(l))))
		}
		lines = append(lines, fmt.Sprintf("%q in pieces: %s", line, describePrefixes(line, describeReply)))
	}
	golden.CheckLines(t, "server_lines.txt", lines)
}

func TestProbeAnswersRead(t *testing.T) {
	var lines []string
	for _, line := range []string{
		"PONG\r\n", "PONG \r\n", "PONG inflight=7,queue=2,util=0.61\r\n",
		"PONG a=1 b=2\r\n", "PONG\n", "PONG", "PONGS\r\n", "pong\r\n",
		"PING\r\n", "NO\r\n", "ERR\r\n", "", "\r\n", " PONG\r\n",
	} {
		lines = append(lines, fmt.Sprintf("%q: %s", line, describePong([]byte(line))))
	}
	for _, report := range []string{
		"", "inflight=7", "inflight=7,queue=2,util=0.61", "inflight=7,,queue=2",
		",inflight=7,", "inflight=x,queue=2", "inflight=,queue=2",
		"inflight,queue=2", "=3,queue=2", "a=1,a=2", "a=1=2", "a=-1,b=+1,c=.5,d=1e12,e=1e13,f=nan,g=inf,h=0x10",
		" a=1", "a= 1", "a=1\r", "é=1",
		"a=000000000000000000000001,b=0000000000000000000000001",
	} {
		lines = append(lines, fmt.Sprintf("report %q: %s", report, describeReport([]byte(report))))
	}
	golden.CheckLines(t, "probe_answers.txt", lines)
}

func TestLinesWritten(t *testing.T) {
	lines := []string{
		fmt.Sprintf("pong %q", codec.Pong), fmt.Sprintf("no %q", codec.No), fmt.Sprintf("error %q", codec.Err),
		fmt.Sprintf("move %q", codec.Move), fmt.Sprintf("stats %q", codec.Stats), fmt.Sprintf("longest line %d",
			codec.MaxLineLength),
	}
	for _, after := range []time.Duration{
		-time.Hour, -1, 0, 1, time.Microsecond, time.Millisecond - 1,
		time.Millisecond, time.Millisecond + 1,
		1500 * time.Microsecond, 20 * time.Millisecond, time.Second, 90 * time.Second, 24 * time.Hour,
		1000 * time.Hour,
	} {
		lines = append(lines, fmt.Sprintf("busy %d: %q", after.Nanoseconds(), codec.Busy(after)))
	}
	golden.CheckLines(t, "written.txt", lines)
}

// Compares a digest of the results of all parsers for each line with one byte corrupted.
func TestCorruptedLines(t *testing.T) {
	var lines []string
	for _, line := range []string{
		"OPEN 9b1f03 7f3a9c c=chat,d=2000,g=5c,t=acme,r=1,again=1,mid=1,at=s-1,h=3.5,zz=9\r\n", "OPEN i k\r\n",
		"OPEN i k d=1\r\n",
		"PING\r\n", "STATS\r\n", "UP 7309b950\r\n", "BYE inflight=7,queue=2\r\n", "MOVE\r\n", "ERR why\r\n",
		"BUSY 20\r\n", "LOAD 351313.469\r\n",
		"PONG inflight=7,queue=2,util=0.61\r\n", "inflight=7,queue=2,util=0.61",
	} {
		all := corrupted(line)
		var b strings.Builder
		for _, l := range all {
			fmt.Fprintf(&b, "%q: %s\n", l, describeAll([]byte(l)))
		}
		lines = append(lines, fmt.Sprintf("%q, %d lines: %s", line, len(all), digest(b.String())))
	}
	golden.CheckLines(t, "spoilt.txt", lines)
}

// linePieces are the pieces that random lines are composed of.
var linePieces = []string{
	"OPEN", "PING", "PONG", "STATS", "UP", "BYE", "MOVE", "ERR", "BUSY", "LOAD", " ", " ", " ",
	"=", ",", "id", "key", "c=", "d=", "g=", "t=", "h=", "r=1",
	"at=", "mid=1", "again=1", "1", "20", "0.5", "-", "e3", "\r\n", "\r\n", "\n", "\r", "\x00", "\x7f", "é",
}

func randomLine(rng *rand.Rand) string {
	var line strings.Builder
	if rng.IntN(2) == 0 {
		line.WriteString("OPEN i k ")
	}
	for range rng.IntN(10) {
		line.WriteString(linePieces[rng.IntN(len(linePieces))])
	}
	if rng.IntN(2) == 0 {
		line.WriteString("\r\n")
	}
	return line.String()
}

// Compares a digest of the results of all parsers for each hundred random lines, composed of pieces of the protocol.
func TestRandomLines(t *testing.T) {
	var lines []string
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 23))
		var b strings.Builder
		for range 100 {
			line := randomLine(rng)
			fmt.Fprintf(&b, "%q: %s\n", line, describeAll([]byte(line)))
		}
		lines = append(lines, fmt.Sprintf("%04d %s", seed, digest(b.String())))
	}
	golden.CheckLines(t, "drawn.txt", lines)
}
