// Package admin serves operators over HTTP on a separate address: readiness, metrics, and maintenance mode of servers.
//
// A [Server] owns its listener and the goroutine that accepts connections; its methods may be called from any goroutine. It
// takes its responses from the functions in [Options], which it calls concurrently. These functions must not wait for the
// engine to handle its other events, except SetMaintenance, whose wait is bounded. Operators share no resources with
// clients: their connections are short-lived and limited in number.
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
	maintenanceTimeout = 900 * time.Millisecond // deadline of a call of SetMaintenance
	maxHeaderBytes     = 16 << 10               // server ids in the path may be long
	maxBodyBytes       = 4 << 10
)

// Options holds the dependencies of a Server. All fields are required.
type Options struct {
	// Ready reports whether the gateway serves clients.
	Ready func() bool
	// AppendMetrics appends the metrics page to b and returns the extended buffer.
	AppendMetrics func(b []byte) []byte
	// SetMaintenance enables or disables maintenance mode for a server, and returns once the change is in effect. It may
	// return maintenance.ErrUnknownServer, maintenance.ErrNotApplied or any other error.
	SetMaintenance func(ctx context.Context, id string, inMaintenance bool) error
	Logger         *slog.Logger
}

// Server is the HTTP server for operators. It serves until it is closed.
type Server struct {
	http     *http.Server
	listener net.Listener
	options  Options
	serving  sync.WaitGroup // the goroutine that accepts connections
}

// Listen opens the address, given as host:port, and starts serving. It returns an error if the address cannot be listened on.
func Listen(addr string, options Options) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err // the error includes the operation and the address
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
		// net/http logs errors of connections, so any peer could fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	s.http.SetKeepAlivesEnabled(false) // one request per connection
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

// Close stops listening and closes all connections. Requests in progress get no response; their calls of functions in Options
// may still be running when Close returns.
func (s *Server) Close() {
	_ = s.http.Close() // an error of closing the listener is harmless
	s.serving.Wait()
}
