// Package simproto is the codec of the simulator's line protocol: it decodes batches of events and encodes the actions
// that answer them. It maps the protocol's names to those of the balancer and decides nothing.
//
// A Reader holds the state of its input and belongs to one goroutine. The Append functions hold no state.
package simproto

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
)

// Event is one event of a batch, for one instance of the balancer. Exactly one of Start, Stop, ListFailed and Balancer is
// set.
type Event struct {
	Instance   int // from 0, as numbered by the simulator
	Start      *Start
	Stop       bool
	ListFailed bool // an endpoint list request failed, or the watch broke
	Balancer   balancer.Event
}

// Start holds the settings of a new instance.
type Start struct {
	Balancer    balancer.Settings
	PollsList   bool // the endpoint list is requested; false: changes arrive without a request
	ListRefresh refresh.Settings
}

// Batch is all events of one point in time.
type Batch struct {
	Now    time.Duration // since the simulator's epoch
	Events []Event
}
