package config

import "time"

const (
	defaultClassTimeout = 3 * time.Second // where no class has one

	maxDrainedTimeout = 3 * time.Second        // a longer timeout is taken as this when the platform ends a program,
	answerGrace       = 300 * time.Millisecond // and a client that comes late still has its answer,
	drainGrace        = 500 * time.Millisecond // and half a line its end
	// Where packets pass through, another gateway takes up what is open when this one is gone. An end before the
	// platform ends the program would break these connections instead, so it is left to the platform for so long.
	passThroughDrainTimeout = 15 * time.Second
)

// setTimeouts derives from the settings how long a planned stop takes.
func (c *Config) setTimeouts() {
	longest := min(c.Gateway.MaxClassTimeout, maxDrainedTimeout)
	c.AnswerTimeout = longest + answerGrace
	c.DrainTimeout = longest + drainGrace
	if c.Gateway.ConnectionsOutliveGateway {
		c.DrainTimeout = passThroughDrainTimeout
	}
}
