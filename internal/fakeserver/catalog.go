package fakeserver

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry in the endpoint list of a Catalog.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // one of the State constants
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// States of an Endpoint.
const (
	StateInService   = "in_service"
	StateTerminating = "terminating"
	StateTerminated  = "terminated"
)

const (
	maxWatchDuration         = 60 * time.Second
	catalogReadHeaderTimeout = 5 * time.Second
)

// Catalog is a fake discovery service. It serves a versioned endpoint list over HTTP, either the complete list or the
// endpoints that changed after a given version. A watch is a request for changes that blocks until there are some.
type Catalog struct {
	listener net.Listener
	server   *http.Server
	wg       sync.WaitGroup

	mu             sync.Mutex
	version        int64
	endpoints      []Endpoint
	changedAt      []int64       // by index in endpoints: the version of the last change
	changed        chan struct{} // closed at the next change of the list
	lastWatchStart time.Time
	watchedVersion int64         // the version that the caller of the latest watch holds
	stalled        chan struct{} // closed when the currently open watches stall
}

// NewCatalog starts a Catalog on a loopback port chosen by the kernel, with list version 1.
func NewCatalog(endpoints ...Endpoint) (*Catalog, error) {
	return NewCatalogAt(anyLoopbackPort, 1, endpoints...)
}

// NewCatalogAt starts a Catalog on the given address with the given list version.
func NewCatalogAt(addr string, version int64, endpoints ...Endpoint) (*Catalog, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Catalog{
		listener:  listener,
		version:   version,
		endpoints: slices.Clone(endpoints),
		changedAt: slices.Repeat([]int64{version}, len(endpoints)),
		changed:   make(chan struct{}),
		stalled:   make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", c.serveMembers)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: catalogReadHeaderTimeout}
	c.wg.Go(func() { _ = c.server.Serve(listener) }) // ends with http.ErrServerClosed
	return c, nil
}

// Addr returns the address on which the service listens.
func (c *Catalog) Addr() string { return c.listener.Addr().String() }

// Close stops the service and ends all watches. It does not wait for the handlers of the watches.
func (c *Catalog) Close() {
	_ = c.server.Close()
	c.wg.Wait()
}

// SetEndpoint adds an endpoint or replaces the one with the same ID. Open watches are answered immediately.
func (c *Catalog) SetEndpoint(endpoint Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	i := slices.IndexFunc(c.endpoints, func(e Endpoint) bool { return e.ID == endpoint.ID })
	if i < 0 {
		i = len(c.endpoints)
		c.endpoints = append(c.endpoints, Endpoint{})
		c.changedAt = append(c.changedAt, 0)
	}
	c.endpoints[i] = endpoint
	c.changedAt[i] = c.version
	close(c.changed)
	c.changed = make(chan struct{})
}

// StallWatches makes all open watches stall: they send nothing more and stay open, while later requests are served. It
// returns the start time of the latest watch.
func (c *Catalog) StallWatches() (lastWatchStart time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.stalled)
	c.stalled = make(chan struct{})
	return c.lastWatchStart
}

// IsListKnown reports whether the caller of the latest watch holds the current list version.
func (c *Catalog) IsListKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watchedVersion == c.version
}

// memberList is the body of a response.
type memberList struct {
	Version int64      `json:"version"`
	Full    bool       `json:"full"`
	Servers []Endpoint `json:"servers"`
}

// watch holds the channels that notify an open request of later events.
type watch struct{ changed, stalled <-chan struct{} }

// members returns the complete list, or the endpoints that changed after a version, and a watch for later events.
func (c *Catalog) members(after int64, full bool) (memberList, watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := memberList{Version: c.version, Full: full, Servers: []Endpoint{}}
	for i, endpoint := range c.endpoints {
		if full && endpoint.State != StateTerminated || !full && c.changedAt[i] > after {
			list.Servers = append(list.Servers, endpoint)
		}
	}
	return list, watch{changed: c.changed, stalled: c.stalled}
}

func (c *Catalog) serveMembers(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	full := err != nil
	list, events := c.members(after, full)
	if !full && len(list.Servers) == 0 {
		waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64) // zero if invalid: no wait
		timeout := min(time.Duration(waitMS)*time.Millisecond, maxWatchDuration)
		if !c.awaitChange(r, events, after, timeout) {
			return
		}
		list, _ = c.members(after, false)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // fails only if the caller has disconnected
}

// awaitChange blocks until the list changes, the timeout expires or the caller disconnects. held is the list version that
// the caller has. It reports whether the request must be answered.
func (c *Catalog) awaitChange(r *http.Request, w watch, held int64, timeout time.Duration) bool {
	c.mu.Lock()
	c.lastWatchStart = time.Now()
	c.watchedVersion = held
	c.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.changed:
		return true
	case <-timer.C:
		return true
	case <-w.stalled:
		<-r.Context().Done()
		return false
	case <-r.Context().Done():
		return false
	}
}
