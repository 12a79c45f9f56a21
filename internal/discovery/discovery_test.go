package discovery

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"pgregory.net/rapid"

	"example.org/milletvane/rules"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// cuts hands a message out in the given pieces.
type cuts struct {
	rest []byte
	at   []int
}

func (c *cuts) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	n := min(len(p), len(c.rest))
	if len(c.at) > 0 {
		n, c.at = min(n, c.at[0]), c.at[1:]
	}
	copy(p, c.rest[:n])
	c.rest = c.rest[n:]
	return n, nil
}

func TestResponsesSurviveAnyCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		var msg bytes.Buffer
		msg.WriteString("HTTP/1.1 200 OK\r\nX-Other: a:b\r\n")
		if rapid.Bool().Draw(t, "chunked") {
			msg.WriteString("transfer-encoding: chunked\r\n\r\n")
			for rest := body; ; {
				n := 0
				if len(rest) > 0 {
					n = rapid.IntRange(1, len(rest)).Draw(t, "chunk")
				}
				fmt.Fprintf(&msg, "%x;ext=1\r\n%s\r\n", n, rest[:n])
				if rest = rest[n:]; n == 0 {
					break
				}
			}
		} else {
			fmt.Fprintf(&msg, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		at := rapid.SliceOfN(rapid.IntRange(1, 40), 0, 40).Draw(t, "cuts")
		status, got, keep, err := response(netpoll.NewReader(&cuts{msg.Bytes(), at}))
		if err != nil || status != 200 || !keep || !bytes.Equal(got, body) {
			t.Fatalf("status %d keep %t err %v body %q, want %q", status, keep, err, got, body)
		}
	})
}

func TestGarbageIsAnErrorAndNeverPanics(t *testing.T) {
	piece := rapid.OneOf(
		rapid.SliceOfN(rapid.Byte(), 0, 30),
		rapid.Map(rapid.SampledFrom([]string{"HTTP/1.1 200 OK", "\r\n", "\r\n\r\n", ":", "Content-Length: 5", "ffffffff",
			"Transfer-Encoding: chunked", "Content-Length: -1", "0\r\n"}), func(s string) []byte { return []byte(s) }))
	rapid.Check(t, func(t *rapid.T) {
		msg := bytes.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "pieces"), nil)
		if status, _, _, err := response(netpoll.NewReader(&cuts{rest: msg})); err == nil && (status < 100 || status > 999) {
			t.Fatalf("%q read as status %d", msg, status)
		}
		if m, err := Parse(msg); err == nil && m == nil {
			t.Fatal("no list and no error")
		}
	})
}

func TestMalformedHeads(t *testing.T) {
	for _, msg := range []string{
		"HTTP/1.1 20 OK\r\n\r\n", "HTTP/2 200 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200\r\nno colon\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length: 9999999999\r\n\r\n", "HTTP/1.1 200\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200\r\nTransfer-Encoding: gzip\r\n\r\n",
	} {
		if _, _, err := parseHead([]byte(msg)); err == nil {
			t.Errorf("%q was taken", msg)
		}
	}
}

func TestNumbersAreStable(t *testing.T) {
	if got := NumberOf("s-5be2a07c"); got != 0x5be2a07c {
		t.Errorf("s-5be2a07c is %#x", got)
	}
	for _, id := range []string{"", "node-7", "s-5be2a07", "s-5be2a07cc", "s-zzzzzzzz", "5BE2A07C", "s-+be2a07c"} {
		if NumberOf(id) != NumberOf(id) {
			t.Errorf("%q has two numbers", id)
		}
	}
	if NumberOf("node-7") == NumberOf("node-8") {
		t.Error("two names share a number")
	}
}

func TestListKeepsStatesAndTimes(t *testing.T) {
	m, err := Parse([]byte(`{"version":43,"full":false,"servers":[
		{"id":"s-00000001","addr":"127.0.0.1:1","zone":"a","cell":3,"state":"terminating","weight":1.5,"started_ms":1700000000123},
		{"id":"s-00000002","state":"terminated"},{"id":"s-00000003","state":"in_service"},{"id":"s-00000004","state":"new-word"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	l := m.List(rules.Changes)
	first := rules.Server{ID: 1, Zone: "a", Cell: 3, State: rules.Draining, Capacity: 1.5, Started: 1700000000123 * time.Millisecond}
	if l.Servers[0].Server != first || l.Servers[0].Name != "s-00000001" || l.Servers[0].Addr != "127.0.0.1:1" {
		t.Errorf("read as %+v", l.Servers[0])
	}
	for i, want := range []rules.ServerState{rules.Draining, rules.Gone, rules.Ready, rules.Draining} {
		if got := l.Servers[i].State; got != want {
			t.Errorf("server %d is in state %d, want %d", i, got, want)
		}
	}
	if _, err := Parse([]byte(`{"servers":[{"addr":"x"}]}`)); err == nil {
		t.Error("an entry without id was taken")
	}
}
