// Package loadshed decides which requests a fleet sheds under overload. Requests of the lowest priority are shed first, and
// all instances shed the same.
//
// Each instance measures which ratio of all requests should be shed. It reports this ratio and its request rates by priority.
// Every instance derives what it sheds from the median of the ratios and the trimmed means of the rates. Therefore a single
// instance that reports wrong figures has little influence.
//
// A [Shedder] is a pure state machine: it turns counts and reports into a report and a level, does no I/O and reads no clock.
// It is not safe for concurrent use: it belongs to one goroutine, or to callers that hold a lock.
package loadshed

import (
	"slices"
	"time"
)

// ReportInterval is the interval at which the caller calls Update and sends its report to the peers.
const ReportInterval = 200 * time.Millisecond

// Settings configures a Shedder. Priorities are numbered from 0, the lowest.
type Settings struct {
	Priorities       int     // number of priorities, at least 1
	MinAdmittedRatio float64 // fraction of priority 0's requests, 0 to 1, admitted until a higher priority is shed too
}

// LocalCounts holds the numbers of requests at this instance since the last Update. Each slice has one entry for each
// priority, the lowest first.
type LocalCounts struct {
	Requests []uint64 // all requests that arrived
	Rejected []uint64 // requests that were admitted and then rejected for lack of capacity
	Shed     []uint64 // requests that were not admitted
}

// Decision is the result of an Update.
type Decision struct {
	Report Report // to be sent to all peers
	// Level determines what is shed. Its integer part n is the number of priorities whose requests are all shed, which are
	// the priorities below n. Its fractional part is the fraction of priority n's requests that is shed. For example, a
	// level of 1.3 sheds all requests of priority 0 and 0.3 of the requests of priority 1. Zero means that nothing is shed.
	Level float64
}

// Shedder decides what one instance sheds.
type Shedder struct {
	settings   Settings
	rates      localRates
	controller ratioController
	peers      map[string]receivedReport // the latest report of each peer, by its name
}

// New returns a Shedder that has seen no load yet.
func New(settings Settings) *Shedder {
	return &Shedder{
		settings: settings,
		rates:    localRates{requests: make([]float64, settings.Priorities)},
		peers:    map[string]receivedReport{},
	}
}

// Receive processes the report of a peer that arrived at now. It ignores reports that are invalid, from an earlier incarnation,
// or no newer than the latest one. One report is kept for each peer name, so the caller must pass only reports of known peers.
func (s *Shedder) Receive(now time.Duration, report PeerReport) {
	latest := s.peers[report.Peer]
	if report.isNewerThan(latest.PeerReport) && report.Report.isValid(s.settings.Priorities) {
		s.peers[report.Peer] = receivedReport{report, now}
	}
}

// Update processes this instance's counts since the last call and decides what to shed from now on.
func (s *Shedder) Update(now time.Duration, counts LocalCounts) Decision {
	s.rates.add(counts)
	reports := s.currentReports(now)
	s.controller.update(now, &s.rates, medianShedRatio(reports))
	own := Report{ShedRatio: s.controller.shedRatio, RequestRates: slices.Clone(s.rates.requests)}
	reports = append(reports, own)
	return Decision{Report: own, Level: s.settings.level(medianShedRatio(reports), reports)}
}

// currentReports returns the peers' reports that are no older than reportTTL, in no particular order.
func (s *Shedder) currentReports(now time.Duration) []Report {
	var reports []Report
	for _, received := range s.peers {
		if now-received.at <= reportTTL {
			reports = append(reports, received.Report)
		}
	}
	return reports
}
