package cluster

import (
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/membership"
)

// messageKind says which fields of a message are set.
type messageKind string

// The kinds, as they go over the network.
const (
	kindStateRequest messageKind = "ask"  // asks for the state of the receiver: no fields
	kindStatePart    messageKind = "part" // statePart
	kindLoadReport   messageKind = "tier" // loadReport
)

// message is what instances send one another: JSON, one message in a datagram.
type message struct {
	Kind messageKind `json:"k"`
	statePart
	loadReport
}

// statePart is the state of the sender with a part of its endpoint list. A part that is lost comes again with the answer to
// the next request.
type statePart struct {
	Version   int64                `json:"v,omitempty"` // of the list
	Hash      uint64               `json:"h,omitempty"` // of the whole list
	Index     int                  `json:"i,omitempty"` // of this part, from 0 on
	Parts     int                  `json:"n,omitempty"` // how many there are
	UpdatedMS int64                `json:"at,omitempty"`
	UptimeMS  int64                `json:"up,omitempty"` // how long the sender has served
	ClockMS   int64                `json:"now,omitempty"`
	Endpoints []discovery.Endpoint `json:"s,omitempty"`
}

// loadReport is a loadshed.Report.
type loadReport struct {
	Sequence     uint64    `json:"no,omitempty"` // within the sender's incarnation
	ShedRatio    float64   `json:"share,omitempty"`
	RequestRates []float64 `json:"asked,omitempty"`
}

const (
	// maxParts bounds a list that is sent: some 1,400 servers. Of a longer one the version alone is sent.
	maxParts = 200
	// partReserve is left free in a part for its index, the number of parts and the brackets of its list.
	partReserve = 64
)

// splitState returns the messages that carry a state with an endpoint list, each within a datagram.
func splitState(state statePart, endpoints []discovery.Endpoint) [][]byte {
	header := encode(message{Kind: kindStatePart, statePart: state})
	groups := groupBySize(endpoints, membership.MaxBodyBytes-len(header)-partReserve)
	if len(groups) == 0 || len(groups) > maxParts {
		groups = [][]discovery.Endpoint{nil}
	}
	messages := make([][]byte, len(groups))
	for i, group := range groups {
		state.Index, state.Parts, state.Endpoints = i, len(groups), group
		messages[i] = encode(message{Kind: kindStatePart, statePart: state})
	}
	return messages
}

// groupBySize cuts a list into groups whose JSON has at most maxBytes each. An entry that is larger alone is left out.
func groupBySize(endpoints []discovery.Endpoint, maxBytes int) [][]discovery.Endpoint {
	var groups [][]discovery.Endpoint
	used := maxBytes // of the last group
	for _, e := range endpoints {
		size := len(encode(e)) + 1 // with a comma
		if size > maxBytes {
			continue
		}
		if used+size > maxBytes {
			groups, used = append(groups, nil), 0
		}
		used += size
		groups[len(groups)-1] = append(groups[len(groups)-1], e)
	}
	return groups
}

// assembly puts the parts of one peer's state together.
type assembly struct {
	last  statePart // the part that came last
	parts map[int][]discovery.Endpoint
}

// add takes a part, and reports whether the state is complete. A part of another state than the earlier ones begins anew.
func (a *assembly) add(part statePart) (isComplete bool) {
	if part.Parts <= 0 || part.Parts > maxParts || part.Index < 0 || part.Index >= part.Parts {
		return false
	}
	if a.parts == nil || a.last.Version != part.Version || a.last.Hash != part.Hash || a.last.Parts != part.Parts {
		a.parts = map[int][]discovery.Endpoint{}
	}
	a.last = part
	a.parts[part.Index] = part.Endpoints
	return len(a.parts) == part.Parts
}

// endpoints returns the list of a complete state.
func (a *assembly) endpoints() []discovery.Endpoint {
	var all []discovery.Endpoint
	for i := range a.last.Parts {
		all = append(all, a.parts[i]...)
	}
	return all
}
