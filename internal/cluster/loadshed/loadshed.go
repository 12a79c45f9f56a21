// Package loadshed decides which requests a fleet sheds under overload: those of the lowest priority first, and the same
// at all instances.
//
// Each instance reports the ratio of all requests that it considers right to shed, and its request rates by priority. All
// instances shed by the median of the ratios and by the trimmed mean of the rates, so that a single instance that reports
// wrong figures has little influence.
//
// It is a pure state machine: counts and reports in, a report and a level out, no I/O and no clock. A Shedder belongs to
// one goroutine, or to callers that hold a lock.
package loadshed

import (
	"slices"
	"time"
)

// ReportInterval is how often Update is to be called, and its report to be sent to the peers.
const ReportInterval = 200 * time.Millisecond

// Settings configure a Shedder. Priorities are numbered from 0, the lowest, on.
type Settings struct {
	Priorities       int     // how many there are, at least 1
	MinAdmittedRatio float64 // of the lowest priority's requests, 0 to 1, admitted under any overload
}

// LocalCounts are the requests at this instance since the last Update. Each slice has one entry for each priority.
type LocalCounts struct {
	Requests []uint64 // all that came
	Rejected []uint64 // those admitted that then found no capacity
	Shed     []uint64 // those that were not admitted
}

// Decision is the result of an Update.
type Decision struct {
	Report Report // to be sent to all peers
	// Level says what to shed: all requests of the priorities below its whole part, and of the priority that is its whole
	// part the ratio behind the decimal point. 0: nothing is shed.
	Level float64
}

// Shedder decides for one instance.
type Shedder struct {
	settings Settings
	rates    localRates
	ratio    ratioController
	peers    map[string]receivedReport
}

// New returns a Shedder that has seen no load yet.
func New(settings Settings) *Shedder {
	return &Shedder{
		settings: settings,
		rates:    localRates{requests: make([]float64, settings.Priorities)},
		peers:    map[string]receivedReport{},
	}
}

// Receive takes the report of a peer that arrived at now. Reports that are invalid, of an earlier incarnation or out of
// order are ignored. The caller vouches for the peer's name: one report is kept for each.
func (s *Shedder) Receive(now time.Duration, report PeerReport) {
	latest := s.peers[report.Peer]
	if report.isNewerThan(latest.PeerReport) && report.Report.isValid(s.settings.Priorities) {
		s.peers[report.Peer] = receivedReport{report, now}
	}
}

// Update takes this instance's counts since the last call and decides what to shed from now on.
func (s *Shedder) Update(now time.Duration, counts LocalCounts) Decision {
	s.rates.add(counts)
	reports := s.currentReports(now)
	s.ratio.update(now, &s.rates, medianRatio(reports))
	own := Report{ShedRatio: s.ratio.value, RequestRates: slices.Clone(s.rates.requests)}
	reports = append(reports, own)
	return Decision{Report: own, Level: s.settings.level(medianRatio(reports), reports)}
}

// currentReports returns the peers' reports that still count, in no order.
func (s *Shedder) currentReports(now time.Duration) []Report {
	var reports []Report
	for _, received := range s.peers {
		if now-received.at <= reportTTL {
			reports = append(reports, received.Report)
		}
	}
	return reports
}
