package experiment

import (
	"fmt"
	"sync"
	"time"
)

// violationKind names an event that must not happen around a planned stop.
type violationKind string

// Kinds of violations.
const (
	requestUnanswered   violationKind = "request unanswered"
	answeredTwice       violationKind = "answered twice"
	sentAfterDisconnect violationKind = "sent after its client left"
	overlappingAttempts violationKind = "two attempts at once"
	sentToDraining      violationKind = "sent to a draining server past the grace"
	closedWithoutMove   violationKind = "connection cut without MOVE"
	openAtKill          violationKind = "connection held at the kill"
	echoDelayed         violationKind = "line held back"
	tooManyDescriptors  violationKind = "descriptors over the limit"
	uncleanExit         violationKind = "unclean exit"
	notReadyInTime      violationKind = "not ready in time"
)

type violation struct {
	Kind   violationKind `json:"kind"`
	Detail string        `json:"detail"`
}

const (
	maxTraceLines        = 20_000
	maxViolationsPerKind = 8 // number of violations of each kind that are kept
	latenessInterval     = 5 * time.Millisecond
)

// stopRecorder records the trace and the violations of one run. Its methods may be called from several goroutines.
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

func (r *stopRecorder) traceEvent(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.trace) < maxTraceLines {
		r.trace = append(r.trace, line)
	}
}

func (r *stopRecorder) recordViolation(kind violationKind, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	r.traceEvent("VIOLATION %s: %s", kind, detail)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[kind]++; r.counts[kind] <= maxViolationsPerKind {
		r.violations = append(r.violations, violation{Kind: kind, Detail: detail})
	}
}

// measureLateness measures by how much the timers of this process are late, until done is closed.
func (r *stopRecorder) measureLateness(done <-chan struct{}) {
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

// finish adds the lateness and the violations to a report, and returns the trace.
func (r *stopRecorder) finish(report *stopReport) (trace []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report.LatenessMS = r.lateness.Milliseconds()
	report.Void = r.lateness > stopTolerance
	report.Violations = append(report.Violations, r.violations...)
	return r.trace
}
