package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	powerRequestRate      = 150                    // requests per second
	powerPeerStartup      = 700 * time.Millisecond // from the start of a peer until it has reported its endpoint list
	powerListStoreDelay   = 600 * time.Millisecond // within which instances store an endpoint list
	powerLoadAfterCatalog = 4 * time.Second        // duration of the load after discovery is back and servers are warm
)

// runPowerScenario runs a power loss with the same script for a clustered fleet and for a fleet without a cluster.
func runPowerScenario(ctx context.Context, s fleetScenario) (*powerReport, error) {
	script := drawPowerScript(s.seed, s.servers(), s.instances)
	report := &powerReport{Scenario: scenarioPower, Seed: s.seed, Instances: s.instances, Order: script.description}
	var err error
	report.Recovered, err = runPower(ctx, s,
		fleetOptions{clustered: true, isolateFirst: s.plantedFault == plantTrustStaleList}, script)
	if err != nil {
		return nil, err
	}
	report.Plain, err = runPower(ctx, s, fleetOptions{}, script)
	return report, err
}

func runPower(ctx context.Context, s fleetScenario, options fleetOptions, script powerScript) (result powerResult, err error) {
	result.Together = options.clustered
	f, err := startFleet(ctx, s, options)
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, f.close()) }()
	time.Sleep(powerListStoreDelay)
	oldDisk := filepath.Join(f.root, "old")
	disk := f.processes[0].dir
	if err := os.CopyFS(oldDisk, os.DirFS(disk)); err != nil {
		return result, err
	}
	f.retireServer()
	time.Sleep(powerListStoreDelay)
	f.losePower()
	// One instance restarts with the disk contents from before the last change of the endpoint list.
	if err := errors.Join(os.RemoveAll(disk), os.CopyFS(disk, os.DirFS(oldDisk))); err != nil {
		return result, err
	}
	err = f.restorePower(ctx, &result, script)
	return result, err
}

// schedule runs actions at given times after its start, and collects their errors.
type schedule struct {
	start time.Time
	wg    sync.WaitGroup
	mu    sync.Mutex
	errs  []error
}

// at runs an action in a goroutine after a delay from the start, unless the context ends before.
func (s *schedule) at(ctx context.Context, delay time.Duration, action func() error) {
	s.wg.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(s.start.Add(delay))):
			err := action()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.errs = append(s.errs, err)
		}
	})
}

// restorePower starts servers, processes and discovery at the times of the script under load, and fills in the result.
func (f *fleet) restorePower(ctx context.Context, result *powerResult, script powerScript) error {
	ctx, cancel := context.WithTimeout(ctx, script.catalogStart+fleetWarmupDuration+powerLoadAfterCatalog)
	defer cancel()
	s := &schedule{start: time.Now()}
	for i, delay := range script.serverStarts {
		s.at(ctx, delay, func() error { return f.restartServer(i) })
	}
	for i, delay := range script.processStarts {
		s.at(ctx, delay, f.processes[i].start)
	}
	s.at(ctx, script.catalogStart, f.restartCatalog)
	if script.secondLoss > 0 {
		s.at(ctx, script.secondLoss, f.processes[script.secondLossProcess].restart)
	}
	s.at(ctx, slices.Min(script.processStarts[1:])+powerPeerStartup, func() error {
		result.StaleAlone = f.requestsAtRetiredServer()
		return nil
	})
	s.wg.Go(func() { result.OverloadedServers = f.closeOverloadedServers(ctx) })
	outcomes := f.sendRequests(ctx, s.start)
	s.wg.Wait()
	result.add(outcomes)
	result.StaleActedOn = f.requestsAtRetiredServer() - result.StaleAlone
	result.Overlapping = f.requestsAcceptedTwice()
	return errors.Join(s.errs...)
}

// sendRequests sends requests to random instances at a constant rate until ctx is done, and waits for their outcomes.
func (f *fleet) sendRequests(ctx context.Context, start time.Time) (outcomes []requestOutcome) {
	rng := rand.New(rand.NewPCG(f.seed, 4))
	ticker := time.NewTicker(time.Second / powerRequestRate)
	defer ticker.Stop()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		select {
		case <-ctx.Done():
			continue
		case <-ticker.C:
		}
		p := f.processes[rng.IntN(len(f.processes))]
		wg.Go(func() {
			o := requestOutcome{sentAt: time.Since(start)}
			o.send(p.listen, "lines", fmt.Sprintf("%x-%d", f.seed, i))
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	wg.Wait()
	return outcomes
}
