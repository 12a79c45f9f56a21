// Package admin answers operators over HTTP on an address of its own: readiness, metrics, and maintenance mode of servers.
//
// A [Server] owns its listener and the goroutine that accepts from it; its methods may be called by any goroutine. What it
// answers comes from the functions in [Options], which are called concurrently. They must not queue behind the engine's
// other events, except SetMaintenance, whose wait is bounded. Operators share no resources with clients: connections are
// few, short, and bounded in number.
package admin

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	readTimeout        = 2 * time.Second        // from accepting a connection to the end of its request
	writeTimeout       = 3 * time.Second        // from the end of a request's header to the end of the response
	maintenanceTimeout = 900 * time.Millisecond // for SetMaintenance
	maxHeaderBytes     = 16 << 10               // server ids in the path may be long
	maxBodyBytes       = 4 << 10
)

// Options are what a Server answers from. All are required.
type Options struct {
	// Ready reports whether the gateway serves clients.
	Ready func() bool
	// AppendMetrics appends the metrics page to b and returns the extended buffer.
	AppendMetrics func(b []byte) []byte
	// SetMaintenance puts a server into maintenance mode or ends that, and returns once it holds. Its errors may be
	// maintenance.ErrUnknownServer, maintenance.ErrNotApplied or any other.
	SetMaintenance func(ctx context.Context, id string, inMaintenance bool) error
	Logger         *slog.Logger
}

// Server answers operators until it is closed.
type Server struct {
	http     *http.Server
	listener net.Listener
	options  Options
	serving  sync.WaitGroup // the goroutine that accepts
}

// Listen opens the address, as host:port, and answers from then on.
func Listen(addr string, options Options) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err // names the operation and the address
	}
	limiter := newConnLimiter(listener)
	s := &Server{listener: limiter, options: options}
	s.http = &http.Server{
		Handler:        s,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      limiter.connState,
		ConnContext:    limiter.connContext,
		// What net/http logs of broken connections would let anyone fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	s.http.SetKeepAlivesEnabled(false) // one request a connection
	s.serving.Go(func() { s.serve(limiter) })
	return s, nil
}

func (s *Server) serve(listener net.Listener) {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.options.Logger.Error("admin server stopped", "addr", s.Addr(), "err", err)
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops listening and closes all connections. Requests in progress get no answer; their calls of Options may still
// run when it returns.
func (s *Server) Close() {
	_ = s.http.Close() // of the listener; nothing can be lost
	s.serving.Wait()
}
