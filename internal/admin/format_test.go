package admin

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/milletvane/internal/maintenance"
)

var updateFormats = flag.Bool("update", false, "write the answers of today to testdata")

// checkGolden compares text with a file under testdata, byte for byte.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateFormats {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		var g, w string
		if i < len(gotLines) {
			g = gotLines[i]
		}
		if i < len(wantLines) {
			w = wantLines[i]
		}
		if g != w {
			t.Fatalf("%s: line %d is %q, want %q", path, i+1, g, w)
		}
	}
}

// dated finds the one part of an answer that differs from call to call.
var dated = regexp.MustCompile(`Date: [^\r]+ GMT\r\n`)

// exchange sends text as it stands and returns all that comes until the connection ends.
func exchange(t *testing.T, addr, text string, deadline time.Time) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(deadline)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil && (len(answer) == 0 || errors.Is(err, os.ErrDeadlineExceeded)) {
		t.Fatalf("%.100s: %v", text, err)
	}
	return dated.ReplaceAllString(string(answer), "Date: -\r\n")
}

// Every answer byte for byte, good calls and bad, and what each call asked for.
func TestAnswersGolden(t *testing.T) {
	var ready atomic.Bool
	var got bytes.Buffer
	var mu sync.Mutex // guards called
	var called []string
	s, err := Listen("127.0.0.1:0", Options{
		Ready:         ready.Load,
		AppendMetrics: func(b []byte) []byte { return append(b, "edge_proxy.discovered:3|g\n"...) },
		SetMaintenance: func(ctx context.Context, id string, out bool) error {
			deadline, ok := ctx.Deadline()
			left := time.Until(deadline)
			mu.Lock()
			defer mu.Unlock()
			called = append(called, fmt.Sprintf("%q out=%t deadline=%t", id, out, ok && left > 0 && left <= 900*time.Millisecond))
			switch id {
			case "unlisted":
				return fmt.Errorf("wrapped: %w", maintenance.ErrUnknownServer)
			case "late":
				return maintenance.ErrNotApplied
			case "broken":
				return errors.New("no disk")
			}
			return nil
		},
		Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	deadline := time.Now().Add(20 * time.Second) // of all exchanges together
	play := func(line, rest string) {
		answer := exchange(t, s.Addr(), line+rest, deadline)
		fmt.Fprintf(&got, "# %.100s\n", line)
		for part := range strings.Lines(answer) {
			fmt.Fprintf(&got, "%q\n", part)
		}
		mu.Lock()
		defer mu.Unlock()
		for _, call := range called {
			fmt.Fprintf(&got, "called %.100s\n", call)
		}
		called = nil
	}
	const rest = " HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, path := range []string{
		"/-/ready", "/-/metrics", "/-/servers/s-1/disable", "/-/servers/s-1/enable", "/-/servers/unlisted/disable",
		"/-/servers/unlisted/enable", "/-/servers/late/disable", "/-/servers/late/enable", "/-/servers/broken/disable",
		"/-/servers/broken/enable", "/-/servers/a%2Fb%25/disable", "/-/servers/a%20b%00%0a/enable", "/-/servers/%C3%A9/disable",
		"/-/servers/é/disable", "/-/servers/../disable", "/-/servers/./enable", "/-/servers/a%2/disable", "/-/servers/%zz/enable",
		"/-/servers/s-1/other", "/-/servers/s-1/", "/-/servers/s-1", "/-/servers//disable", "/-/servers/s-1/disable/",
		"/-/servers/s-1/DISABLE", "/-/servers/a/b/disable", "/-/servers/", "/-/servers", "/-/ready/", "/-/metrics/", "/-/ready?x=1",
		"/-/metrics?x=%zz", "/-/servers/s-1/disable?now=1", "//-/ready", "/-/Ready", "/", "/-", "/-/", "*", "ready", "",
		"http://x/-/ready", "http://x/-/servers/s-1/enable", "/%2D/ready", "/-/%72eady",
	} {
		for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "get"} {
			play(method+" "+path, rest)
		}
	}
	ready.Store(true)
	for _, method := range []string{"GET", "HEAD", "POST"} {
		play(method+" /-/ready", rest)
	}
	play("GET /-/ready", " HTTP/1.0\r\n\r\n")
	play("GET /-/ready", " HTTP/1.1\r\n\r\n")
	play("GET /-/ready", " HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n")
	play("GET /-/ready", " HTTP/1.1\r\nHost: x\r\nbad header\r\n\r\n")
	play("GET /-/ready", " HTTP/2.0\r\nHost: x\r\n\r\n")
	play("GET /-/ready", "\r\n\r\n")
	play("POST /-/servers/s-1/disable", " HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello")
	play("POST /-/servers/s-1/enable", " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	play("POST /-/servers/s-1/enable", " HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n")
	play("POST /-/servers/s-1/enable", " HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello")
	play("POST /-/servers/s-1/enable", " HTTP/1.1\r\nHost: x\r\nExpect: other\r\n\r\n")
	play("POST /-/servers/"+strings.Repeat("x", 4000)+"/disable", rest)
	play("GET /-/servers/"+strings.Repeat("x", 64<<10), rest)
	checkGolden(t, "answers.txt", got.Bytes())
}
