package cluster

import (
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/membership"
)

// messageKind is the kind of a message, which determines the fields that are set.
type messageKind string

// Kinds of messages, as encoded in a datagram.
const (
	kindStateRequest messageKind = "ask"  // requests the state of the receiver; sets no other fields
	kindStatePart    messageKind = "part" // sets the fields of statePart
	kindLoadReport   messageKind = "tier" // sets the fields of loadReport
)

// message is a message between two instances. It is encoded as JSON, one message to a datagram.
type message struct {
	Kind messageKind `json:"k"`
	statePart
	loadReport
}

// statePart is the state of the sender with a part of its endpoint list. A part that is lost is sent again in answer to a
// later request.
type statePart struct {
	Version   int64                `json:"v,omitempty"`   // version of the list
	Hash      uint64               `json:"h,omitempty"`   // hash of the whole list
	Index     int                  `json:"i,omitempty"`   // index of this part, from 0
	Parts     int                  `json:"n,omitempty"`   // number of parts
	UpdatedMS int64                `json:"at,omitempty"`  // time at which the list was stored or received, in Unix milliseconds
	UptimeMS  int64                `json:"up,omitempty"`  // how long the sender has served; 0 while it is recovering
	ClockMS   int64                `json:"now,omitempty"` // time of the sender's clock, in Unix milliseconds
	Endpoints []discovery.Endpoint `json:"s,omitempty"`
}

// loadReport is the encoded form of a loadshed.Report.
type loadReport struct {
	Sequence     uint64    `json:"no,omitempty"` // number of the report within the sender's incarnation
	ShedRatio    float64   `json:"share,omitempty"`
	RequestRates []float64 `json:"asked,omitempty"`
}

const (
	// maxParts is the largest number of parts of a list, which is enough for about 1,400 servers. A longer list is sent
	// without its entries.
	maxParts = 200
	// partReserve is the number of bytes in a part for its index, the number of parts and the brackets of its list.
	partReserve = 64
)

// splitState returns the encoded messages that carry a state with an endpoint list, each of which fits into a datagram.
func splitState(state statePart, endpoints []discovery.Endpoint) [][]byte {
	header := encode(message{Kind: kindStatePart, statePart: state})
	groups := groupBySize(endpoints, membership.MaxPayloadBytes-len(header)-partReserve)
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

// groupBySize splits a list into groups whose JSON has at most maxBytes bytes each. It leaves out an entry that is larger by
// itself.
func groupBySize(endpoints []discovery.Endpoint, maxBytes int) [][]discovery.Endpoint {
	var groups [][]discovery.Endpoint
	groupBytes := maxBytes // bytes in the last group
	for _, e := range endpoints {
		size := len(encode(e)) + 1 // includes the comma
		if size > maxBytes {
			continue
		}
		if groupBytes+size > maxBytes {
			groups, groupBytes = append(groups, nil), 0
		}
		groupBytes += size
		groups[len(groups)-1] = append(groups[len(groups)-1], e)
	}
	return groups
}

// assembly collects the parts of one peer's state.
type assembly struct {
	lastPart statePart                    // the part received last
	parts    map[int][]discovery.Endpoint // entries by the index of their part
}

// add adds a part and reports whether the state is complete. It ignores an invalid part. If the part belongs to
// another state than the parts collected so far, add discards the collected parts first.
func (a *assembly) add(part statePart) (isComplete bool) {
	if part.Parts <= 0 || part.Parts > maxParts || part.Index < 0 || part.Index >= part.Parts {
		return false
	}
	if a.parts == nil || a.lastPart.Version != part.Version || a.lastPart.Hash != part.Hash || a.lastPart.Parts != part.Parts {
		a.parts = map[int][]discovery.Endpoint{}
	}
	a.lastPart = part
	a.parts[part.Index] = part.Endpoints
	return len(a.parts) == part.Parts
}

// endpoints returns the list of a complete state.
func (a *assembly) endpoints() []discovery.Endpoint {
	var all []discovery.Endpoint
	for i := range a.lastPart.Parts {
		all = append(all, a.parts[i]...)
	}
	return all
}
