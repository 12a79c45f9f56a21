package loadshed

import (
	"math"
	"time"
)

// reportTTL is the age up to which a report counts, from its arrival. The load that an older report describes has changed
// since.
const reportTTL = 5 * ReportInterval

// Report holds the load figures that an instance sends to its peers.
type Report struct {
	ShedRatio    float64   // ratio of all requests, 0 to 1, that should be shed according to the instance's measurements
	RequestRates []float64 // requests per second at the instance, by priority
}

// PeerReport is a report received from a peer.
type PeerReport struct {
	Peer        string
	Incarnation uint64 // incarnation of the peer when it sent the report
	Sequence    uint64 // number of the report, which grows within an incarnation
	Report      Report
}

// receivedReport is the latest report of a peer, with the time of its arrival.
type receivedReport struct {
	PeerReport
	at time.Duration
}

// isNewerThan reports whether r was sent after other, a report of the same peer.
func (r PeerReport) isNewerThan(other PeerReport) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// isValid reports whether there is one request rate for each priority and all figures are within their ranges. NaN is
// outside every range.
func (r Report) isValid(priorities int) bool {
	if len(r.RequestRates) != priorities || !(r.ShedRatio >= 0 && r.ShedRatio <= 1) {
		return false
	}
	for _, rate := range r.RequestRates {
		if !(rate >= 0) || math.IsInf(rate, 1) {
			return false
		}
	}
	return true
}
