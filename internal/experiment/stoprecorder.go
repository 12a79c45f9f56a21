package experiment

import (
	"fmt"
	"sync"
	"time"
)

// violationKind names what may not happen around a stop.
type violationKind string

// Kinds of violations.
const (
	requestUnanswered   violationKind = "request unanswered"
	answeredTwice       violationKind = "answered twice"
	sentAfterLeaving    violationKind = "sent after its client left"
	overlappingAttempts violationKind = "two attempts at once"
	sentToDraining      violationKind = "sent to a draining server past the grace"
	cutWithoutMove      violationKind = "connection cut without MOVE"
	heldAtKill          violationKind = "connection held at the kill"
	lineHeldBack        violationKind = "line held back"
	descriptorsOver     violationKind = "descriptors over the limit"
	uncleanExit         violationKind = "unclean exit"
	notReadyInTime      violationKind = "not ready in time"
)

type violation struct {
	Kind   violationKind `json:"kind"`
	Detail string        `json:"detail"`
}

const (
	maxTraceLines    = 20_000
	maxPerKind       = 8 // violations that are kept
	latenessInterval = 5 * time.Millisecond
)

// stopRecorder keeps the trace and the violations of one run. Its methods may be called from several goroutines.
type stopRecorder struct {
	startedAt time.Time

	mu         sync.Mutex
	trace      []string
	violations []violation
	counts     map[violationKind]int
	lateness   time.Duration
}

func newStopRecorder() *stopRecorder {
	return &stopRecorder{startedAt: time.Now(), counts: map[violationKind]int{}}
}

func (r *stopRecorder) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.trace) < maxTraceLines {
		r.trace = append(r.trace, line)
	}
}

func (r *stopRecorder) violate(kind violationKind, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	r.note("VIOLATION %s: %s", kind, detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[kind]++; r.counts[kind] <= maxPerKind {
		r.violations = append(r.violations, violation{Kind: kind, Detail: detail})
	}
}

// watchLateness measures how late this process's own timers are, until done is closed.
func (r *stopRecorder) watchLateness(done <-chan struct{}) {
	ticker := time.NewTicker(latenessInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		r.mu.Lock()
		r.lateness = max(r.lateness, now.Sub(last)-latenessInterval)
		r.mu.Unlock()
		last = now
	}
}

// finish adds what was recorded to a report.
func (r *stopRecorder) finish(report *stopReport) (trace []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report.LatenessMS = r.lateness.Milliseconds()
	report.Void = r.lateness > stopSlack
	report.Violations = append(report.Violations, r.violations...)
	return r.trace
}
