package admin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"example.org/milletvane/internal/maintenance"
)

// Request paths. A maintenance request is a POST to serversPath + escaped id + "/" + action.
const (
	readyPath     = "/-/ready"
	metricsPath   = "/-/metrics"
	serversPath   = "/-/servers/"
	disableAction = "disable"
	enableAction  = "enable"
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	markRequestRead(r.Context())
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	// The path stays escaped here, because an id may contain an escaped slash.
	switch path := r.URL.EscapedPath(); path {
	case readyPath:
		s.serveReady(w, r)
	case metricsPath:
		s.serveMetrics(w, r)
	default:
		s.serveMaintenance(w, r, path)
	}
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if !allowMethods(w, r, http.MethodGet, http.MethodHead) {
		return
	}
	if !s.options.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	respond(w, "ready\n")
}

func (s *Server) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if !allowMethods(w, r, http.MethodGet, http.MethodHead) {
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	respond(w, string(s.options.AppendMetrics(nil)))
}

func (s *Server) serveMaintenance(w http.ResponseWriter, r *http.Request, path string) {
	request, ok := parseMaintenancePath(path)
	if !ok {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if !allowMethods(w, r, http.MethodPost) {
		return
	}
	id, err := url.PathUnescape(request.escapedID)
	if err != nil {
		http.Error(w, "the id is not escaped as paths are", http.StatusBadRequest)
		return
	}
	// A change that has started is completed even if the operator disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), maintenanceTimeout)
	defer cancel()
	if err := s.options.SetMaintenance(ctx, id, request.inMaintenance); err != nil {
		s.respondMaintenanceError(w, id, request.inMaintenance, err)
		return
	}
	if request.inMaintenance {
		respond(w, "out\n")
	} else {
		respond(w, "in\n")
	}
}

func (s *Server) respondMaintenanceError(w http.ResponseWriter, id string, inMaintenance bool, err error) {
	switch {
	case errors.Is(err, maintenance.ErrUnknownServer):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, maintenance.ErrNotApplied):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		s.options.Logger.Error("maintenance mode not changed", "server", id, "enabled", inMaintenance, "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// maintenanceRequest holds the parsed path of a maintenance request.
type maintenanceRequest struct {
	escapedID     string
	inMaintenance bool
}

// parseMaintenancePath parses an escaped path. ok is false if the path is not that of a maintenance request.
func parseMaintenancePath(path string) (_ maintenanceRequest, ok bool) {
	rest, ok := strings.CutPrefix(path, serversPath)
	if !ok {
		return maintenanceRequest{}, false
	}
	id, action, ok := strings.Cut(rest, "/")
	if !ok || id == "" || action != disableAction && action != enableAction {
		return maintenanceRequest{}, false
	}
	return maintenanceRequest{escapedID: id, inMaintenance: action == disableAction}, true
}

// allowMethods reports whether a request has one of the methods. If not, it responds with status 405.
func allowMethods(w http.ResponseWriter, r *http.Request, methods ...string) bool {
	if slices.Contains(methods, r.Method) {
		return true
	}
	w.Header().Set("Allow", strings.Join(methods, ", "))
	http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	return false
}

// respond writes a body. Errors are ignored, because they mean that the operator has disconnected.
func respond(w http.ResponseWriter, body string) { _, _ = io.WriteString(w, body) }
