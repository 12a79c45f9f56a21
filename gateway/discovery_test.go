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

// fakeDiscovery serves one endpoint list, or fails, as the test sets it.
type fakeDiscovery struct {
	*http.Server
	t     *testing.T
	addr  string
	calls atomic.Int32

	mu      sync.Mutex
	list    string
	changed chan struct{} // closed at each change
}

func newFakeDiscovery(t *testing.T, list string) *fakeDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeDiscovery{t: t, addr: l.Addr().String(), list: list, changed: make(chan struct{})}
	s.Server = &http.Server{Handler: http.HandlerFunc(s.answer)}
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

func (s *fakeDiscovery) answer(w http.ResponseWriter, r *http.Request) {
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
	_, _ = io.WriteString(w, s.list) // the gateway may have gone
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

// listOf is a whole list of servers in service.
func listOf(version int, addrs ...string) string {
	var b strings.Builder
	for i, a := range addrs {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"s-%08x","addr":%q,"state":"in_service","weight":1}`, i+1, a)
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, &b)
}
