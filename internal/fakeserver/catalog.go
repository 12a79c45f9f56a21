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

// Endpoint is an entry of a Catalog.
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

// Catalog is a fake discovery service: it serves a versioned list of endpoints over HTTP, either complete or only what
// changed after a version. A watch is a call for changes that waits until there are some.
type Catalog struct {
	listener net.Listener
	server   *http.Server
	wg       sync.WaitGroup

	mu             sync.Mutex
	version        int64
	endpoints      []Endpoint
	changedAt      []int64       // the version of each endpoint's last change
	changed        chan struct{} // closed at the next change
	lastWatchStart time.Time
	watchedVersion int64         // that the caller of the latest watch holds
	stalled        chan struct{} // closed when the watches that are open now stall
}

// NewCatalog starts a service on a loopback port chosen by the kernel.
func NewCatalog(endpoints ...Endpoint) (*Catalog, error) {
	return NewCatalogAt(anyLoopbackPort, 1, endpoints...)
}

// NewCatalogAt starts a service at an address, with a list that has the given version.
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

// Close ends the service and all watches. It does not wait for their handlers.
func (c *Catalog) Close() {
	_ = c.server.Close()
	c.wg.Wait()
}

// SetEndpoint adds an endpoint or replaces the one with its ID; open watches are answered at once.
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

// StallWatches makes all open watches stall: they send nothing more and do not end, while later calls are served. It
// returns when the last watch was started.
func (c *Catalog) StallWatches() (lastWatchStart time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.stalled)
	c.stalled = make(chan struct{})
	return c.lastWatchStart
}

// IsListKnown reports whether the latest watch is by a caller that holds the present list.
func (c *Catalog) IsListKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watchedVersion == c.version
}

// memberList is the answer to a call.
type memberList struct {
	Version int64      `json:"version"`
	Full    bool       `json:"full"`
	Servers []Endpoint `json:"servers"`
}

// watch tells an open call of later events.
type watch struct{ changed, stalled <-chan struct{} }

// members returns the complete list, or what changed after a version, together with a watch for what happens next.
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
		waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64) // without a valid time it does not wait
		timeout := min(time.Duration(waitMS)*time.Millisecond, maxWatchDuration)
		if !c.awaitChange(r, events, after, timeout) {
			return
		}
		list, _ = c.members(after, false)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // fails only when the caller is gone
}

// awaitChange blocks until the list changes or the timeout passes, for a caller that holds the list of a version. It
// reports whether the call is to be answered.
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
