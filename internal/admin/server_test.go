package admin

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestRequests(t *testing.T) {
	s := startServer(t)
	disable := func(id string) []maintenanceCall {
		return []maintenanceCall{{id: id, inMaintenance: true, bounded: true}}
	}
	enable := func(id string) []maintenanceCall { return []maintenanceCall{{id: id, bounded: true}} }
	long := strings.Repeat("x", 4000)
	for _, c := range []struct {
		line   string
		status int
		calls  []maintenanceCall
	}{
		{"GET /-/ready", http.StatusServiceUnavailable, nil},
		{"POST /-/ready", http.StatusMethodNotAllowed, nil},
		{"GET /-/metrics", http.StatusOK, nil},
		{"HEAD /-/metrics", http.StatusOK, nil},
		{"DELETE /-/metrics", http.StatusMethodNotAllowed, nil},
		{"POST /-/servers/s-1/disable", http.StatusOK, disable("s-1")},
		{"POST /-/servers/s-1/enable", http.StatusOK, enable("s-1")},
		{"POST /-/servers/a%2Fb%25/disable", http.StatusOK, disable("a/b%")},
		{"POST /-/servers/" + long + "/disable", http.StatusOK, disable(long)},
		{"POST /-/servers/../disable", http.StatusOK, disable("..")}, // ".." is an id like any other, whether it is known or not
		{"GET /-/servers/s-1/disable", http.StatusMethodNotAllowed, nil},
		{"POST /-/servers/unlisted/disable", http.StatusNotFound, disable("unlisted")},
		{"POST /-/servers/late/disable", http.StatusServiceUnavailable, disable("late")},
		{"POST /-/servers/broken/enable", http.StatusInternalServerError, enable("broken")},
		{"POST /-/servers/a%2/disable", http.StatusBadRequest, nil},
		{"POST /-/servers/s-1/other", http.StatusNotFound, nil},
		{"POST /-/servers//disable", http.StatusNotFound, nil},
		{"POST /-/servers/s-1/disable/", http.StatusNotFound, nil},
		{"GET /", http.StatusNotFound, nil},
		{"GET /-/servers/" + strings.Repeat("x", 64<<10), http.StatusRequestHeaderFieldsTooLarge, nil},
	} {
		t.Run(c.line[:min(len(c.line), 40)], func(t *testing.T) {
			status, body := s.request(t, c.line+" HTTP/1.1\r\nHost: x\r\n\r\n", 64<<10)
			if status != c.status {
				t.Errorf("got status %d %s, want %d", status, body, c.status)
			}
			if diff := cmp.Diff(c.calls, s.takeCalls(), cmp.AllowUnexported(maintenanceCall{})); diff != "" {
				t.Errorf("calls of SetMaintenance differ (-want +got):\n%s", diff)
			}
			if c.line == "GET /-/metrics" && body != "edge_proxy.discovered:3|g\n" {
				t.Errorf("got the metrics page %q, want one line", body)
			}
		})
	}
}

// A request must be read in pieces of any size.
func TestRequestInPieces(t *testing.T) {
	s := startServer(t)
	s.ready.Store(true)
	for piece := 1; piece < 40; piece += 3 {
		if status, _ := s.request(t, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", piece); status != http.StatusOK {
			t.Errorf("in pieces of %d bytes: got status %d, want 200", piece, status)
		}
	}
}

// Guards against connections that never complete a request and so block other operators. Such connections must be evicted, and
// a complete request must be answered within a second.
func TestConnectionsWithoutARequestAreEvicted(t *testing.T) {
	s := startServer(t)
	var first net.Conn
	for i := range 200 {
		c := dial(t, s.Addr(), time.Now().Add(testTimeout))
		if first == nil {
			first = c
		}
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /-/met") // the connection may have been evicted already
		}
	}
	startedAt := time.Now()
	if status, _ := s.request(t, "GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n", 64); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
	if elapsed := time.Since(startedAt); elapsed > time.Second {
		t.Errorf("answered after %v, want at most 1s", elapsed)
	}
	// The first connection must have been closed long before its read timeout.
	if err := first.SetReadDeadline(startedAt.Add(readTimeout / 2)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if _, err := first.Read(make([]byte, 1)); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the first connection is still open, read error %v", err)
	}
	limiter := s.listener.(*connLimiter)
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	const limit = 16 // package config reserves 20 descriptors: for these connections, the listener and files
	if n := len(limiter.conns); n > limit {
		t.Errorf("%d connections, want at most %d", n, limit)
	}
}

// Close must return while connections wait to be admitted. No connection may be accepted afterwards.
func TestCloseWithConnectionsWaiting(t *testing.T) {
	s := startServer(t)
	for range 3 * maxConnections {
		dial(t, s.Addr(), time.Now().Add(testTimeout))
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.Close()
	}()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("Close does not return")
	}
	if c, err := net.Dial("tcp", s.Addr()); err == nil {
		_ = c.Close()
		t.Error("a connection was accepted after Close")
	}
}

// Close must not wait for requests in progress, even if a connection waits for one of them to end.
func TestCloseDuringRequests(t *testing.T) {
	s := startServer(t)
	release := make(chan struct{})
	defer close(release)
	s.block = release
	for range maxConnections - 1 {
		c := dial(t, s.Addr(), time.Now().Add(testTimeout))
		if _, err := io.WriteString(c, "POST /-/servers/blocked/disable HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	for calls := 0; calls < maxConnections-1; calls += len(s.takeCalls()) {
		time.Sleep(time.Millisecond)
	}
	dial(t, s.Addr(), time.Now().Add(testTimeout))
	time.Sleep(3 * minRequestTime) // the server accepts the connection and cannot admit it
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.Close()
	}()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("Close does not return")
	}
}
