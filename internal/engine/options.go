package engine

import (
	"log/slog"
	"time"

	"example.org/milletvane/internal/metrics"
)

// Options holds the configuration of an Engine.
type Options struct {
	// MaxSockets is the maximum number of sockets to clients and to servers together. A request takes one of each.
	MaxSockets int
	// MaxIdleClients is the maximum number of clients without a request. Zero means that only MaxSockets limits them.
	MaxIdleClients int

	// Classes holds the request classes that the gateway serves. A request of any other class fails. If Classes is
	// empty, every class is served.
	Classes []string
	// PriorityOf returns the priority of a request; 0 is the lowest. If it is nil, every request has priority 0.
	PriorityOf func(class, tenant string) int

	// RetryAfter is the retry delay that clients get when they are rejected for lack of sockets. Zero means that no
	// delay is given.
	RetryAfter time.Duration
	// DefaultTimeout is the timeout of requests that state none.
	DefaultTimeout time.Duration
	// AnswerGrace is how long after a request's deadline an answer still counts. Values below 5 ms mean 5 ms.
	AnswerGrace time.Duration
	// FlowRetention is how long servers keep a connection after its last packet.
	FlowRetention time.Duration
	// ConnectionsOutliveGateway reports whether open connections continue at another gateway, so that a shutdown leaves
	// them open. Otherwise a shutdown migrates their clients.
	ConnectionsOutliveGateway bool

	// ReportsMessageDelay reports whether the balancer is notified of slow messages.
	ReportsMessageDelay bool
	// MessageLatencyObjective is the shortest latency objective for a message. Zero means that there is none.
	MessageLatencyObjective time.Duration
	// CanPollLoad reports whether the engine may poll servers for their load.
	CanPollLoad bool

	// ReadyTimeout is how long after its start a gateway without an endpoint list becomes ready. Zero means never.
	ReadyTimeout time.Duration
	// AnswerTimeout is the time after Shutdown by which all pending requests have been answered. Zero, or a value above
	// DrainTimeout, means DrainTimeout.
	AnswerTimeout time.Duration
	// DrainTimeout is the time after Shutdown at which the engine ends at the latest.
	DrainTimeout time.Duration

	// Metrics holds the counters and gauges that the engine updates. If it is nil, the engine uses a private registry.
	Metrics *metrics.Registry
	// PriorityCounters counts the results of requests by priority. It may be nil.
	PriorityCounters *metrics.PriorityCounters
	// Logger defaults to slog.Default().
	Logger *slog.Logger
	// Trace enables a debug log of every event and decision that concerns a request.
	Trace bool
}
