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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/milletvane/internal/maintenance"
)

// testTimeout is how long a test waits at most. It leaves time for a busy machine.
const testTimeout = 20 * time.Second

// testServer is a Server on loopback that records its calls of SetMaintenance.
type testServer struct {
	*Server
	ready atomic.Bool
	block chan struct{} // SetMaintenance for the id "blocked" returns once this is closed

	mu    sync.Mutex // guards calls
	calls []maintenanceCall
}

// maintenanceCall is one call of SetMaintenance.
type maintenanceCall struct {
	id            string
	inMaintenance bool
	bounded       bool // the deadline of its context is within maintenanceTimeout
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{}
	server, err := Listen("127.0.0.1:0", Options{
		Ready:          s.ready.Load,
		AppendMetrics:  func(b []byte) []byte { return append(b, "edge_proxy.discovered:3|g\n"...) },
		SetMaintenance: s.setMaintenance,
		Logger:         slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s.Server = server
	return s
}

func (s *testServer) setMaintenance(ctx context.Context, id string, inMaintenance bool) error {
	deadline, ok := ctx.Deadline()
	remaining := time.Until(deadline)
	s.mu.Lock()
	s.calls = append(s.calls, maintenanceCall{
		id:            id,
		inMaintenance: inMaintenance,
		bounded:       ok && remaining > 0 && remaining <= 900*time.Millisecond,
	})
	s.mu.Unlock()
	switch id {
	case "unlisted":
		return fmt.Errorf("wrapped: %w", maintenance.ErrUnknownServer)
	case "blocked":
		<-s.block
	case "late":
		return maintenance.ErrNotApplied
	case "broken":
		return errors.New("no disk")
	}
	return nil
}

// takeCalls returns the calls since it was last called.
func (s *testServer) takeCalls() []maintenanceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = nil
	return calls
}

// request sends text in pieces of pieceSize bytes and returns the response's status and body.
func (s *testServer) request(t *testing.T, text string, pieceSize int) (status int, body string) {
	t.Helper()
	c := dial(t, s.Addr(), time.Now().Add(testTimeout))
	for rest := text; rest != ""; {
		n := min(pieceSize, len(rest))
		if _, err := io.WriteString(c, rest[:n]); err != nil {
			t.Fatal(err)
		}
		rest = rest[n:]
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if !response.Close {
		t.Error("the response does not announce that the connection is closed")
	}
	content, _ := io.ReadAll(response.Body) // a response to HEAD has no body, whatever its Content-Length
	return response.StatusCode, string(content)
}

// dial opens a connection with the given deadline, which is closed when the test ends.
func dial(t *testing.T, addr string, deadline time.Time) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(deadline); err != nil {
		t.Fatal(err)
	}
	return c
}
