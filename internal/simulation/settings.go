package simulation

import (
	"time"

	"example.org/milletvane/balancer"
)

// Settings describes a simulated site.
type Settings struct {
	Balancer       balancer.Settings // of each gateway but for the seed; requests are of its first class
	Nodes          []NodeSettings    // one each; their server ids count from 1
	NetworkDelay   time.Duration     // one way between gateways and nodes
	DiscoveryDelay time.Duration     // until a gateway learns of a change of a node
	ArrivalRate    float64           // new clients a second
	MeanLifetime   time.Duration     // for which a client wants its connection
	MeanLoad       float64           // of a connection, in cores of reference
	ReconnectDelay time.Duration     // until a client that lost its connection requests another
	AnswerSlack    time.Duration     // by which the answer to a request may miss its deadline
}

// Stats is what happened in a simulation so far.
type Stats struct {
	Requests, Established, Rejected, Failed int // requests, and their answers
	Attempts, Disconnected, Migrated        int
	WantedSeconds                           float64  // for which clients wanted a connection, summed up
	ServedSeconds                           float64  // of connections at nodes, less what overloaded nodes could not serve
	Violations                              []string // of the balancer's rules, for people to read: the first few
}

// minWantedSeconds keeps the ratio of a simulation without clients finite.
const minWantedSeconds = 1e-9

// ServedRatio returns the part of the wanted seconds that was served.
func (s *Stats) ServedRatio() float64 {
	return s.ServedSeconds / max(s.WantedSeconds, minWantedSeconds)
}
