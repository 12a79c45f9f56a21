package codec

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
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

func TestParseOpen(t *testing.T) {
	line := "OPEN 9b1f03aa5c7e2d41 7f3a9c21 c=chat,d=2000,g=5c0f,t=acme,r=1,again=1,mid=1,at=s-1,h=3.5,zz=9\r\n"
	got, err := ParseOpen([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	want := Open{
		Line: []byte(line), ID: []byte("9b1f03aa5c7e2d41"), Key: []byte("7f3a9c21"),
		Class: []byte("chat"), Group: []byte("5c0f"), Tenant: []byte("acme"), Owner: []byte("s-1"),
		Timeout: 2 * time.Second, Load: 3.5, Retry: true, Reconnecting: true, MidFlow: true,
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Open{})); diff != "" {
		t.Errorf("ParseOpen (-want +got):\n%s", diff)
	}
	forwarded := string(bytes.Join(got.Forward(nil, 412*time.Millisecond), nil))
	if want := strings.Replace(line, "d=2000", "d=412", 1); forwarded != want {
		t.Errorf("forwarded as %q, want %q", forwarded, want)
	}
}

func TestParseOpenRejectsMalformedLines(t *testing.T) {
	for _, line := range []string{
		"", "\n", "OPEN\r\n", "OPEN a\r\n", "OPEN  k c=1\r\n", "OPEN a k c=1\n", "OPEN a k c\r\n", "OPEN a k =1\r\n",
		"OPEN a k d=x\r\n", "OPEN a k d=\r\n", "OPEN a k d=0\r\n", "OPEN a k d=soon\r\n", "OPEN a k d=-1\r\n",
		"OPEN a k d=NaN\r\n", "OPEN a k d=1e99\r\n", "OPEN a k d=1,d=2\r\n",
		"OPEN a k c=1 d=2\r\n", "OPEN a k c=\x00\r\n", "open a k c=1\r\n", "OPEN a k h=+Inf\r\n",
	} {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			if _, err := ParseOpen([]byte(line)); !errors.Is(err, ErrMalformed) {
				t.Errorf("ParseOpen(%q) = %v, want ErrMalformed", line, err)
			}
		})
	}
	t.Run("too long", func(t *testing.T) {
		line := "OPEN a k c=" + strings.Repeat("x", MaxLineLength) + "\r\n"
		if _, err := ParseOpen([]byte(line)); !errors.Is(err, ErrTooLong) {
			t.Errorf("ParseOpen = %v, want ErrTooLong", err)
		}
	})
}

var alphanumeric = rapid.StringMatching(`[0-9a-z]{1,16}`)

// Forward changes only the value of d, whatever other fields the line has.
func TestForwardChangesOnlyTheTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[e-z][0-9a-z]{2,6}`), 0, 6, rapid.ID).Draw(t, "names")
		pairs := []string{"c=" + alphanumeric.Draw(t, "class")}
		for _, n := range names {
			pairs = append(pairs, n+"="+alphanumeric.Draw(t, "value"))
		}
		at := rapid.IntRange(0, len(pairs)).Draw(t, "at")
		timeout := rapid.IntRange(1, 100000).Draw(t, "wait")
		build := func(d string) string {
			all := append(append(append([]string{}, pairs[:at]...), "d="+d), pairs[at:]...)
			return "OPEN " + "i" + " " + "k" + " " + strings.Join(all, ",") + "\r\n"
		}
		o, err := ParseOpen([]byte(build(strconv.Itoa(timeout))))
		if err != nil {
			t.Fatal(err)
		}
		if o.Timeout != time.Duration(timeout)*time.Millisecond {
			t.Fatalf("Timeout = %v, want %d ms", o.Timeout, timeout)
		}
		remaining := rapid.IntRange(1, 100000).Draw(t, "left")
		got := string(bytes.Join(o.Forward(nil, time.Duration(remaining)*time.Millisecond), nil))
		if want := build(strconv.Itoa(remaining)); got != want {
			t.Fatalf("forwarded as %q, want %q", got, want)
		}
	})
}

func TestGarbageNeverPanics(t *testing.T) {
	piece := rapid.OneOf(
		rapid.SliceOfN(rapid.Byte(), 0, 40),
		rapid.Map(rapid.SampledFrom([]string{"OPEN", " ", "=", ",", "d=", "at=", "\r\n", "LOAD", "BYE", "PONG", "1"}),
			func(s string) []byte { return []byte(s) }))
	rapid.Check(t, func(t *rapid.T) {
		line := bytes.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "pieces"), nil)
		ParseRequestKind(line)
		if o, err := ParseOpen(line); err == nil {
			if !bytes.HasSuffix(line, []byte("\r\n")) || len(o.ID) == 0 || len(o.Key) == 0 || o.Timeout < 0 || o.Load < 0 {
				t.Fatalf("ParseOpen(%q) = %+v, want a valid request or an error", line, o)
			}
		}
		ParseReply(line)
		if r, ok := ParsePong(line); ok {
			EachReportField(r, func(name string, v float64) {
				if name == "" || !(v >= 0) {
					t.Fatalf("the report of %q has the field %q=%v, want a name and a value of 0 at least", line, name, v)
				}
			})
		}
	})
}

func TestParseReply(t *testing.T) {
	for line, want := range map[string]Reply{
		"UP 7309b9501eeca7e6\r\n": {Kind: ReplyUp},
		"BYE\r\n":                 {Kind: ReplyBye},
		"BYE inflight=7\r\n":      {Kind: ReplyBye, Report: []byte("inflight=7")},
		"MOVE\r\n":                {Kind: ReplyMove},
		"ERR\r\n":                 {Kind: ReplyErr},
		"BUSY 20\r\n":             {Kind: ReplyBusy, Report: []byte("20")},
		"LOAD 351313.469\r\n":     {Kind: ReplyLoad, Load: 351313.469},
		"LOAD x\r\n":              {Kind: ReplyOther},
		"M 1 751b\r\n":            {Kind: ReplyOther},
		"UPX\r\n":                 {Kind: ReplyOther},
		"":                        {Kind: ReplyOther},
	} {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			if diff := cmp.Diff(want, ParseReply([]byte(line)), cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("ParseReply(%q) (-want +got):\n%s", line, diff)
			}
		})
	}
}

func TestEachReportFieldSkipsMalformedFields(t *testing.T) {
	got := map[string]float64{}
	EachReportField([]byte("inflight=7,queue=x,util=0.61,=3"), func(name string, value float64) { got[name] = value })
	want := map[string]float64{"inflight": 7, "util": 0.61}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("fields (-want +got):\n%s", diff)
	}
}

func TestBusyRoundsTheDelayUp(t *testing.T) {
	for retryAfter, want := range map[time.Duration]string{
		0:                       "BUSY\r\n",
		time.Nanosecond:         "BUSY 1\r\n",
		1500 * time.Microsecond: "BUSY 2\r\n",
		time.Second:             "BUSY 1000\r\n",
	} {
		t.Run(retryAfter.String(), func(t *testing.T) {
			if got := string(Busy(retryAfter)); got != want {
				t.Errorf("Busy(%v) = %q, want %q", retryAfter, got, want)
			}
		})
	}
}
