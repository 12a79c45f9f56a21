package config

import "time"

const (
	defaultClassTimeout = 3 * time.Second // of a configuration in which no class has a timeout

	maxClassTimeout  = 3 * time.Second        // a longer class timeout counts as this at a graceful shutdown
	lateClientGrace  = 300 * time.Millisecond // on top of it, for the answer to a client that arrives late
	partialLineGrace = 500 * time.Millisecond // on top of it, for the rest of a line that has arrived in part
	// Where packets pass through the gateway, another gateway takes over its open connections when this one is gone. Ending
	// the process before the platform kills it would break those connections, so the process waits this long for the kill.
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
