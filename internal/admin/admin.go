// Package admin answers operators' calls over HTTP on an address of its own. It asks through the functions that it is
// given, none of which may wait behind the engine's queue, but for calls that take a server out or put it back. It may not
// touch clients' connections.
package admin

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"example.org/milletvane/internal/maintenance"
)

const (
	headIn   = 2 * time.Second // a caller's head and body are in by then
	answerIn = 3 * time.Second // and its answer is written
	takeIn   = 900 * time.Millisecond
	headMost = 16 << 10 // bytes; ids may be long
	bodyMost = 4 << 10
)

// Options are what a Server answers from.
type Options struct {
	Ready          func() bool
	AppendMetrics  func([]byte) []byte                                  // appends the figures
	SetMaintenance func(ctx context.Context, id string, out bool) error // takes a server out or puts it back
	Logger         *slog.Logger
}

// Server listens for operators.
type Server struct {
	http     *http.Server
	listener net.Listener
	options  Options
}

// Listen opens the address and answers from then on.
func Listen(addr string, o Options) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{options: o}
	calls := newCallers(l)
	s.listener = calls
	s.http = &http.Server{
		Handler: s, ReadTimeout: headIn, WriteTimeout: answerIn, MaxHeaderBytes: headMost,
		ConnState: calls.state, ConnContext: calls.context, ErrorLog: log.New(discard{}, "", 0),
	}
	s.http.SetKeepAlivesEnabled(false) // one call a connection
	go s.http.Serve(calls)
	return s, nil
}

// discard takes net/http's words on callers that broke off: they would let anyone fill the log.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// Addr is the address that is listened on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends the listening and every call.
func (s *Server) Close() { s.http.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	finished(r.Context())
	r.Body = http.MaxBytesReader(w, r.Body, bodyMost)
	// The path as it was sent: an id may hold an escaped slash.
	switch path := r.URL.EscapedPath(); path {
	case "/-/ready":
		if !allow(w, r, http.MethodGet, http.MethodHead) {
			return
		}
		if !s.options.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ready\n"))
	case "/-/metrics":
		if !allow(w, r, http.MethodGet, http.MethodHead) {
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(s.options.AppendMetrics(nil))
	default:
		id, out, ok := server(path)
		if !ok {
			http.Error(w, "no such call", http.StatusNotFound)
			return
		}
		if allow(w, r, http.MethodPost) {
			s.set(w, r, id, out)
		}
	}
}

// server takes a call's path apart: the id, still escaped, and whether the server is to be taken out.
func server(path string) (id string, out, ok bool) {
	rest, ok := strings.CutPrefix(path, "/-/servers/")
	if !ok {
		return "", false, false
	}
	id, call, ok := strings.Cut(rest, "/")
	return id, call == "disable", ok && id != "" && (call == "disable" || call == "enable")
}

func (s *Server) set(w http.ResponseWriter, r *http.Request, escaped string, out bool) {
	id, err := url.PathUnescape(escaped)
	if err != nil {
		http.Error(w, "the id is not escaped as paths are", http.StatusBadRequest)
		return
	}
	ctx, end := context.WithTimeout(context.WithoutCancel(r.Context()), takeIn)
	defer end()
	switch err := s.options.SetMaintenance(ctx, id, out); {
	case err == nil && out:
		w.Write([]byte("out\n"))
	case err == nil:
		w.Write([]byte("in\n"))
	case errors.Is(err, maintenance.ErrUnknownServer):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, maintenance.ErrNotApplied):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		s.options.Logger.Error("server by hand", "server", id, "out", out, "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// allow answers a call whose method is another.
func allow(w http.ResponseWriter, r *http.Request, methods ...string) bool {
	for _, m := range methods {
		if r.Method == m {
			return true
		}
	}
	w.Header().Set("Allow", strings.Join(methods, ", "))
	http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	return false
}
