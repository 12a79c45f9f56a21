// Package metrics holds the counters and gauges of one gateway. The component that determines an outcome counts it, exactly
// once. Any goroutine may update and read the metrics at any time; updates and reads do not block. The package does no I/O
// and takes no names from clients: the classes are those of the settings.
package metrics

import (
	"strings"
	"sync/atomic"
)

// defaultClass is the class of all requests if the settings name no classes.
const defaultClass = "other"

// ClassCounters counts how the requests of one class were answered since the start.
type ClassCounters struct {
	Succeeded atomic.Int64 // a connection was established, or a server answered
	Declined  atomic.Int64 // rejected; the client can safely retry
	Aborted   atomic.Int64 // failed
}

// DroppedMessages counts, by reason, the messages that NATS nodes delivered to sessions and that were not passed on to the clients,
// although these were connected.
type DroppedMessages struct {
	Duplicate atomic.Int64 // identical to one that the previous node of a migrating session had delivered
	Setup     atomic.Int64 // received during a set-up at a node that did not complete
	Detached  atomic.Int64 // received from a node that is no longer the session's
	Ended     atomic.Int64 // its subscription had ended
}

// Registry holds all metrics of one gateway.
type Registry struct {
	classes []classMetrics // in the order of the settings
	byName  map[string]*ClassCounters

	Forwards           atomic.Int64 // attempts completely written to servers since the start
	Outstanding        atomic.Int64 // admitted requests and established connections that have not ended
	DiscoveredServers  atomic.Int64 // servers in the endpoint list
	EjectedServers     atomic.Int64 // servers in the endpoint list that are in maintenance mode or ejected as outliers
	UnreachableServers atomic.Int64 // ready servers in the endpoint list without an entry in the lookup table

	DroppedMessages DroppedMessages

	Descriptors           atomic.Int64 // open descriptors of the process
	ConnectionDescriptors atomic.Int64 // of Descriptors, those of connections to clients and servers, including load polls
	ClosingDescriptors    atomic.Int64 // of ConnectionDescriptors, those of connections that this side has closed
}

type classMetrics struct {
	label    string // the class name in the statsd format
	counters *ClassCounters
}

// New returns a Registry for the classes that the settings name. If there are none, all requests count as the class "other".
func New(classes []string) *Registry {
	r := &Registry{byName: make(map[string]*ClassCounters, len(classes))}
	if len(classes) == 0 {
		r.addClass(defaultClass)
	}
	for _, name := range classes {
		r.addClass(name)
	}
	return r
}

func (r *Registry) addClass(name string) {
	counters := &ClassCounters{}
	r.classes = append(r.classes, classMetrics{label: labelReplacer.Replace(name), counters: counters})
	r.byName[name] = counters
}

// labelReplacer replaces the characters that are not allowed in a name of the statsd format.
var labelReplacer = strings.NewReplacer(":", "_", "|", "_", "@", "_", "\n", "_", "\r", "_", " ", "_")

// Class returns the counters of a class. For a class that the settings do not name, it returns the counters of the class
// "other", or nil if that does not exist either.
func (r *Registry) Class(name string) *ClassCounters {
	if counters := r.byName[name]; counters != nil {
		return counters
	}
	return r.byName[defaultClass]
}
