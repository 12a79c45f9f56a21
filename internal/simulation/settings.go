package simulation

import (
	"time"

	"example.org/milletvane/balancer"
)

// Settings describes a simulated site.
type Settings struct {
	Balancer       balancer.Settings // settings of each gateway except the seed; requests belong to the first class
	Nodes          []NodeSettings    // one entry for each node; server IDs count from 1
	NetworkDelay   time.Duration     // one-way delay between gateways and nodes
	DiscoveryDelay time.Duration     // delay until a gateway learns of a change of a node's state
	ArrivalRate    float64           // new clients per second
	MeanLifetime   time.Duration     // mean time for which a client wants a connection
	MeanLoad       float64           // mean load of a connection, in reference cores
	ReconnectDelay time.Duration     // delay until a client that lost its connection requests another one
	AnswerSlack    time.Duration     // time by which the answer to a request may miss its deadline
}

// Stats holds the totals of a simulation since its start.
type Stats struct {
	Requests, Established, Rejected, Failed int      // requests, and their answers by kind
	Attempts, Disconnected, Migrated        int      // attempts sent; connections lost with a node; connections migrated
	WantedSeconds                           float64  // client-seconds for which clients wanted a connection
	ServedSeconds                           float64  // connection-seconds at nodes, without what overloaded nodes could not serve
	Violations                              []string // descriptions of the first maxViolations broken rules
}

// minWantedSeconds keeps ServedRatio finite in a simulation without clients.
const minWantedSeconds = 1e-9

// ServedRatio returns the fraction of the wanted seconds that was served.
func (s *Stats) ServedRatio() float64 {
	return s.ServedSeconds / max(s.WantedSeconds, minWantedSeconds)
}
