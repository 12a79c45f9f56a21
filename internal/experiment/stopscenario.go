package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Limits and delays of the platform's specification of planned restarts.
const (
	stopDeadline            = 600 * time.Millisecond              // of the class, which is the longest deadline in the settings
	stopKillDelay           = stopDeadline + 700*time.Millisecond // from SIGTERM
	stopReadyLimit          = 10 * time.Second                    // within which a started process must be ready
	stopSuccessorReadyLimit = 6 * time.Second                     // within which a successor process must be ready
	stopTolerance           = 50 * time.Millisecond               // on every limit
	stopDrainGrace          = 500 * time.Millisecond
	stopDisconnectLimit     = 100 * time.Millisecond // after this time from a client's disconnect, nothing is sent for it
	stopEchoLimit           = time.Second            // longest time for which a line may be delayed
)

const (
	stopSockets        = 256
	stopServers        = 4
	stopInitialClients = 14  // clients that connect before the stop and stay connected until the kill
	stopCrowdClients   = 500 // clients that connect and never send a complete line
	stopWarmup         = 400 * time.Millisecond
)

// serverBehaviour is how a server behaves from a given time on.
type serverBehaviour string

// Behaviours of servers.
const (
	serverSteady        serverBehaviour = "steady"
	serverHangs         serverBehaviour = "hangs"   // it reads and does not answer
	serverResets        serverBehaviour = "resets"  // it resets new connections after their OPEN line
	serverSplitsAnswers serverBehaviour = "halves"  // it sends answers in two parts; every other answer lacks the second part
	serverRejects       serverBehaviour = "rejects" // it answers BUSY
	serverDrains        serverBehaviour = "drains"  // as the endpoint list says; established connections receive MOVE, new ones BUSY
)

// discoveryFault is what happens to the discovery service around the stop.
type discoveryFault string

// Faults of the discovery service.
const (
	discoveryNormal  discoveryFault = "well"    // no fault
	discoveryDown    discoveryFault = "down"    // the service stops
	discoverySilent  discoveryFault = "silent"  // open watches stall
	discoveryChanges discoveryFault = "changes" // the endpoint list changes many times in a row
)

// timedSignal is a signal that is sent at a time relative to the first SIGTERM.
type timedSignal struct {
	signal syscall.Signal
	at     time.Duration
}

func (s timedSignal) String() string {
	name := "TERM"
	if s.signal == syscall.SIGHUP {
		name = "HUP"
	}
	return fmt.Sprintf("%s %v", name, s.at)
}

// stopPause is a period in which the process does not run, as on an overloaded machine. at is relative to SIGTERM.
type stopPause struct{ at, length time.Duration }

// stopScenario holds the conditions of one run, which are drawn from its seed. Times are relative to SIGTERM.
type stopScenario struct {
	seed               uint64
	plantedFault       plantedStopFault
	mode               string            // "proxy": the gateway terminates connections; "pass": it passes packets through
	crowd              bool              // many clients connect that never send a complete line
	hotRestart         bool              // a successor process runs beside the one that is stopped
	signals            []timedSignal     // in the order of their times
	newClientsDuration time.Duration     // for which new clients still connect after SIGTERM
	behaviours         []serverBehaviour // by server
	changesAt          []time.Duration   // by server: the time at which its behaviour starts
	discovery          discoveryFault
	discoveryFaultAt   time.Duration // the time at which the discovery fault starts
	pauses             []stopPause
	rng                *rand.Rand // for values that are drawn during the run; used by one goroutine
}

// drawMilliseconds draws a whole number of milliseconds between from and to, both included.
func drawMilliseconds(rng *rand.Rand, from, to int) time.Duration {
	return time.Duration(from+rng.IntN(to-from+1)) * time.Millisecond
}

// hotRestartChoice selects the runs that have a successor process beside the one that is stopped.
type hotRestartChoice string

// Values of hotRestartChoice.
const (
	hotRestartDrawn hotRestartChoice = "drawn" // as drawn from the seed
	hotRestartNone  hotRestartChoice = "none"
	hotRestartAll   hotRestartChoice = "all"
)

// drawStopScenario draws the scenario of a seed. The choice of hot restarts does not change the other drawn conditions.
func drawStopScenario(seed uint64, plantedFault plantedStopFault, hotRestarts hotRestartChoice) *stopScenario {
	rng := rand.New(rand.NewPCG(seed, 0x5709))
	s := &stopScenario{
		seed: seed, plantedFault: plantedFault, rng: rng,
		mode:               []string{"proxy", "proxy", "pass"}[rng.IntN(3)],
		crowd:              rng.IntN(3) == 0,
		hotRestart:         rng.IntN(4) == 0,
		newClientsDuration: drawMilliseconds(rng, 200, 400),
		discovery: []discoveryFault{
			discoveryNormal, discoveryNormal, discoveryDown, discoverySilent, discoveryChanges,
		}[rng.IntN(5)],
		discoveryFaultAt: drawMilliseconds(rng, -300, 100),
	}
	if hotRestarts != hotRestartDrawn {
		s.hotRestart = hotRestarts == hotRestartAll
	}
	s.drawSignals()
	candidates := []serverBehaviour{serverSteady, serverHangs, serverResets, serverSplitsAnswers, serverRejects, serverDrains}
	for range stopServers - 1 {
		s.behaviours = append(s.behaviours, candidates[rng.IntN(len(candidates))])
		s.changesAt = append(s.changesAt, drawMilliseconds(rng, -250, 150))
	}
	s.behaviours = append(s.behaviours, serverSteady) // one server can always serve
	s.changesAt = append(s.changesAt, 0)
	if rng.IntN(2) == 0 {
		for range 1 + rng.IntN(3) {
			s.pauses = append(s.pauses, stopPause{drawMilliseconds(rng, -250, 300), drawMilliseconds(rng, 20, 100)})
		}
	}
	s.adaptToPlantedFault()
	return s
}

// drawSignals draws signals around the first SIGTERM, to which all times are relative.
func (s *stopScenario) drawSignals() {
	s.signals = []timedSignal{{syscall.SIGTERM, 0}}
	if s.rng.IntN(2) == 0 {
		s.signals = append(s.signals, timedSignal{syscall.SIGTERM, drawMilliseconds(s.rng, 1, 200)})
	}
	for range s.rng.IntN(4) {
		s.signals = append(s.signals, timedSignal{syscall.SIGHUP, drawMilliseconds(s.rng, -30, 60)})
	}
	slices.SortStableFunc(s.signals, func(a, b timedSignal) int { return int(a.at - b.at) })
}

// limit returns the descriptor limit in the configuration of the program under test.
func (s *stopScenario) limit() int {
	if s.crowd {
		return stopSockets / 2
	}
	return stopSockets
}

func (s *stopScenario) report() stopReport {
	r := stopReport{
		Seed: s.seed, Mode: s.mode, Crowd: s.crowd, HotRestart: s.hotRestart, Discovery: string(s.discovery), Pauses: len(s.pauses),
		Limit: s.limit(), Violations: []violation{},
	}
	for _, signal := range s.signals {
		r.Signals = append(r.Signals, signal.String())
	}
	for _, b := range s.behaviours {
		r.Servers = append(r.Servers, string(b))
	}
	return r
}
