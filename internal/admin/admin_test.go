package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/milletvane/internal/maintenance"
)

const patience = 20 * time.Second

type desk struct {
	*Server
	ready atomic.Bool
	calls chan string
}

func open(t *testing.T) *desk {
	d := &desk{calls: make(chan string, 16)}
	s, err := Listen("127.0.0.1:0", Options{
		Ready:         d.ready.Load,
		AppendMetrics: func(b []byte) []byte { return append(b, "edge_proxy.discovered:3|g\n"...) },
		SetMaintenance: func(_ context.Context, id string, out bool) error {
			switch {
			case id == "unlisted":
				return maintenance.ErrUnknownServer
			case id == "late":
				return maintenance.ErrNotApplied
			case id == "broken":
				return errors.New("no disk")
			}
			d.calls <- fmt.Sprint(id, " ", out)
			return nil
		},
		Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	d.Server = s
	return d
}

// call sends text in pieces of the given size and returns the answer's status and body.
func (d *desk) call(t *testing.T, text string, piece int) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	for rest := text; rest != ""; {
		n := min(piece, len(rest))
		if _, err := io.WriteString(c, rest[:n]); err != nil {
			t.Fatal(err)
		}
		rest = rest[n:]
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if !a.Close {
		t.Error("the answer does not say that the connection ends")
	}
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(b)
}

func TestCalls(t *testing.T) {
	d := open(t)
	for _, c := range []struct {
		line   string
		status int
		call   string // that came through
	}{
		{"GET /-/ready", 503, ""},
		{"POST /-/ready", 405, ""},
		{"GET /-/metrics", 200, ""},
		{"HEAD /-/metrics", 200, ""},
		{"DELETE /-/metrics", 405, ""},
		{"POST /-/servers/s-1/disable", 200, "s-1 true"},
		{"POST /-/servers/s-1/enable", 200, "s-1 false"},
		{"POST /-/servers/a%2Fb%25/disable", 200, "a/b% true"},
		{"POST /-/servers/" + strings.Repeat("x", 4000) + "/disable", 200, strings.Repeat("x", 4000) + " true"},
		{"POST /-/servers/../disable", 200, ".. true"}, // an id like any other, known or not
		{"GET /-/servers/s-1/disable", 405, ""},
		{"POST /-/servers/unlisted/disable", 404, ""},
		{"POST /-/servers/late/disable", 503, ""},
		{"POST /-/servers/broken/enable", 500, ""},
		{"POST /-/servers/a%2/disable", 400, ""},
		{"POST /-/servers/s-1/other", 404, ""},
		{"POST /-/servers//disable", 404, ""},
		{"POST /-/servers/s-1/disable/", 404, ""},
		{"GET /", 404, ""},
		{"GET /-/servers/" + strings.Repeat("x", 64<<10), 431, ""},
	} {
		status, body := d.call(t, c.line+" HTTP/1.1\r\nHost: x\r\n\r\n", 64<<10)
		if status != c.status {
			t.Errorf("%.40s: %d %s, want %d", c.line, status, body, c.status)
		}
		if c.call != "" {
			if got := <-d.calls; got != c.call {
				t.Errorf("%.40s called %.40q", c.line, got)
			}
		}
		if c.line == "GET /-/metrics" && body != "edge_proxy.discovered:3|g\n" {
			t.Errorf("figures %q", body)
		}
	}
	d.ready.Store(true)
	for piece := 1; piece < 40; piece += 3 { // cut at any byte
		if status, _ := d.call(t, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", piece); status != 200 {
			t.Errorf("in pieces of %d: %d", piece, status)
		}
	}
}

// Callers that finish no call give way, and who finishes one is answered within the second.
func TestCallersThatFinishNothing(t *testing.T) {
	d := open(t)
	var first net.Conn
	for i := range 200 {
		c, err := net.Dial("tcp", d.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if first == nil {
			first = c
		}
		if i%2 == 0 {
			io.WriteString(c, "GET /-/met")
		}
	}
	begun := time.Now()
	if status, _ := d.call(t, "GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n", 64); status != 200 {
		t.Errorf("answered %d", status)
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("answered after %v", took)
	}
	// Long before its time is up the first has given way, descriptor and all.
	first.SetReadDeadline(begun.Add(headIn / 2))
	var timeout net.Error
	if _, err := first.Read(make([]byte, 1)); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the first caller still stands: %v", err)
	}
	calls := d.listener.(*callers)
	calls.mu.Lock()
	defer calls.mu.Unlock()
	if n := len(calls.all); n > CallersMost {
		t.Errorf("%d callers are connected", n)
	}
}
