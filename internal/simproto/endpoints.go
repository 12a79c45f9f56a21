package simproto

import (
	"cmp"
	"errors"
	"fmt"

	"example.org/milletvane/balancer"
)

// The protocol's values of the mode field of update lines and of row lines, with those of the balancer.
var (
	listModes = map[string]balancer.ListMode{
		"Partial": balancer.ListDelta, "Complete": balancer.ListComplete, "Persisted": balancer.ListCached,
	}
	serverStates = map[string]balancer.ServerState{
		"IN": balancer.Ready, "LAME": balancer.Draining, "OUT": balancer.Removed,
	}
)

var errBackendMissing = errors.New("backend is missing")

// buildList converts the fields of an update line, and the row lines that follow it, to an event.
func (r *Reader) buildList(decoded *eventFields, ev *Event) error {
	if decoded.mode == listFailedMode {
		ev.ListFailed = true
		return nil
	}
	mode, ok := listModes[decoded.mode]
	if !ok {
		return r.errorf("update: unknown mode %q", decoded.mode)
	}
	servers, err := r.readServers(decoded.rows)
	if err != nil {
		return err
	}
	ev.Balancer = balancer.EndpointList{Mode: mode, Servers: servers}
	return nil
}

// readServers reads the given number of row lines.
func (r *Reader) readServers(rows int) ([]balancer.Server, error) {
	var servers []balancer.Server
	for range rows {
		line, err := r.nextLine()
		if err != nil {
			return nil, r.errorf("update: %d entries announced, input ends after %d", rows, len(servers))
		}
		f := fields{rest: line}
		if word := f.word(); string(word) != "row" {
			return nil, r.errorf("update: expected row, found %q", word)
		}
		server, err := r.decodeServer(&f)
		if err != nil {
			return nil, r.errorf("row: %w", err)
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// decodeServer decodes the fields of a row line. It ignores unknown fields.
func (r *Reader) decodeServer(f *fields) (balancer.Server, error) {
	var server balancer.Server
	hasID := false
	for f.next() {
		switch string(f.key) {
		case "backend":
			server.ID, hasID = balancer.ServerID(f.integer(uint32Limit)), true
		case "rack_zone":
			server.Zone = r.intern(f.value)
		case "cell":
			server.Cell = int(f.integer(noLimit))
		case "mode":
			state, ok := serverStates[string(f.value)]
			if !ok {
				return server, fmt.Errorf("unknown mode %q", f.value)
			}
			server.State = state
		case "capacity_hint":
			server.Capacity = f.float()
		case "up_since_ns":
			server.Started = f.duration()
		}
	}
	if f.err != nil || !hasID {
		return server, cmp.Or(f.err, errBackendMissing)
	}
	return server, nil
}
