package loadshed

import (
	"math"
	"time"
)

// reportTTL is how long a report counts. A later one describes another load.
const reportTTL = 5 * ReportInterval

// Report is what an instance tells its peers.
type Report struct {
	ShedRatio    float64   // of all requests, 0 to 1, that the instance considers right to shed
	RequestRates []float64 // requests a second at the instance, by priority
}

// PeerReport is a report as it came from a peer.
type PeerReport struct {
	Peer        string
	Incarnation uint64 // of the peer when it sent the report
	Sequence    uint64 // of the report within the incarnation
	Report      Report
}

// receivedReport is the latest report of a peer, with the time of its arrival.
type receivedReport struct {
	PeerReport
	at time.Duration
}

// isNewerThan reports whether a report of the same peer was sent after another.
func (r PeerReport) isNewerThan(other PeerReport) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// isValid reports whether all figures are within their ranges, which NaN is not.
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
