package engine

import (
	"log/slog"
	"time"

	"example.org/milletvane/internal/metrics"
)

// Options configure an Engine.
type Options struct {
	// MaxSockets bounds the sockets of clients and their servers, one for each side.
	MaxSockets int
	// MaxIdleClients bounds the clients without a request, within MaxSockets. 0 is no bound of their own.
	MaxIdleClients int

	// Classes are those of requests. Where there are any, a request of another class fails.
	Classes []string
	// PriorityOf returns the priority of a request, 0 the lowest. Where it is nil all have 0.
	PriorityOf func(class, tenant string) int

	// RetryAfter is the advice to clients that are rejected for want of sockets. 0 gives none.
	RetryAfter time.Duration
	// DefaultTimeout is that of requests that state none.
	DefaultTimeout time.Duration
	// AnswerGrace is how long after a request's deadline an answer still counts. A minimum of 5 ms is applied.
	AnswerGrace time.Duration
	// FlowRetention is how long servers keep a connection whose packets have stopped.
	FlowRetention time.Duration
	// ConnectionsOutliveGateway says that open connections go on at another gateway, so that a shutdown leaves them as
	// they are. Otherwise their clients are migrated.
	ConnectionsOutliveGateway bool

	// ReportsMessageDelay says that the balancer is to be notified of slow messages.
	ReportsMessageDelay bool
	// MessageLatencyObjective is the shortest latency objective of a message. 0: none is stated.
	MessageLatencyObjective time.Duration
	// CanPollLoad says that servers may be asked for their load.
	CanPollLoad bool

	// ReadyTimeout is the time from the start until the gateway is ready without an endpoint list. 0: never.
	ReadyTimeout time.Duration
	// AnswerTimeout is the time from Shutdown until all pending requests have their answers. 0, or a longer time, is
	// taken as DrainTimeout.
	AnswerTimeout time.Duration
	// DrainTimeout is the time from Shutdown to the end.
	DrainTimeout time.Duration

	// Metrics are the counters and gauges to be updated. Where they are nil the engine keeps its own, which nobody
	// reads.
	Metrics *metrics.Registry
	// PriorityCounters count what became of requests by priority. They may be nil.
	PriorityCounters *metrics.PriorityCounters
	// Logger is slog.Default() where it is nil.
	Logger *slog.Logger
	// Trace logs each request's way at level debug.
	Trace bool
}
