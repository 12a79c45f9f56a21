// Package simproto implements the simulator's line protocol: it decodes batches of events and encodes the actions that the
// balancer takes in reply. It maps the protocol's names to those of the balancer and makes no decisions.
//
// A Reader must not be used by several goroutines at once. The Append functions are stateless.
package simproto

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
)

// Event is one event of a batch. It is addressed to one instance of the balancer. Exactly one of Start, Stop, ListFailed
// and Balancer is set.
type Event struct {
	Instance   int            // the simulator's number of the instance, from 0
	Start      *Start         // starts the instance
	Stop       bool           // ends the instance
	ListFailed bool           // an endpoint list request failed, or the watch ended with an error
	Balancer   balancer.Event // is passed to the instance's balancer
}

// Start holds the settings of a new instance.
type Start struct {
	Balancer    balancer.Settings
	PollsList   bool // whether the instance must request the endpoint list; if false, changes arrive without a request
	ListRefresh refresh.Settings
}

// Batch holds all events of one point in simulated time.
type Batch struct {
	Now    time.Duration // time since the simulator's epoch
	Events []Event
}
