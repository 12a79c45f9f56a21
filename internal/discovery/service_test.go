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

// fakeService is discovery, or an agent, at the other end of pipes, in a bubble of simulated time.
type fakeService struct {
	watcher *Watcher
	lists   chan engine.EndpointList // that the watcher's handler gets
	polls   atomic.Int32
	answer  http.HandlerFunc // set by the script before start
	began   time.Time
	start   func(known *EndpointList) // runs the watcher
	stalled chan struct{}             // closed at the end: handlers that stall return
}

// pipeListener accepts connections that a test dials.
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

// play runs a watcher against a service that a script answers for.
func play(t *testing.T, settings refresh.Settings, script func(t *testing.T, service *fakeService)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		conns := make(pipeListener)
		s := &fakeService{
			lists:   make(chan engine.EndpointList, 1000),
			began:   time.Now(),
			stalled: make(chan struct{}),
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
		time.Sleep(time.Minute) // handlers that still wait for changes return
	})
}

// elapsed is the time since the service began.
func (s *fakeService) elapsed() time.Duration { return time.Since(s.began) }

// receivedAt waits for a list that has a server, and returns when it came.
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

// listVersion is what a service has at some moment.
type listVersion struct {
	version int64
	ids     []string
}

// answerPoll answers as discovery does: with the complete list, or with changes once there are some, or with no changes
// after the wait.
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

// watchParameters reads a poll's query; ok is false for a poll of the complete list.
func watchParameters(r *http.Request) (after int64, wait time.Duration, ok bool) {
	var waitMS int64
	n, err := fmt.Sscanf(r.URL.RawQuery, "after=%d&wait_ms=%d", &after, &waitMS)
	return after, time.Duration(waitMS) * time.Millisecond, err == nil && n == 2
}

// respond writes a body; the watcher may have hung up, which is no failure of the service.
func respond(w http.ResponseWriter, body string) { _, _ = io.WriteString(w, body) }

// respondPart writes the first part of a body and sends it off.
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

// stalls answer nothing, or nothing complete, and keep the connection open.
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

// breaks end a poll in another way than a stall.
var breaks = map[string]failure{
	"reset": func(*fakeService, http.ResponseWriter) { panic(http.ErrAbortHandler) },
	"cut in mid-body": func(_ *fakeService, w http.ResponseWriter) {
		respondPart(w, listOf(2, "s-00000002")[:30])
		panic(http.ErrAbortHandler)
	},
	"without end": func(_ *fakeService, w http.ResponseWriter) {
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
