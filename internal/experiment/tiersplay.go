package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

// tiersPlay is what an overload came to, for a fleet that sheds by tier or one that does not.
type tiersPlay struct {
	Tiers      bool       `json:"tiers"`
	Served     [3]float64 `json:"served_part"` // of the highest, the middle and the lowest tier, after the first seconds
	Inverted   float64    `json:"inverted_seconds"`
	Seconds    []string   `json:"served_by_second"` // part of each tier
	Unanswered int        `json:"unanswered"`
	Requests   int        `json:"requests"`
}

type tiersReport struct {
	Play      string    `json:"play"`
	Seed      uint64    `json:"seed"`
	Instances int       `json:"instances"`
	Order     []string  `json:"order"`
	Shed      tiersPlay `json:"shed"`
	Plain     tiersPlay `json:"plain"` // the same fleet without tiers, in the same run
}

const (
	tierSettle = 2 * time.Second        // from the overload's beginning, which does not count
	tierSpan   = 14 * time.Second       // that does
	tierStep   = 200 * time.Millisecond // in which a higher tier refused beside a lower one let in is an inversion
	tierHold   = 200 * time.Millisecond // a connection stands, as outcome.ask has it
	tierRoom   = 6                      // connections a node
)

var (
	tierClasses = [3]string{"high", "mid", "lines"}
	tierParts   = [3]float64{0.15, 0.35, 0.5} // of requests
)

func (r tiersReport) faults() error {
	var errs []error
	if r.Shed.Unanswered > 0 {
		errs = append(errs, fmt.Errorf("seed %d: %d requests were not answered", r.Seed, r.Shed.Unanswered))
	}
	if r.Shed.Served[0] < 0.9 || r.Shed.Served[0] < r.Shed.Served[2] {
		errs = append(errs, fmt.Errorf("seed %d: the highest tier was served %.2f, the lowest %.2f", r.Seed, r.Shed.Served[0], r.Shed.Served[2]))
	}
	return errors.Join(errs...)
}

func playTiers(ctx context.Context, program string, seed uint64, gates int) (r tiersReport, err error) {
	r = tiersReport{Play: "tiers", Seed: seed, Instances: gates}
	rnd := rand.New(rand.NewPCG(seed, 6))
	// One instance is stopped for a while and then killed and started anew, in the middle of it.
	who, at := rnd.IntN(gates), 4*time.Second+time.Duration(rnd.Int64N(int64(2*time.Second)))
	r.Order = []string{fmt.Sprintf("gateway %d is stopped at %v for 1.5s, and killed and started anew 2s later", who, at.Round(time.Millisecond))}
	for _, tiers := range []bool{true, false} {
		p, err := playTiersOnce(ctx, program, seed, gates, tiers, who, at)
		if err != nil {
			return r, err
		}
		if tiers {
			r.Shed = p
		} else {
			r.Plain = p
		}
	}
	return r, nil
}

func playTiersOnce(ctx context.Context, program string, seed uint64, gates int, tiers bool, who int, at time.Duration) (p tiersPlay, err error) {
	p.Tiers = tiers
	root, err := os.MkdirTemp("", "fleet-faults")
	if err != nil {
		return p, err
	}
	defer os.RemoveAll(root)
	f := &powerFleet{root: root, program: program, gates: gates}
	if tiers {
		f.tiers = `(tier "high") (tier "mid")`
	}
	defer f.close()
	nodes := gates + 3
	if err := f.begin(nodes, true, ""); err != nil {
		return p, err
	}
	for _, n := range f.nodes {
		n.SetCapacity(tierRoom)
	}
	for _, g := range f.list {
		if err := g.start(program); err != nil {
			return p, err
		}
	}
	for _, g := range f.list {
		if err := within(ctx, 20*time.Second, func(ctx context.Context) error { return awaitReady(ctx, g.listen) }); err != nil {
			return p, fmt.Errorf("%s is not ready: %w", g.name, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, tierSettle+tierSpan)
	defer cancel()
	began := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(at)
		f.list[who].signal(stop)
		time.Sleep(1500 * time.Millisecond)
		f.list[who].signal(goOn)
		time.Sleep(2 * time.Second)
		f.list[who].kill()
		f.list[who].start(program)
	})
	rate := 3 * float64(nodes*tierRoom) / tierHold.Seconds()
	rnd := rand.New(rand.NewPCG(seed, 8))
	var mu sync.Mutex
	var all []outcome
	var ranks []int
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for i, due := 0, 0.0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		for due += rate * 0.01; due >= 1; due-- {
			i++
			rank, dice := 0, rnd.Float64()
			for rank < 2 && dice >= tierParts[rank] {
				dice -= tierParts[rank]
				rank++
			}
			g, name := f.list[rnd.IntN(gates)], fmt.Sprintf("%x-%d", seed, i)
			wg.Go(func() {
				o := outcome{at: time.Since(began)}
				o.ask(g.listen, tierClasses[rank], name)
				mu.Lock()
				all, ranks = append(all, o), append(ranks, rank)
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	p.count(all, ranks)
	return p, nil
}

func (p *tiersPlay) count(all []outcome, ranks []int) {
	var asked, served [3]int
	var each [20][3][2]int
	refused, letIn := map[int]int{}, map[int]int{} // by step: highest tier refused, lowest let in
	for i, o := range all {
		if !o.taken || o.at < tierSettle {
			continue
		}
		p.Requests++
		asked[ranks[i]]++
		step, second := int(o.at/tierStep), min(int(o.at/time.Second), len(each)-1)
		each[second][ranks[i]][0]++
		if o.served {
			each[second][ranks[i]][1]++
		}
		switch {
		case o.served:
			served[ranks[i]]++
			if ranks[i] == 2 {
				letIn[step]++
			}
		case o.answer == "":
			p.Unanswered++
		case strings.HasPrefix(o.answer, "BUSY") && ranks[i] == 0:
			refused[step]++
		}
	}
	for k := range asked {
		p.Served[k] = float64(served[k]) / float64(max(asked[k], 1))
	}
	for _, s := range each[:int((tierSettle+tierSpan)/time.Second)] {
		text := ""
		for k := range s {
			text += fmt.Sprintf("%.2f ", float64(s[k][1])/float64(max(s[k][0], 1)))
		}
		p.Seconds = append(p.Seconds, strings.TrimSpace(text))
	}
	for step, n := range refused {
		if n > 0 && letIn[step] > 0 {
			p.Inverted += tierStep.Seconds()
		}
	}
}
