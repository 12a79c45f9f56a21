package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// powerScript holds the conditions of a power loss that are drawn from the seed. Times are relative to the return of power.
type powerScript struct {
	serverStarts      []time.Duration
	processStarts     []time.Duration
	catalogStart      time.Duration
	secondLoss        time.Duration // time at which one process loses power again; 0 means never
	secondLossProcess int           // index of that process
	description       []string      // of all events
}

func (s *powerScript) describe(format string, args ...any) {
	s.description = append(s.description, fmt.Sprintf(format, args...))
}

// drawPowerScript draws a script. The same arguments give the same script.
func drawPowerScript(seed uint64, servers, processes int) (s powerScript) {
	rng := rand.New(rand.NewPCG(seed, 3))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	for i := range servers {
		start := between(0, 500*time.Millisecond)
		s.serverStarts = append(s.serverStarts, start)
		s.describe("node %d at %v", i, start.Round(time.Millisecond))
	}
	halfIsLate := rng.IntN(2) == 0
	for i := range processes {
		start := between(0, time.Second)
		if halfIsLate && i >= processes/2 {
			start += 2 * time.Second
		}
		s.processStarts = append(s.processStarts, start)
		s.describe("gateway %d at %v", i, start.Round(time.Millisecond))
	}
	s.catalogStart = between(3*time.Second, 5*time.Second)
	s.describe("discovery at %v", s.catalogStart.Round(time.Millisecond))
	if rng.IntN(3) == 0 {
		s.secondLoss = between(1500*time.Millisecond, 2500*time.Millisecond)
		s.secondLossProcess = 1 + rng.IntN(processes-1)
		s.describe("gateway %d loses power again at %v", s.secondLossProcess, s.secondLoss.Round(time.Millisecond))
	}
	return s
}
