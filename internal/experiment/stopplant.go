package experiment

import (
	"slices"
	"syscall"
	"time"
)

// stopPlant is a fault that a run has on purpose, to show that it is seen.
type stopPlant string

// Planted faults.
const (
	plantNone             stopPlant = ""
	plantFreeze           stopPlant = "freeze"            // the process stands still after the signal
	plantCrash            stopPlant = "crash"             // it is killed before the platform does that
	plantDescriptors      stopPlant = "descriptors"       // it has as many descriptors at its start as it may
	plantDuplicateAttempt stopPlant = "duplicate-attempt" // a request is sent a second time while the first is out
	plantLateAttempt      stopPlant = "late-attempt"      // a request is sent after its client has left
	plantLateDrain        stopPlant = "late-drain"        // a request is sent to a server long after its drain
	plantLostMove         stopPlant = "lost-move"         // clients do not get MOVE
	plantSecondAnswer     stopPlant = "second-answer"     // clients get a second answer
)

// stopPlants are the planted faults, each with a kind of violation that it has to be seen as.
var stopPlants = []struct {
	plant stopPlant
	kind  violationKind
}{
	{plantFreeze, requestUnanswered},
	{plantCrash, uncleanExit},
	{plantDescriptors, descriptorsOver},
	{plantDuplicateAttempt, overlappingAttempts},
	{plantLateAttempt, sentAfterLeaving},
	{plantLateDrain, sentToDraining},
	{plantLostMove, cutWithoutMove},
	{plantSecondAnswer, answeredTwice},
}

func stopPlantNames() (names []string) {
	for _, p := range stopPlants {
		names = append(names, string(p.plant))
	}
	return names
}

const (
	plantSignalDelay   = 40 * time.Millisecond  // of a frozen or crashed process, from SIGTERM
	plantLeaveDelay    = 300 * time.Millisecond // of a late attempt, from its client's end
	plantDrainDelay    = 700 * time.Millisecond // of a late request to a draining server
	plantedHoldingTime = 200 * time.Millisecond // for which a planted attempt stays
)

// adaptToPlant has a drawn scenario be one in which the planted fault can be seen.
func (s *stopScenario) adaptToPlant() {
	switch s.plant {
	case plantLostMove:
		s.mode = "proxy"
	case plantLateDrain:
		s.discovery = discoveryWell
		s.behaviours[0], s.changesAt[0] = serverDrains, -200*time.Millisecond
	case plantFreeze, plantCrash:
		s.hotRestart, s.pauses = false, nil
		s.signals = slices.DeleteFunc(s.signals, func(t timedSignal) bool { return t.at > plantSignalDelay })
	}
}

// plantSignals has the process stand still or end after the signal.
func (r *stopRun) plantSignals() {
	switch r.scenario.plant {
	case plantFreeze:
		r.after(plantSignalDelay, func() { r.process.signal(syscall.SIGSTOP) })
	case plantCrash:
		r.after(plantSignalDelay, func() { r.process.signal(syscall.SIGKILL) })
	}
}

// plantAttempt sends a request's opening line to a server, as a gateway must not.
func (r *stopRun) plantAttempt(server *stopServer, request string, delay time.Duration) {
	r.tasks.Go(func() {
		time.Sleep(delay)
		until := make(chan struct{})
		time.AfterFunc(plantedHoldingTime, func() { close(until) })
		if err := server.sendAsAGateway(request, until); err != nil {
			r.recorder.note("planted attempt: %v", err)
		}
	})
}
