package discovery

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/engine"
)

// fakeService simulates discovery or an agent for a watcher, which reaches it through pipes. It runs in simulated time, in a
// bubble of package synctest.
type fakeService struct {
	watcher   *Watcher
	lists     chan engine.EndpointList // lists passed to the watcher's handler
	polls     atomic.Int32             // number of polls received
	answer    http.HandlerFunc         // set by the script before start
	startedAt time.Time
	start     func(known *EndpointList) // runs the watcher
	stalled   chan struct{}             // closed at the end of the test, so that handlers that stall return
}

// pipeListener accepts the connections that its method dial opens.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runWatcher runs a watcher against a fake service. The script sets the service's answer, starts the watcher and checks its
// lists.
func runWatcher(t *testing.T, settings refresh.Settings, script func(t *testing.T, service *fakeService)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		conns := make(pipeListener)
		s := &fakeService{
			lists:     make(chan engine.EndpointList, 1000),
			startedAt: time.Now(),
			stalled:   make(chan struct{}),
		}
		s.watcher = New("a.example:1", settings, s.elapsed, slog.New(slog.DiscardHandler))
		s.watcher.client = newClient(conns.dial)
		s.watcher.SetHandler(func(ev engine.Event) { s.lists <- ev.(engine.EndpointList) })
		server := &http.Server{
			ErrorLog: log.New(io.Discard, "", 0),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				s.polls.Add(1)
				s.answer(w, r)
			}),
		}
		go func() { _ = server.Serve(conns) }() // ends when conns is closed
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		s.start = func(known *EndpointList) {
			go func() {
				defer close(done)
				s.watcher.Run(ctx, known)
			}()
		}
		script(t, s)
		cancel()
		<-done
		close(s.stalled)
		close(conns)
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // lets the handlers that still wait for changes return
	})
}

// elapsed returns the time since the service began.
func (s *fakeService) elapsed() time.Duration { return time.Since(s.startedAt) }

// receivedAt waits for a list with the given server and returns the time at which it arrived.
func (s *fakeService) receivedAt(id string) time.Duration {
	for list := range s.lists {
		for _, server := range list.Servers {
			if server.Name == id {
				return s.elapsed()
			}
		}
	}
	return 0
}

// listVersion is a version of a service's list, with the servers in service.
type listVersion struct {
	version int64
	ids     []string
}

// answerPoll answers as discovery does: with the complete list, with changes as soon as there are any, or with no changes when
// the poll's wait has passed. The function current returns the service's current list.
func (s *fakeService) answerPoll(w http.ResponseWriter, r *http.Request, current func() listVersion) {
	after, wait, ok := watchParameters(r)
	if !ok {
		list := current()
		respond(w, listOf(list.version, list.ids...))
		return
	}
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		if list := current(); list.version > after {
			respond(w, strings.Replace(listOf(list.version, list.ids...), "true", "false", 1))
			return
		}
		if !time.Now().Before(end) {
			respond(w, fmt.Sprintf(`{"version":%d,"full":false,"servers":[]}`, after))
			return
		}
	}
}

// watchParameters returns the parameters of a poll for changes. The result ok is false for a poll for the complete list.
func watchParameters(r *http.Request) (after int64, wait time.Duration, ok bool) {
	var waitMS int64
	n, err := fmt.Sscanf(r.URL.RawQuery, "after=%d&wait_ms=%d", &after, &waitMS)
	return after, time.Duration(waitMS) * time.Millisecond, err == nil && n == 2
}

// respond writes a body. It ignores the error, because the watcher may have closed the connection.
func respond(w http.ResponseWriter, body string) { _, _ = io.WriteString(w, body) }

// respondPart writes the first part of a body and flushes it to the connection.
func respondPart(w http.ResponseWriter, body string) {
	respond(w, body)
	w.(http.Flusher).Flush()
}

// listOf returns a complete list of servers in service.
func listOf(version int64, ids ...string) string {
	entries := make([]string, len(ids))
	for i, id := range ids {
		entries[i] = fmt.Sprintf(`{"id":%q,"state":"in_service"}`, id)
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(entries, ","))
}

// failure is a way in which a service fails to answer a poll.
type failure func(s *fakeService, w http.ResponseWriter)

// stalls are failures with no answer or an incomplete one that leave the connection open.
var stalls = map[string]failure{
	"nothing": func(s *fakeService, _ http.ResponseWriter) { <-s.stalled },
	"headers alone": func(s *fakeService, w http.ResponseWriter) {
		w.Header().Set("Content-Length", "500")
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		<-s.stalled
	},
	"half a body": func(s *fakeService, w http.ResponseWriter) {
		respondPart(w, listOf(2, "s-00000002")[:30])
		<-s.stalled
	},
	"a byte a second": func(_ *fakeService, w http.ResponseWriter) {
		for _, b := range []byte(listOf(2, "s-00000002")) {
			if _, err := w.Write([]byte{b}); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(time.Second)
		}
	},
}

// endingFailures are failures that end a poll.
var endingFailures = map[string]failure{
	"reset": func(*fakeService, http.ResponseWriter) { panic(http.ErrAbortHandler) },
	"cut in mid-body": func(_ *fakeService, w http.ResponseWriter) {
		respondPart(w, listOf(2, "s-00000002")[:30])
		panic(http.ErrAbortHandler)
	},
	"endless body": func(_ *fakeService, w http.ResponseWriter) {
		for {
			if _, err := w.Write(make([]byte, 1<<16)); err != nil {
				return
			}
		}
	},
	"too many callers": func(_ *fakeService, w http.ResponseWriter) {
		http.Error(w, "later", http.StatusServiceUnavailable)
	},
	"no list": func(_ *fakeService, w http.ResponseWriter) { respond(w, "<html>\r\n") },
}
