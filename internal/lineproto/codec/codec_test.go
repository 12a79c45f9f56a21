package codec

import (
	"bytes"
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestParseOpen(t *testing.T) {
	line := "OPEN 9b1f03aa5c7e2d41 7f3a9c21 c=chat,d=2000,g=5c0f,r=1,again=1,mid=1,at=s-1,h=3.5,zz=9\r\n"
	o, err := ParseOpen([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	if string(o.ID) != "9b1f03aa5c7e2d41" || string(o.Key) != "7f3a9c21" || string(o.Class) != "chat" ||
		string(o.Group) != "5c0f" || string(o.Owner) != "s-1" || o.Timeout != 2*time.Second || o.Load != 3.5 ||
		!o.Retry || !o.Reconnecting || !o.MidFlow {
		t.Errorf("read as %+v", o)
	}
	got := string(bytes.Join(o.Forward(nil, 412*time.Millisecond), nil))
	if want := strings.Replace(line, "d=2000", "d=412", 1); got != want {
		t.Errorf("forwarded as %q, want %q", got, want)
	}
}

func TestMalformedOpen(t *testing.T) {
	for _, line := range []string{
		"", "\n", "OPEN\r\n", "OPEN a\r\n", "OPEN  k c=1\r\n", "OPEN a k c=1\n", "OPEN a k c\r\n", "OPEN a k =1\r\n",
		"OPEN a k d=x\r\n", "OPEN a k d=\r\n", "OPEN a k d=0\r\n", "OPEN a k d=soon\r\n", "OPEN a k d=-1\r\n", "OPEN a k d=NaN\r\n", "OPEN a k d=1e99\r\n", "OPEN a k d=1,d=2\r\n",
		"OPEN a k c=1 d=2\r\n", "OPEN a k c=\x00\r\n", "open a k c=1\r\n", "OPEN a k h=+Inf\r\n",
		"OPEN a k c=" + strings.Repeat("x", MaxLineLength) + "\r\n",
	} {
		if _, err := ParseOpen([]byte(line)); err == nil {
			t.Errorf("%.40q was taken", line)
		}
	}
}

var word = rapid.StringMatching(`[0-9a-z]{1,16}`)

// Whatever stands around it, only d's value is another on a forwarded line.
func TestForwardChangesOnlyTheWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[e-z][0-9a-z]{2,6}`), 0, 6, rapid.ID).Draw(t, "names")
		pairs := []string{"c=" + word.Draw(t, "class")}
		for _, n := range names {
			pairs = append(pairs, n+"="+word.Draw(t, "value"))
		}
		at := rapid.IntRange(0, len(pairs)).Draw(t, "at")
		wait := rapid.IntRange(1, 100000).Draw(t, "wait")
		build := func(d string) string {
			all := append(append(append([]string{}, pairs[:at]...), "d="+d), pairs[at:]...)
			return "OPEN " + "i" + " " + "k" + " " + strings.Join(all, ",") + "\r\n"
		}
		o, err := ParseOpen([]byte(build(strconv.Itoa(wait))))
		if err != nil {
			t.Fatal(err)
		}
		if o.Timeout != time.Duration(wait)*time.Millisecond {
			t.Fatalf("wait %v, want %d ms", o.Timeout, wait)
		}
		left := rapid.IntRange(1, 100000).Draw(t, "left")
		got := string(bytes.Join(o.Forward(nil, time.Duration(left)*time.Millisecond), nil))
		if want := build(strconv.Itoa(left)); got != want {
			t.Fatalf("forwarded %q, want %q", got, want)
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
				t.Fatalf("%q read as %+v", line, o)
			}
		}
		ParseReply(line)
		if r, ok := ParsePong(line); ok {
			EachReportField(r, func(name string, v float64) {
				if name == "" || !(v >= 0) {
					t.Fatalf("%q tells %q %v", line, name, v)
				}
			})
		}
	})
}

func TestReplies(t *testing.T) {
	for line, want := range map[string]ReplyKind{
		"UP 7309b9501eeca7e6\r\n": ReplyUp, "BYE\r\n": ReplyBye, "BYE inflight=7\r\n": ReplyBye, "MOVE\r\n": ReplyMove,
		"ERR\r\n": ReplyErr, "BUSY 20\r\n": ReplyBusy, "LOAD 351313.469\r\n": ReplyLoad,
		"LOAD x\r\n": ReplyOther, "M 1 751b\r\n": ReplyOther, "UPX\r\n": ReplyOther, "": ReplyOther,
	} {
		if got := ParseReply([]byte(line)).Kind; got != want {
			t.Errorf("%q read as %v, want %v", line, got, want)
		}
	}
	if got := ParseReply([]byte("LOAD 351313.469\r\n")).Load; got != 351313.469 {
		t.Errorf("load %v", got)
	}
	got := map[string]float64{}
	EachReportField([]byte("inflight=7,queue=x,util=0.61,=3"), func(n string, v float64) { got[n] = v })
	if len(got) != 2 || got["inflight"] != 7 || got["util"] != 0.61 {
		t.Errorf("report read as %v", got)
	}
}

func TestBusyNeverTellsTooShortAWait(t *testing.T) {
	for after, want := range map[time.Duration]string{
		0: "BUSY\r\n", time.Nanosecond: "BUSY 1\r\n", 1500 * time.Microsecond: "BUSY 2\r\n", time.Second: "BUSY 1000\r\n",
	} {
		if got := string(Busy(after)); got != want {
			t.Errorf("%v: %q, want %q", after, got, want)
		}
	}
}
