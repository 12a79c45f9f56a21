package metrics

import "strconv"

// Prefix is the prefix of every metric name.
const Prefix = "edge_proxy."

// Metric types of the statsd format.
const (
	statsdCounter = 'c'
	statsdGauge   = 'g'
)

// AppendStatsd appends all metrics to b in the statsd format, one per line, and returns the extended buffer. Counters are
// totals since the start.
func (r *Registry) AppendStatsd(b []byte) []byte {
	for _, class := range r.classes {
		b = appendMetric(b, "succeeded", class.label, class.counters.Succeeded.Load(), statsdCounter)
		b = appendMetric(b, "declined", class.label, class.counters.Declined.Load(), statsdCounter)
		b = appendMetric(b, "aborted", class.label, class.counters.Aborted.Load(), statsdCounter)
	}
	b = appendMetric(b, "forwards", "", r.Forwards.Load(), statsdCounter)
	dropped := &r.DroppedMessages
	b = appendMetric(b, "dropped_messages", "duplicate", dropped.Duplicate.Load(), statsdCounter)
	b = appendMetric(b, "dropped_messages", "setup", dropped.Setup.Load(), statsdCounter)
	b = appendMetric(b, "dropped_messages", "detached", dropped.Detached.Load(), statsdCounter)
	b = appendMetric(b, "dropped_messages", "ended", dropped.Ended.Load(), statsdCounter)
	b = appendMetric(b, "outstanding", "", r.Outstanding.Load(), statsdGauge)
	b = appendMetric(b, "discovered", "", r.DiscoveredServers.Load(), statsdGauge)
	b = appendMetric(b, "ejected", "", r.EjectedServers.Load(), statsdGauge)
	b = appendMetric(b, "unreachable", "", r.UnreachableServers.Load(), statsdGauge)
	b = appendMetric(b, "descriptors", "", r.Descriptors.Load(), statsdGauge)
	b = appendMetric(b, "connection_descriptors", "", r.ConnectionDescriptors.Load(), statsdGauge)
	b = appendMetric(b, "closing_descriptors", "", r.ClosingDescriptors.Load(), statsdGauge)
	return b
}

// appendMetric appends the line of one metric. A label that is not empty is appended to the name after a dot.
func appendMetric(b []byte, name, label string, value int64, metricType byte) []byte {
	b = append(b, Prefix...)
	b = append(b, name...)
	if label != "" {
		b = append(b, '.')
		b = append(b, label...)
	}
	b = append(b, ':')
	b = strconv.AppendInt(b, value, 10)
	return append(b, '|', metricType, '\n')
}
