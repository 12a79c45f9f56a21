package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is an entry of discovery's list.
type endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type endpointList struct {
	Version int64      `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

// discovery stands in for discovery. It answers a watch with the whole list once something newer exists, or with no
// entries after the wait.
type discovery struct {
	record   *record
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	version int64
	servers []endpoint
	changed chan struct{}
	down    bool // calls end with 503
}

func startDiscovery(r *record) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{record: r, listener: l, version: 41, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", d.serve)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go d.server.Serve(l)
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

func (d *discovery) close() { _ = d.server.Close() }

func (d *discovery) list() endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return endpointList{d.version, true, append([]endpoint{}, d.servers...)}
}

// set adds or replaces an entry.
func (d *discovery) set(e endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	found := false
	for i := range d.servers {
		if d.servers[i].ID == e.ID {
			d.servers[i], found = e, true
		}
	}
	if !found {
		d.servers = append(d.servers, e)
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.printf("discovery: version %d, %s is %s", d.version, e.ID, e.State)
}

// setDown sets whether discovery is down.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.record.printf("discovery: down=%t", down)
}

func (d *discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if d.isDown() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	list := d.list()
	if after := r.URL.Query().Get("after"); after != "" {
		version, _ := strconv.ParseInt(after, 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		if list = d.await(version, time.Duration(wait)*time.Millisecond); list.Version <= version {
			list = endpointList{Version: list.Version, Servers: []endpoint{}}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// await returns the list once it is newer than version, or after the wait.
func (d *discovery) await(version int64, wait time.Duration) endpointList {
	timeout := time.After(wait)
	for {
		d.mu.Lock()
		current, changed := d.version, d.changed
		d.mu.Unlock()
		if current > version {
			return d.list()
		}
		select {
		case <-changed:
		case <-timeout:
			return d.list()
		}
	}
}
