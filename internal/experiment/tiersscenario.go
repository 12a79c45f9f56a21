package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	tiersSettleTime   = 2 * time.Second         // period at the start of the overload that is not measured
	tiersMeasuredTime = 14 * time.Second        // measured period after it
	inversionInterval = 200 * time.Millisecond  // rejecting the highest and serving the lowest priority in it is an inversion
	tiersCapacity     = 6                       // connections of each server
	tiersOverload     = 3                       // load relative to the capacity of the servers
	tiersLoadInterval = 10 * time.Millisecond   // interval at which requests are started
	tiersPauseTime    = 1500 * time.Millisecond // for which one instance is suspended
	tiersKillDelay    = 2 * time.Second         // from its resumption until it is killed
)

var (
	tierClasses = [tierCount]string{"high", "mid", "lines"}
	tierShares  = [tierCount]float64{0.15, 0.35, 0.5} // fraction of all requests
)

// instanceFault is the suspension and restart of an instance during the overload.
type instanceFault struct {
	instance int
	at       time.Duration // from the start of the overload
}

// runTiersScenario runs the same overload for a fleet with tiers and for a fleet without tiers.
func runTiersScenario(ctx context.Context, s fleetScenario) (*tiersReport, error) {
	rng := rand.New(rand.NewPCG(s.seed, 6))
	fault := instanceFault{instance: rng.IntN(s.instances)}
	fault.at = 4*time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))
	report := &tiersReport{Scenario: scenarioTiers, Seed: s.seed, Instances: s.instances}
	report.Order = []string{fmt.Sprintf("gateway %d is suspended at %v for 1.5s, and killed and restarted 2s later",
		fault.instance, fault.at.Round(time.Millisecond))}
	var err error
	if report.Shed, err = runTiers(ctx, s, `(tier "high") (tier "mid")`, fault); err != nil {
		return nil, err
	}
	report.Plain, err = runTiers(ctx, s, "", fault)
	return report, err
}

func runTiers(ctx context.Context, s fleetScenario, tiers string, fault instanceFault) (result tiersResult, err error) {
	result.Tiers = tiers != ""
	f, err := startFleet(ctx, s, fleetOptions{clustered: true, tiers: tiers})
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, f.close()) }()
	for _, server := range f.lineServers {
		server.SetCapacity(tiersCapacity)
	}
	ctx, cancel := context.WithTimeout(ctx, tiersSettleTime+tiersMeasuredTime)
	defer cancel()
	var wg sync.WaitGroup
	var faultErr error
	wg.Go(func() { faultErr = f.pauseAndRestart(fault) })
	outcomes := f.sendOverload(ctx)
	wg.Wait()
	result.add(outcomes)
	return result, faultErr
}

func (f *fleet) pauseAndRestart(fault instanceFault) error {
	p := f.processes[fault.instance]
	time.Sleep(fault.at)
	if err := p.pause(); err != nil {
		return err
	}
	time.Sleep(tiersPauseTime)
	if err := p.resume(); err != nil {
		return err
	}
	time.Sleep(tiersKillDelay)
	return p.restart()
}

// sendOverload sends requests of all classes to random instances until ctx is done, and waits for their outcomes.
func (f *fleet) sendOverload(ctx context.Context) (outcomes []requestOutcome) {
	perTick := tiersOverload * float64(f.servers()*tiersCapacity) / fleetHoldDuration.Seconds() * tiersLoadInterval.Seconds()
	rng := rand.New(rand.NewPCG(f.seed, 8))
	start := time.Now()
	ticker := time.NewTicker(tiersLoadInterval)
	defer ticker.Stop()
	var mu sync.Mutex
	var wg sync.WaitGroup
	number, due := 0, 0.0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		for due += perTick; due >= 1; due-- {
			number++
			priority := drawPriority(rng)
			p, name := f.processes[rng.IntN(f.instances)], fmt.Sprintf("%x-%d", f.seed, number)
			wg.Go(func() {
				o := requestOutcome{sentAt: time.Since(start), priority: priority}
				o.send(p.listen, tierClasses[priority], name)
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, o)
			})
		}
	}
	wg.Wait()
	return outcomes
}

func drawPriority(rng *rand.Rand) (priority int) {
	for remaining := rng.Float64(); priority < tierCount-1 && remaining >= tierShares[priority]; priority++ {
		remaining -= tierShares[priority]
	}
	return priority
}
