// Package fakeserver holds the peers that experiments and tests start in process: discovery's list of servers, a
// server of lines and a NATS server, each with switches for faults. They speak the published protocols on
// loopback and are no part of the balancer.
package fakeserver

import (
	"encoding/json"
	"net"
	"net/http"
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
	State     string  `json:"state"` // in_service, terminating or terminated
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// States of a Node.
const (
	StateInService   = "in_service"
	StateTerminating = "terminating"
	StateTerminated  = "terminated"
)

// waitMost bounds the time that a watch waits.
const waitMost = 60 * time.Second

// Catalog is discovery's service: the list of nodes over HTTP, whole or from a version on.
type Catalog struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	version int64
	nodes   []Endpoint
	changed []int64 // the version of each node's last change
	news    chan struct{}
	asked   time.Time     // when the last watch began
	silence chan struct{} // closed when the watches that are open fall silent; calls that come later are served
}

// NewCatalog starts a service on a port of loopback that the kernel picks.
func NewCatalog(nodes ...Endpoint) (*Catalog, error) { return NewCatalogAt("127.0.0.1:0", 1, nodes...) }

// NewCatalogAt starts a service at an address, with a list of a version.
func NewCatalogAt(addr string, version int64, nodes ...Endpoint) (*Catalog, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Catalog{listener: l, version: version, news: make(chan struct{}), silence: make(chan struct{})}
	for _, n := range nodes {
		c.nodes, c.changed = append(c.nodes, n), append(c.changed, version)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", c.members)
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go c.server.Serve(l)
	return c, nil
}

// Addr is where the service listens.
func (c *Catalog) Addr() string { return c.listener.Addr().String() }

// Close ends the service and all calls that wait.
func (c *Catalog) Close() { c.server.Close() }

// SetEndpoint adds a node or changes the one with its id; watches hear of it at once.
func (c *Catalog) SetEndpoint(n Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	at := -1
	for i := range c.nodes {
		if c.nodes[i].ID == n.ID {
			at = i
		}
	}
	if at < 0 {
		c.nodes, c.changed = append(c.nodes, Endpoint{}), append(c.changed, 0)
		at = len(c.nodes) - 1
	}
	c.nodes[at], c.changed[at] = n, c.version
	close(c.news)
	c.news = make(chan struct{})
}

// StallWatches has all watches that are open say nothing more, not even that they end. It tells when the last of them began.
func (c *Catalog) StallWatches() (began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.silence)
	c.silence = make(chan struct{})
	return c.asked
}

type answer struct {
	Version int64      `json:"version"`
	Full    bool       `json:"full"`
	Servers []Endpoint `json:"servers"`
}

// since is what has changed after a version; with full it is the whole list.
func (c *Catalog) since(after int64, full bool) (a answer, news, silence <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a = answer{Version: c.version, Full: full, Servers: []Endpoint{}}
	for i, n := range c.nodes {
		if full && n.State != StateTerminated || !full && c.changed[i] > after {
			a.Servers = append(a.Servers, n)
		}
	}
	return a, c.news, c.silence
}

func (c *Catalog) members(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	a, news, silence := c.since(after, err != nil)
	if err == nil && len(a.Servers) == 0 {
		c.mu.Lock()
		c.asked = time.Now()
		c.mu.Unlock()
		ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, waitMost))
		defer timer.Stop()
		select {
		case <-news:
			a, _, _ = c.since(after, false)
		case <-timer.C:
		case <-silence:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a)
}
