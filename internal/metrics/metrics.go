// Package metrics holds every figure that a gateway reports. Whoever settles an outcome moves its count here, once; staff
// read all of it at any time, without waiting for anyone. It does no I/O and takes no name from a client.
package metrics

import (
	"strconv"
	"strings"
	"sync/atomic"
)

// Prefix stands before every name.
const Prefix = "edge_proxy."

// other is the class of requests where the settings name no classes.
const other = "other"

// ClassCounters counts how the requests of one class were answered since the start.
type ClassCounters struct {
	Succeeded atomic.Int64 // brought up, or answered by a server
	Declined  atomic.Int64 // refused: trying again is harmless
	Aborted   atomic.Int64 // failed
}

// Registry is all figures of one gateway.
type Registry struct {
	names   []string // of the classes, as they are reported
	classes []*ClassCounters
	byName  map[string]*ClassCounters

	Forwards    atomic.Int64 // attempts written whole to servers since the start
	Outstanding atomic.Int64 // requests taken and connections brought up that have not ended
	Discovered  atomic.Int64 // servers in the list
	Ejected     atomic.Int64 // of these, those avoided by hand or by choice
}

// New returns a Set for the classes that the settings name. Without any, all requests count as one class.
func New(classes []string) *Registry {
	s := &Registry{byName: make(map[string]*ClassCounters, len(classes))}
	for _, name := range classes {
		s.add(name)
	}
	if len(classes) == 0 {
		s.add(other)
	}
	return s
}

func (s *Registry) add(name string) {
	c := &ClassCounters{}
	s.names, s.classes, s.byName[name] = append(s.names, clean.Replace(name)), append(s.classes, c), c
}

// clean keeps a class's name from breaking the form.
var clean = strings.NewReplacer(":", "_", "|", "_", "@", "_", "\n", "_", "\r", "_", " ", "_")

// Class returns the counts of a class; nil for one that the settings do not name, whatever a client called it.
func (s *Registry) Class(name string) *ClassCounters {
	if c := s.byName[name]; c != nil {
		return c
	}
	return s.byName[other]
}

// AppendStatsd writes all figures, in statsd's form: one to a line, |c behind a count and |g behind what stands now.
func (s *Registry) AppendStatsd(b []byte) []byte {
	line := func(name, class string, v int64, kind byte) {
		b = append(append(b, Prefix...), name...)
		if class != "" {
			b = append(append(b, '.'), class...)
		}
		b = strconv.AppendInt(append(b, ':'), v, 10)
		b = append(b, '|', kind, '\n')
	}
	for i, c := range s.classes {
		line("succeeded", s.names[i], c.Succeeded.Load(), 'c')
		line("declined", s.names[i], c.Declined.Load(), 'c')
		line("aborted", s.names[i], c.Aborted.Load(), 'c')
	}
	line("forwards", "", s.Forwards.Load(), 'c')
	line("outstanding", "", s.Outstanding.Load(), 'g')
	line("discovered", "", s.Discovered.Load(), 'g')
	line("ejected", "", s.Ejected.Load(), 'g')
	return b
}
