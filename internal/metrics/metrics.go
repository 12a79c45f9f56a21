// Package metrics holds the counters and gauges of one gateway. The component that settles an outcome counts it, once; any
// goroutine may count and read at any time without waiting for another. The package does no I/O, and takes no name from a
// client: the classes are those of the settings.
package metrics

import (
	"strings"
	"sync/atomic"
)

// defaultClass has the requests of a gateway whose settings name no classes.
const defaultClass = "other"

// ClassCounters count how the requests of one class were answered since the start.
type ClassCounters struct {
	Succeeded atomic.Int64 // a connection was established, or a server answered
	Declined  atomic.Int64 // rejected: a retry is harmless
	Aborted   atomic.Int64 // failed
}

// Registry holds all metrics of one gateway.
type Registry struct {
	classes []classMetrics // in the order of the settings
	byName  map[string]*ClassCounters

	Forwards    atomic.Int64 // attempts completely written to servers since the start
	Outstanding atomic.Int64 // admitted requests and established connections that have not ended
	Discovered  atomic.Int64 // servers in the endpoint list
	Ejected     atomic.Int64 // of these, those in maintenance or ejected as outliers
	Unreachable atomic.Int64 // of these, ready servers without an entry in the lookup table

	Descriptors           atomic.Int64 // open in the process
	ConnectionDescriptors atomic.Int64 // of these, of connections to clients and servers, load polls included
	ClosingDescriptors    atomic.Int64 // of these, of connections that this side has ended
}

type classMetrics struct {
	label    string // the name as it is reported
	counters *ClassCounters
}

// New returns a Registry for the classes that the settings name. Without any, all requests count as one class.
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

// labelReplacer replaces what would break the statsd format.
var labelReplacer = strings.NewReplacer(":", "_", "|", "_", "@", "_", "\n", "_", "\r", "_", " ", "_")

// Class returns the counters of a class. For a name that is not in the settings it returns those of the class "other", or
// nil if there is none.
func (r *Registry) Class(name string) *ClassCounters {
	if counters := r.byName[name]; counters != nil {
		return counters
	}
	return r.byName[defaultClass]
}
