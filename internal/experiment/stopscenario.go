package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Times of the platform's page on planned restarts.
const (
	stopDeadline    = 600 * time.Millisecond // of the class: the longest of the settings
	stopKillDelay   = stopDeadline + 700*time.Millisecond
	stopReadyLimit  = 10 * time.Second // of a start
	stopFollowLimit = 6 * time.Second  // of a process that follows another
	stopSlack       = 50 * time.Millisecond
	stopDrainGrace  = 500 * time.Millisecond
	stopLeaveLimit  = 100 * time.Millisecond // after a client has left nothing is sent for it
	stopLineLimit   = time.Second            // for which a line may be held back
)

const (
	stopSockets      = 256
	stopServers      = 4
	stopUsers        = 14  // clients that are connected before the stop, and go on until the kill
	stopCrowdClients = 500 // that connect and never finish a line
	stopWarmup       = 400 * time.Millisecond
)

// stopBehaviour is what a server does from some moment on.
type stopBehaviour string

// Behaviours of servers.
const (
	serverSteady  stopBehaviour = "steady"
	serverHangs   stopBehaviour = "hangs"   // it reads and answers nothing
	serverResets  stopBehaviour = "resets"  // new connections, once it has their line
	serverHalves  stopBehaviour = "halves"  // answers come in two parts, of which the second may never come
	serverRejects stopBehaviour = "rejects" // it answers BUSY
	serverDrains  stopBehaviour = "drains"  // the list says so; it sends MOVE to those it has, and BUSY to the others
)

// discoveryTrouble is what happens to discovery around the stop.
type discoveryTrouble string

// Troubles of discovery.
const (
	discoveryWell    discoveryTrouble = "well"
	discoveryDown    discoveryTrouble = "down"
	discoverySilent  discoveryTrouble = "silent"
	discoveryChanges discoveryTrouble = "changes"
)

// timedSignal is a signal at a time that counts from the first SIGTERM.
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

// stopPause is a time for which the process gets no processor, as on a busy machine; from SIGTERM.
type stopPause struct{ at, length time.Duration }

// stopScenario is drawn from a seed.
type stopScenario struct {
	seed       uint64
	plant      stopPlant
	mode       string // proxy: connections end at the gateway; pass: packets pass through
	crowd      bool
	hotRestart bool
	signals    []timedSignal // in order
	frontDelay time.Duration // for which new connections go on to come after SIGTERM
	behaviours []stopBehaviour
	changesAt  []time.Duration // when each server takes up its behaviour, from SIGTERM
	discovery  discoveryTrouble
	troubleAt  time.Duration // of discovery, from SIGTERM
	pauses     []stopPause
	rng        *rand.Rand // for what is drawn during the run, by one goroutine
}

// drawMilliseconds draws a duration between two, both included.
func drawMilliseconds(rng *rand.Rand, from, to int) time.Duration {
	return time.Duration(from+rng.IntN(to-from+1)) * time.Millisecond
}

// hotRestartChoice says which runs have a second process beside the one that is stopped.
type hotRestartChoice string

// Choices of hot restarts.
const (
	hotRestartDrawn hotRestartChoice = "drawn"
	hotRestartNone  hotRestartChoice = "none"
	hotRestartAll   hotRestartChoice = "all"
)

// drawStopScenario draws a scenario. The choice of hot restarts changes nothing else that is drawn.
func drawStopScenario(seed uint64, plant stopPlant, hotRestarts hotRestartChoice) *stopScenario {
	rng := rand.New(rand.NewPCG(seed, 0x5709))
	s := &stopScenario{
		seed: seed, plant: plant, rng: rng,
		mode:       []string{"proxy", "proxy", "pass"}[rng.IntN(3)],
		crowd:      rng.IntN(3) == 0,
		hotRestart: rng.IntN(4) == 0,
		frontDelay: drawMilliseconds(rng, 200, 400),
		discovery:  []discoveryTrouble{discoveryWell, discoveryWell, discoveryDown, discoverySilent, discoveryChanges}[rng.IntN(5)],
		troubleAt:  drawMilliseconds(rng, -300, 100),
	}
	if hotRestarts != hotRestartDrawn {
		s.hotRestart = hotRestarts == hotRestartAll
	}
	s.drawSignals()
	troubles := []stopBehaviour{serverSteady, serverHangs, serverResets, serverHalves, serverRejects, serverDrains}
	for range stopServers - 1 {
		s.behaviours = append(s.behaviours, troubles[rng.IntN(len(troubles))])
		s.changesAt = append(s.changesAt, drawMilliseconds(rng, -250, 150))
	}
	s.behaviours = append(s.behaviours, serverSteady) // one can always serve
	s.changesAt = append(s.changesAt, 0)
	if rng.IntN(2) == 0 {
		for range 1 + rng.IntN(3) {
			s.pauses = append(s.pauses, stopPause{drawMilliseconds(rng, -250, 300), drawMilliseconds(rng, 20, 100)})
		}
	}
	s.adaptToPlant()
	return s
}

// drawSignals draws a series around the SIGTERM that the platform's times count from.
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

// limit is the limit of descriptors that the program is told.
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
