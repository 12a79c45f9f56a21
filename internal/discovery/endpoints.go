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

// EndpointList is a list of servers in discovery's format. It is a complete list, or a delta with the changed entries.
type EndpointList struct {
	Version   int64      `json:"version"`
	Complete  bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host:port
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`     // capacity relative to other servers
	StartedMS int64   `json:"started_ms"` // time of the latest start in Unix milliseconds; 0 means unknown
}

// States of an endpoint in discovery's format.
const (
	stateInService   = "in_service"
	stateTerminating = "terminating"
	stateTerminated  = "terminated"
)

// Parse decodes a list in discovery's format. Its error is an *InvalidListError.
func Parse(text []byte) (*EndpointList, error) {
	var list EndpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, &InvalidListError{Err: err}
	}
	for i, endpoint := range list.Endpoints {
		if endpoint.ID == "" {
			return nil, &InvalidListError{Err: fmt.Errorf("servers[%d]: %w", i, ErrMissingID)}
		}
	}
	return &list, nil
}

// NewEndpointList returns a complete list of the servers in discovery's format. A Watcher can start from it.
func NewEndpointList(version int64, servers []engine.Server) *EndpointList {
	list := &EndpointList{Version: version, Complete: true}
	for _, server := range servers {
		list.Endpoints = append(list.Endpoints, newEndpoint(server))
	}
	return list
}

func newEndpoint(server engine.Server) Endpoint {
	state := stateInService
	if server.State != balancer.Ready {
		state = stateTerminating
	}
	return Endpoint{
		ID:        server.Name,
		Addr:      server.Addr,
		Zone:      server.Zone,
		Cell:      server.Cell,
		State:     state,
		Weight:    server.Capacity,
		StartedMS: server.Started.Milliseconds(),
	}
}

// EngineList returns the list in the engine's form, to be applied in the given mode.
func (l *EndpointList) EngineList(mode balancer.ListMode) engine.EndpointList {
	list := engine.EndpointList{Mode: mode, Version: l.Version, Servers: make([]engine.Server, 0, len(l.Endpoints))}
	for i := range l.Endpoints {
		list.Servers = append(list.Servers, l.Endpoints[i].engineServer())
	}
	return list
}

func (e *Endpoint) engineServer() engine.Server {
	return engine.Server{
		Name: e.ID,
		Addr: e.Addr,
		Server: balancer.Server{
			ID:       ServerID(e.ID),
			Zone:     e.Zone,
			Cell:     e.Cell,
			State:    e.serverState(),
			Capacity: e.Weight,
			Started:  time.Duration(e.StartedMS) * time.Millisecond, // the engine's clock is Unix time
		},
	}
}

// serverState returns the state of the server. A server in an unknown state counts as draining, because it is safe not to send
// it new requests.
func (e *Endpoint) serverState() balancer.ServerState {
	switch e.State {
	case stateInService:
		return balancer.Ready
	case stateTerminated:
		return balancer.Removed
	default:
		return balancer.Draining
	}
}

// ServerID returns the numeric ID of the server with the given id. It depends on the id alone, so it is the same on every
// gateway, after every restart and for every list. If the id consists of 8 hex digits, or ends in a hyphen and 8 hex digits, as
// in s-5be2a07c, the digits are the numeric ID. Any other id is hashed.
func ServerID(id string) balancer.ServerID {
	suffix := id[strings.LastIndexByte(id, '-')+1:]
	if len(suffix) == 8 {
		if number, err := strconv.ParseUint(suffix, 16, 32); err == nil {
			return balancer.ServerID(number)
		}
	}
	return balancer.ServerID(xxhash.Sum64String(id))
}
