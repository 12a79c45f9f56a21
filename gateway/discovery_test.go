package gateway_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// fakeDiscovery is a discovery server whose endpoint list the test sets. Without a list it answers 503.
type fakeDiscovery struct {
	*http.Server
	t     *testing.T
	addr  string
	calls atomic.Int32

	mu      sync.Mutex
	list    string
	changed chan struct{} // closed and replaced when list changes
}

func newFakeDiscovery(t *testing.T, list string) *fakeDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeDiscovery{t: t, addr: l.Addr().String(), list: list, changed: make(chan struct{})}
	s.Server = &http.Server{Handler: http.HandlerFunc(s.serveList)}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s
}

func (s *fakeDiscovery) serveList(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	if r.URL.Query().Get("after") == s.version() {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == "" {
		http.Error(w, "too many callers", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, s.list) // the gateway may have disconnected
}

func (s *fakeDiscovery) version() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == "" {
		return ""
	}
	var list struct{ Version json.Number }
	if err := json.Unmarshal([]byte(s.list), &list); err != nil {
		s.t.Error(err)
	}
	return list.Version.String()
}

func (s *fakeDiscovery) set(list string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
	close(s.changed)
	s.changed = make(chan struct{})
}

// endpointListJSON returns a full endpoint list of servers that are in service.
func endpointListJSON(version int, addrs ...string) string {
	var b strings.Builder
	for i, a := range addrs {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"s-%08x","addr":%q,"state":"in_service","weight":1}`, i+1, a)
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, &b)
}
