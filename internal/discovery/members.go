package discovery

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/engine"
)

// EndpointList is a list of servers in discovery's form.
type EndpointList struct {
	Version   int64      `json:"version"`
	Complete  bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is one of its entries.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Parse reads a list.
func Parse(b []byte) (*EndpointList, error) {
	var m EndpointList
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	for i, s := range m.Endpoints {
		if s.ID == "" {
			return nil, fmt.Errorf("servers[%d]: id is missing", i)
		}
	}
	return &m, nil
}

// ServerID is a server's number: the same on every balancer and after every restart, whatever lists came
// before. An id that ends in 32 bits of hex, as s-5be2a07c, holds its number already; others are hashed.
func ServerID(id string) balancer.ServerID {
	if hex := id[strings.LastIndexByte(id, '-')+1:]; len(hex) == 8 {
		if n, err := strconv.ParseUint(hex, 16, 32); err == nil {
			return balancer.ServerID(n)
		}
	}
	return balancer.ServerID(xxhash.Sum64String(id))
}

// NewEndpointList is the list in discovery's form again, as a watch goes on from it.
func NewEndpointList(version int64, servers []engine.Server) *EndpointList {
	m := &EndpointList{Version: version, Complete: true}
	for _, s := range servers {
		state := "in_service"
		if s.State != balancer.Ready {
			state = "terminating"
		}
		m.Endpoints = append(m.Endpoints, Endpoint{ID: s.Name, Addr: s.Addr, Zone: s.Zone, Cell: s.Cell, State: state,
			Weight: s.Capacity, StartedMS: s.Started.Milliseconds()})
	}
	return m
}

// EngineList is the engine's form of the list.
func (m *EndpointList) EngineList(mode balancer.ListMode) engine.EndpointList {
	l := engine.EndpointList{Mode: mode, Version: m.Version, Servers: make([]engine.Server, 0, len(m.Endpoints))}
	for _, s := range m.Endpoints {
		// What is in no known state wants nothing new for all that is known.
		state := balancer.Draining
		switch s.State {
		case "in_service":
			state = balancer.Ready
		case "terminated":
			state = balancer.Removed
		}
		l.Servers = append(l.Servers, engine.Server{Name: s.ID, Addr: s.Addr, Server: balancer.Server{
			ID: ServerID(s.ID), Zone: s.Zone, Cell: s.Cell, State: state, Capacity: s.Weight,
			Started: time.Duration(s.StartedMS) * time.Millisecond, // the engine's clock is Unix time
		}})
	}
	return l
}
