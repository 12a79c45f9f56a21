package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

// powerPlay is what a loss of power came to, for a fleet that recovers together or one that does not.
type powerPlay struct {
	Together   bool  `json:"together"`
	Requests   int   `json:"requests"`   // that a gateway took after power came back
	Served     int   `json:"served"`     // of these
	Refused    int   `json:"refused"`    // of these
	Unanswered int   `json:"unanswered"` // of these
	Twice      int   `json:"answered_twice"`
	Overlaps   int   `json:"attempts_overlapping"` // requests that more than one node took
	Tipped     int   `json:"nodes_tipped"`
	Stale      int   `json:"stale_acted_on"` // requests that went to a node that had left before the loss, though a peer was back
	Alone      int   `json:"stale_alone"`    // the same before any peer was back, who could have told
	HalfMS     int64 `json:"half_served_ms"` // from power's return until half of half a second's requests are served, and stay so
	AllMS      int64 `json:"all_served_ms"`  // the same for 99 in 100; -1: not within the play
}

// faultReport is the last line of a play.
type faultReport struct {
	Play      string    `json:"play"`
	Seed      uint64    `json:"seed"`
	Instances int       `json:"instances"`
	Order     []string  `json:"order"` // of the faults, as drawn from the seed
	Recovered powerPlay `json:"recovered"`
	Plain     powerPlay `json:"plain"` // the same fleet without any of this, in the same run
}

const (
	faultCold  = 6 * time.Second        // nodes are cold for so long
	faultRate  = 150                    // requests a second
	peerHeard  = 700 * time.Millisecond // from a peer's start until it has told what it holds
	faultBears = 20.0                   // openings a second that a warm node bears; a fifth of it when it starts
)

func fleetFaults() *cli.Command {
	return &cli.Command{
		Name: "fleet-faults", Usage: "many processes of the program, through faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "play", Value: "power", Usage: "power: all processes, nodes and discovery lose power at once; tiers: three times the load that the nodes bear"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "instances", Value: 5, Usage: "3 to 20 processes"},
			&cli.StringFlag{Name: "program", Usage: "`PATH` of the program; milletvane beside this one otherwise"},
			&cli.StringFlag{Name: "plant", Usage: "trust-stale-list: have the instance with an old disk go by it alone; the play must fail"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			program := c.String("program")
			if program == "" {
				own, err := os.Executable()
				if err != nil {
					return err
				}
				program = filepath.Join(filepath.Dir(own), "milletvane")
			}
			if n := c.Int("instances"); n < 3 || n > 20 {
				return errors.New("3 to 20 instances are wanted")
			}
			switch p := c.String("play"); p {
			case "power":
			case "tiers":
				r, err := playTiers(ctx, program, c.Uint64("seed"), c.Int("instances"))
				if err != nil {
					return err
				}
				if err := json.NewEncoder(c.Root().Writer).Encode(r); err != nil {
					return err
				}
				return r.faults()
			default:
				return fmt.Errorf("play: %q is none of: power, tiers", p)
			}
			if p := c.String("plant"); p != "" && p != "trust-stale-list" {
				return fmt.Errorf("plant: %q is none of: trust-stale-list", p)
			}
			r, err := playPower(ctx, program, c.Uint64("seed"), c.Int("instances"), c.String("plant"))
			if err != nil {
				return err
			}
			if err := json.NewEncoder(c.Root().Writer).Encode(r); err != nil {
				return err
			}
			return r.Recovered.faults(r.Seed)
		},
	}
}

// faults names what must not happen.
func (p powerPlay) faults(seed uint64) error {
	var errs []error
	for _, f := range []struct {
		what string
		n    int
	}{{"requests were not answered", p.Unanswered}, {"requests were answered twice", p.Twice}, {"requests were taken by more than one node", p.Overlaps},
		{"cold nodes were pushed over", p.Tipped}, {"requests went by a list that peers knew to be old", p.Stale}} {
		if f.n > 0 {
			errs = append(errs, fmt.Errorf("seed %d: %d %s", seed, f.n, f.what))
		}
	}
	return errors.Join(errs...)
}

// powerScript is what chance decides of a play, the same for both fleets.
type powerScript struct {
	nodeBack    []time.Duration // after power's return
	gateBack    []time.Duration
	listBack    time.Duration
	secondLoss  time.Duration // one gateway loses power again then; 0: none
	againWho    int
	description []string
}

func drawPower(seed uint64, nodes, gates int) (s powerScript) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(rnd.Int64N(int64(to-from))) }
	for i := range nodes {
		s.nodeBack = append(s.nodeBack, between(0, 500*time.Millisecond))
		s.description = append(s.description, fmt.Sprintf("node %d at %v", i, s.nodeBack[i].Round(time.Millisecond)))
	}
	late := rnd.IntN(2) == 0 // half of the fleet is back later
	for i := range gates {
		at := between(0, time.Second)
		if late && i >= gates/2 {
			at += 2 * time.Second
		}
		s.gateBack = append(s.gateBack, at)
		s.description = append(s.description, fmt.Sprintf("gateway %d at %v", i, at.Round(time.Millisecond)))
	}
	s.listBack = between(3*time.Second, 5*time.Second)
	s.description = append(s.description, fmt.Sprintf("discovery at %v", s.listBack.Round(time.Millisecond)))
	if rnd.IntN(3) == 0 {
		s.secondLoss, s.againWho = between(1500*time.Millisecond, 2500*time.Millisecond), 1+rnd.IntN(gates-1)
		s.description = append(s.description, fmt.Sprintf("gateway %d loses power again at %v", s.againWho, s.secondLoss.Round(time.Millisecond)))
	}
	return s
}

func playPower(ctx context.Context, program string, seed uint64, gates int, plant string) (r faultReport, err error) {
	nodes := gates + 3
	script := drawPower(seed, nodes, gates)
	r = faultReport{Play: "power", Seed: seed, Instances: gates, Order: script.description}
	if r.Recovered, err = playPowerOnce(ctx, program, seed, gates, nodes, script, true, plant); err != nil {
		return r, err
	}
	r.Plain, err = playPowerOnce(ctx, program, seed, gates, nodes, script, false, "")
	return r, err
}

// fleetGate is a process of the program.
type fleetGate struct {
	name, listen, dir string
	env               []string
	mu                sync.Mutex
	cmd               *exec.Cmd
	log               *os.File
}

func (g *fleetGate) start(program string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd = exec.Command(program)
	g.cmd.Env, g.cmd.Stderr = g.env, g.log
	return g.cmd.Start()
}

// What signal sends: a process is stopped, and goes on.
const (
	stop = syscall.SIGSTOP
	goOn = syscall.SIGCONT
)

func (g *fleetGate) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		g.cmd.Process.Signal(s)
	}
}

// kill ends it as a loss of power does.
func (g *fleetGate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		g.cmd.Process.Kill()
		g.cmd.Wait()
	}
}

func playPowerOnce(ctx context.Context, program string, seed uint64, gates, n int, script powerScript, together bool, plant string) (p powerPlay, err error) {
	p.Together = together
	root, err := os.MkdirTemp("", "fleet-faults")
	if err != nil {
		return p, err
	}
	defer os.RemoveAll(root)
	f := &powerFleet{root: root, program: program, gates: gates}
	defer f.close()
	if err := f.begin(n, together, plant); err != nil {
		return p, err
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
	time.Sleep(600 * time.Millisecond) // lists are stored
	old := filepath.Join(root, "old")
	if err := os.CopyFS(old, os.DirFS(f.list[0].dir)); err != nil {
		return p, err
	}
	f.retire(n - 1)
	time.Sleep(600 * time.Millisecond)
	f.lose()
	// One gateway comes back with the disk that it had before the last change.
	if err := errors.Join(os.RemoveAll(f.list[0].dir), os.CopyFS(f.list[0].dir, os.DirFS(old))); err != nil {
		return p, err
	}
	return p, f.recover(ctx, &p, seed, script)
}

func within(ctx context.Context, d time.Duration, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return do(ctx)
}

// outcome is what became of a request.
type outcome struct {
	at     time.Duration // after power came back
	served bool
	taken  bool // a gateway had the whole line
	answer string
	twice  bool
}

// recover brings power back, puts load on, and counts.
func (f *powerFleet) recover(ctx context.Context, p *powerPlay, seed uint64, script powerScript) error {
	back := time.Now()
	ctx, cancel := context.WithTimeout(ctx, script.listBack+faultCold+4*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	at := func(after time.Duration, do func() error) {
		wg.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(back.Add(after))):
				if err := do(); err != nil {
					mu.Lock()
					errs = append(errs, err)
					mu.Unlock()
				}
			}
		})
	}
	for i, after := range script.nodeBack {
		at(after, func() error { return f.nodeBack(i) })
	}
	for i, after := range script.gateBack {
		at(after, func() error { return f.list[i].start(f.program) })
	}
	at(script.listBack, f.listBack)
	if script.secondLoss > 0 {
		at(script.secondLoss, func() error {
			f.list[script.againWho].kill()
			return f.list[script.againWho].start(f.program)
		})
	}
	wg.Go(func() { p.Tipped = f.watchNodes(ctx) })
	at(slices.Min(script.gateBack[1:])+peerHeard, func() error {
		p.Alone = f.toRetired(seed)
		return nil
	})
	var all []outcome
	rnd := rand.New(rand.NewPCG(seed, 4))
	tick := time.NewTicker(time.Second / faultRate)
	defer tick.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		select {
		case <-ctx.Done():
			continue
		case <-tick.C:
		}
		g := f.list[rnd.IntN(len(f.list))]
		wg.Go(func() {
			o := outcome{at: time.Since(back)}
			o.ask(g.listen, "lines", fmt.Sprintf("%x-%d", seed, i))
			mu.Lock()
			all = append(all, o)
			mu.Unlock()
		})
	}
	wg.Wait()
	p.count(all)
	names := map[string]int{}
	for _, node := range f.nodes {
		for name, k := range node.OpenedByName() {
			names[name] += k
		}
	}
	p.Stale = f.toRetired(seed) - p.Alone
	for _, k := range names {
		if k > 1 {
			p.Overlaps++
		}
	}
	return errors.Join(errs...)
}

// count sums requests up, and finds when service was back for good.
func (p *powerPlay) count(all []outcome) {
	const span = 500 * time.Millisecond
	var asked, served []int
	for _, o := range all {
		i := int(o.at / span)
		for len(asked) <= i {
			asked, served = append(asked, 0), append(served, 0)
		}
		asked[i]++
		if o.served {
			served[i]++
			p.Served++
		}
		if o.taken {
			p.Requests++
			switch {
			case o.answer == "":
				p.Unanswered++
			case strings.HasPrefix(o.answer, "BUSY"):
				p.Refused++
			}
			if o.twice {
				p.Twice++
			}
		}
	}
	since := func(part float64) int64 {
		ms := int64(-1)
		for i := len(asked) - 2; i >= 0 && float64(served[i]) >= part*float64(asked[i]); i-- { // the last span may be cut short
			ms = int64(i) * span.Milliseconds()
		}
		return ms
	}
	p.HalfMS, p.AllMS = since(0.5), since(0.99)
}

// tips is how many openings in a second push a cold node over: what it bears when it starts, with the platform's slack.
func tips() int {
	n := 4 * 0.2 * faultBears
	return int(n + 3*math.Sqrt(n) + 3)
}
