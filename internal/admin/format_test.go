package admin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"example.org/milletvane/internal/golden"
)

// dateHeader is the one part of a response that differs from run to run.
var dateHeader = regexp.MustCompile(`Date: [^\r]+ GMT\r\n`)

// exchange sends text as it is and returns all that comes until the connection ends.
func exchange(t *testing.T, addr, text string, deadline time.Time) string {
	t.Helper()
	c := dial(t, addr, deadline)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil && (len(answer) == 0 || errors.Is(err, os.ErrDeadlineExceeded)) {
		t.Fatalf("%.100s: %v", text, err)
	}
	return dateHeader.ReplaceAllString(string(answer), "Date: -\r\n")
}

// transcript records exchanges with a server.
type transcript struct {
	server   *testServer
	text     bytes.Buffer
	deadline time.Time // of all exchanges together
}

// play sends a request and writes down the response, and the calls of SetMaintenance. The text is older than the names in
// the code and stays as it is.
func (r *transcript) play(t *testing.T, line, rest string) {
	t.Helper()
	answer := exchange(t, r.server.Addr(), line+rest, r.deadline)
	fmt.Fprintf(&r.text, "# %.100s\n", line)
	for part := range strings.Lines(answer) {
		fmt.Fprintf(&r.text, "%q\n", part)
	}
	for _, call := range r.server.takeCalls() {
		text := fmt.Sprintf("%q out=%t deadline=%t", call.id, call.inMaintenance, call.bounded)
		fmt.Fprintf(&r.text, "called %.100s\n", text)
	}
}

// goldenPaths are sent with each of goldenMethods.
var (
	goldenPaths = []string{
		"/-/ready", "/-/metrics", "/-/servers/s-1/disable", "/-/servers/s-1/enable", "/-/servers/unlisted/disable",
		"/-/servers/unlisted/enable", "/-/servers/late/disable", "/-/servers/late/enable", "/-/servers/broken/disable",
		"/-/servers/broken/enable", "/-/servers/a%2Fb%25/disable", "/-/servers/a%20b%00%0a/enable",
		"/-/servers/%C3%A9/disable", "/-/servers/é/disable", "/-/servers/../disable", "/-/servers/./enable",
		"/-/servers/a%2/disable", "/-/servers/%zz/enable", "/-/servers/s-1/other", "/-/servers/s-1/", "/-/servers/s-1",
		"/-/servers//disable", "/-/servers/s-1/disable/", "/-/servers/s-1/DISABLE", "/-/servers/a/b/disable",
		"/-/servers/", "/-/servers", "/-/ready/", "/-/metrics/", "/-/ready?x=1", "/-/metrics?x=%zz",
		"/-/servers/s-1/disable?now=1", "//-/ready", "/-/Ready", "/", "/-", "/-/", "*", "ready", "",
		"http://x/-/ready", "http://x/-/servers/s-1/enable", "/%2D/ready", "/-/%72eady",
	}
	goldenMethods = []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "get"}
)

// goldenRequests are further requests of a gateway that is ready: methods, versions, bodies, and malformed ones.
var goldenRequests = []struct{ line, rest string }{
	{"GET /-/ready", " HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"HEAD /-/ready", " HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"POST /-/ready", " HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"GET /-/ready", " HTTP/1.0\r\n\r\n"},
	{"GET /-/ready", " HTTP/1.1\r\n\r\n"},
	{"GET /-/ready", " HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n"},
	{"GET /-/ready", " HTTP/1.1\r\nHost: x\r\nbad header\r\n\r\n"},
	{"GET /-/ready", " HTTP/2.0\r\nHost: x\r\n\r\n"},
	{"GET /-/ready", "\r\n\r\n"},
	{"POST /-/servers/s-1/disable", " HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"},
	{"POST /-/servers/s-1/enable", " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
	{"POST /-/servers/s-1/enable", " HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n"},
	{"POST /-/servers/s-1/enable", " HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello"},
	{"POST /-/servers/s-1/enable", " HTTP/1.1\r\nHost: x\r\nExpect: other\r\n\r\n"},
	{"POST /-/servers/" + strings.Repeat("x", 4000) + "/disable", " HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"GET /-/servers/" + strings.Repeat("x", 64<<10), " HTTP/1.1\r\nHost: x\r\n\r\n"},
}

// Every response byte for byte, and the calls of SetMaintenance.
func TestAnswersGolden(t *testing.T) {
	r := &transcript{server: startServer(t), deadline: time.Now().Add(patience)}
	for _, path := range goldenPaths {
		for _, method := range goldenMethods {
			r.play(t, method+" "+path, " HTTP/1.1\r\nHost: x\r\n\r\n")
		}
	}
	r.server.ready.Store(true)
	for _, request := range goldenRequests {
		r.play(t, request.line, request.rest)
	}
	golden.Check(t, "answers.txt", r.text.Bytes())
}
