package experiment

import (
	"slices"
	"syscall"
	"time"
)

// plantedStopFault is a fault that a run contains deliberately, to show that the checks detect it.
type plantedStopFault string

// Planted faults.
const (
	plantNone             plantedStopFault = ""
	plantFreeze           plantedStopFault = "freeze"            // the process is suspended after SIGTERM
	plantCrash            plantedStopFault = "crash"             // the process is killed before the platform would kill it
	plantDescriptors      plantedStopFault = "descriptors"       // the process inherits as many descriptors as its limit
	plantDuplicateAttempt plantedStopFault = "duplicate-attempt" // a request is sent again while its first attempt is open
	plantLateAttempt      plantedStopFault = "late-attempt"      // a request is sent after its client has disconnected
	plantLateDrain        plantedStopFault = "late-drain"        // a request is sent to a server long after its drain began
	plantLostMove         plantedStopFault = "lost-move"         // clients ignore MOVE as if they had not received it
	plantSecondAnswer     plantedStopFault = "second-answer"     // clients receive a second answer
)

// plantedStopFaults lists the planted faults, each with a kind of violation as which it must be detected.
var plantedStopFaults = []struct {
	plant plantedStopFault
	kind  violationKind
}{
	{plantFreeze, requestUnanswered},
	{plantCrash, uncleanExit},
	{plantDescriptors, tooManyDescriptors},
	{plantDuplicateAttempt, overlappingAttempts},
	{plantLateAttempt, sentAfterDisconnect},
	{plantLateDrain, sentToDraining},
	{plantLostMove, closedWithoutMove},
	{plantSecondAnswer, answeredTwice},
}

func plantedStopFaultNames() (names []string) {
	for _, p := range plantedStopFaults {
		names = append(names, string(p.plant))
	}
	return names
}

const (
	plantSignalDelay       = 40 * time.Millisecond  // from SIGTERM until the process is suspended or killed
	plantDisconnectDelay   = 300 * time.Millisecond // from the client's disconnect to the late attempt
	plantDrainDelay        = 700 * time.Millisecond // from the gateway's knowledge of the drain to the late request
	plantedAttemptDuration = 200 * time.Millisecond // for which a planted attempt stays open
)

// adaptToPlantedFault changes a drawn scenario so that the planted fault can be detected in it.
func (s *stopScenario) adaptToPlantedFault() {
	switch s.plantedFault {
	case plantLostMove:
		s.mode = "proxy"
	case plantLateDrain:
		s.discovery = discoveryNormal
		s.behaviours[0], s.changesAt[0] = serverDrains, -200*time.Millisecond
	case plantFreeze, plantCrash:
		s.hotRestart, s.pauses = false, nil
		s.signals = slices.DeleteFunc(s.signals, func(t timedSignal) bool { return t.at > plantSignalDelay })
	}
}

// schedulePlantedSignal schedules the signal that suspends or kills the process after SIGTERM, if that is the planted
// fault.
func (r *stopRun) schedulePlantedSignal() {
	switch r.scenario.plantedFault {
	case plantFreeze:
		r.after(plantSignalDelay, func() { r.process.signal(syscall.SIGSTOP) })
	case plantCrash:
		r.after(plantSignalDelay, func() { r.process.signal(syscall.SIGKILL) })
	}
}

// sendPlantedAttempt sends a request's OPEN line to a server after a delay, as a correct gateway must not do.
func (r *stopRun) sendPlantedAttempt(server *stopServer, request string, delay time.Duration) {
	r.tasks.Go(func() {
		time.Sleep(delay)
		until := make(chan struct{})
		time.AfterFunc(plantedAttemptDuration, func() { close(until) })
		if err := server.sendAsGateway(request, until); err != nil {
			r.recorder.traceEvent("planted attempt failed: %v", err)
		}
	})
}
