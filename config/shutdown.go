package config

import "time"

const (
	defaultClassTimeout = 3 * time.Second // used if no class has a timeout

	maxClassTimeout  = 3 * time.Second        // a longer class timeout counts as this at a graceful shutdown
	lateClientGrace  = 300 * time.Millisecond // added to the class timeout, for answering a client that arrives late
	partialLineGrace = 500 * time.Millisecond // added to the class timeout, for the rest of a line that has arrived in part
	// passThroughDrainTimeout applies if packets pass through the gateway. Another gateway then takes over its open connections
	// when this gateway is gone. Ending the process before the platform kills it would break those connections, so the
	// process waits this long to be killed.
	passThroughDrainTimeout = 15 * time.Second
)

// setTimeouts derives the timeouts of a graceful shutdown from the settings.
func (c *Config) setTimeouts() {
	classTimeout := min(c.Gateway.MaxClassTimeout, maxClassTimeout)
	c.AnswerTimeout = classTimeout + lateClientGrace
	c.DrainTimeout = classTimeout + partialLineGrace
	if c.Gateway.ConnectionsOutliveGateway {
		c.DrainTimeout = passThroughDrainTimeout
	}
}
