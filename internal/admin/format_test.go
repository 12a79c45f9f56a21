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

// dateHeader matches the only part of a response that differs between runs.
var dateHeader = regexp.MustCompile(`Date: [^\r]+ GMT\r\n`)

// sendAndReadAll sends text on a new connection and returns all that is received until the connection is closed.
func sendAndReadAll(t *testing.T, addr, text string, deadline time.Time) string {
	t.Helper()
	c := dial(t, addr, deadline)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(c)
	if err != nil && (len(response) == 0 || errors.Is(err, os.ErrDeadlineExceeded)) {
		t.Fatalf("%.100s: read the response: %v", text, err)
	}
	return dateHeader.ReplaceAllString(string(response), "Date: -\r\n")
}

// transcript records requests to a server, its responses and its calls of SetMaintenance.
type transcript struct {
	server   *testServer
	text     bytes.Buffer
	deadline time.Time // of all requests together
}

// recordExchange sends a request and records the response and the calls of SetMaintenance. The golden file holds older terms
// than the code, so the recorded text stays as it is.
func (r *transcript) recordExchange(t *testing.T, line, rest string) {
	t.Helper()
	response := sendAndReadAll(t, r.server.Addr(), line+rest, r.deadline)
	fmt.Fprintf(&r.text, "# %.100s\n", line)
	for part := range strings.Lines(response) {
		fmt.Fprintf(&r.text, "%q\n", part)
	}
	for _, call := range r.server.takeCalls() {
		text := fmt.Sprintf("%q out=%t deadline=%t", call.id, call.inMaintenance, call.bounded)
		fmt.Fprintf(&r.text, "called %.100s\n", text)
	}
}

// Each of goldenPaths is requested with each of goldenMethods.
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

// goldenRequests are further requests, to a gateway that is ready: other methods, HTTP versions and bodies, and malformed
// requests.
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

// Every response and every call of SetMaintenance must stay the same, byte for byte.
func TestAnswersGolden(t *testing.T) {
	r := &transcript{server: startServer(t), deadline: time.Now().Add(testTimeout)}
	for _, path := range goldenPaths {
		for _, method := range goldenMethods {
			r.recordExchange(t, method+" "+path, " HTTP/1.1\r\nHost: x\r\n\r\n")
		}
	}
	r.server.ready.Store(true)
	for _, request := range goldenRequests {
		r.recordExchange(t, request.line, request.rest)
	}
	golden.Check(t, "answers.txt", r.text.Bytes())
}
