package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/urfave/cli/v3"
)

// maxStopSeeds is the largest number of runs of one command.
const maxStopSeeds = 1000

// stopReport is the result of the run of one seed, printed as one line of JSON.
type stopReport struct {
	Seed        uint64      `json:"seed"`
	Mode        string      `json:"mode"`
	Crowd       bool        `json:"crowd"`
	HotRestart  bool        `json:"hot_restart"`
	Signals     []string    `json:"signals"`
	Servers     []string    `json:"servers"`
	Discovery   string      `json:"discovery"`
	Pauses      int         `json:"pauses"`
	Requests    int         `json:"requests"`
	Served      int         `json:"served"`
	Rejected    int         `json:"rejected"`
	Failed      int         `json:"failed"`
	Moved       int         `json:"moved"`
	Descriptors int         `json:"highest_descriptors"`
	Limit       int         `json:"descriptor_limit"`
	LatenessMS  int64       `json:"lateness_ms"` // largest timer delay of this process; its observations may be as late
	Void        bool        `json:"void"`        // the timers were late by more than the tolerance: the run shows nothing
	Violations  []violation `json:"violations"`
}

// stopSoakCommand returns the command that stops real processes of the program as planned while clients use them, in one
// run for each seed.
func stopSoakCommand() *cli.Command {
	return &cli.Command{
		Name: "stop-soak", Usage: "stop and restart processes of the program while clients use them, and check for violations",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "runs"},
			&cli.Uint64Flag{Name: "from", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "parallel", Value: 2, Usage: "number of concurrent runs"},
			&cli.StringFlag{Name: "program", Usage: "`PATH` of the program; defaults to milletvane beside this program"},
			&cli.StringFlag{Name: "trace", Usage: "`DIR` for a trace of each seed with a violation"},
			&cli.StringFlag{Name: "plant", Usage: "a fault that must be detected: " + strings.Join(plantedStopFaultNames(), ", ")},
			&cli.StringFlag{Name: "hot-restart", Value: string(hotRestartDrawn), Usage: "runs with a successor: drawn, none or all"},
			&cli.BoolFlag{Name: "json", Usage: "print one line of JSON for each seed"},
		},
		Action: runStopSoak,
	}
}

func runStopSoak(ctx context.Context, c *cli.Command) error {
	program, err := programPath(c.String("program"))
	if err != nil {
		return err
	}
	plantedFault := plantedStopFault(c.String("plant"))
	if plantedFault != plantNone && !slices.Contains(plantedStopFaultNames(), string(plantedFault)) {
		return fmt.Errorf("plant: unknown fault %q, want one of: %s", plantedFault, strings.Join(plantedStopFaultNames(), ", "))
	}
	hotRestarts := hotRestartChoice(c.String("hot-restart"))
	if !slices.Contains([]hotRestartChoice{hotRestartDrawn, hotRestartNone, hotRestartAll}, hotRestarts) {
		return fmt.Errorf("hot-restart: unknown value %q, want drawn, none or all", hotRestarts)
	}
	if c.Int("seeds") < 1 || c.Int("seeds") > maxStopSeeds {
		return fmt.Errorf("seeds: got %d, want 1 to %d", c.Int("seeds"), maxStopSeeds)
	}
	soak := &stopSoak{out: c.Root().Writer, traceDir: c.String("trace"), asJSON: c.Bool("json")}
	slots := make(chan struct{}, max(c.Int("parallel"), 1))
	var runs sync.WaitGroup
	for i := range uint64(c.Int("seeds")) {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		runs.Go(func() {
			defer func() { <-slots }()
			scenario := drawStopScenario(c.Uint64("from")+i, plantedFault, hotRestarts)
			report, trace, err := runStop(ctx, program, scenario)
			soak.add(report, trace, err)
		})
	}
	runs.Wait()
	return soak.summary()
}

// stopSoak collects the reports of all seeds. Its methods may be called from several goroutines.
type stopSoak struct {
	out      io.Writer
	traceDir string // empty means that no traces are written
	asJSON   bool

	mu      sync.Mutex
	runs    int
	voids   int
	failing []uint64
	errs    []error
}

func (s *stopSoak) add(report stopReport, trace []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.errs = append(s.errs, fmt.Errorf("seed %d: %w", report.Seed, err))
		return
	}
	s.runs++
	switch {
	case report.Void:
		s.voids++
	case len(report.Violations) > 0:
		s.failing = append(s.failing, report.Seed)
		s.errs = append(s.errs, s.writeTrace(report, trace))
	}
	if s.asJSON {
		s.errs = append(s.errs, writeJSON(s.out, report))
		return
	}
	for _, v := range report.Violations {
		_, err := fmt.Fprintf(s.out, "seed %d: %s: %s\n", report.Seed, v.Kind, v.Detail)
		s.errs = append(s.errs, err)
	}
}

func (s *stopSoak) writeTrace(report stopReport, trace []string) error {
	if s.traceDir == "" {
		return nil
	}
	if err := os.MkdirAll(s.traceDir, 0o755); err != nil {
		return err
	}
	name := filepath.Join(s.traceDir, fmt.Sprintf("seed-%d.txt", report.Seed))
	return os.WriteFile(name, []byte(strings.Join(trace, "\n")+"\n"), 0o644)
}

// summary prints the counts. It returns an error if a seed had a violation or could not be run.
func (s *stopSoak) summary() error {
	slices.Sort(s.failing)
	if !s.asJSON {
		_, err := fmt.Fprintf(s.out, "%d runs, %d void, %d with violations %v\n", s.runs, s.voids, len(s.failing), s.failing)
		s.errs = append(s.errs, err)
	}
	if len(s.failing) > 0 {
		s.errs = append(s.errs, fmt.Errorf("violations in the runs of seeds %v", s.failing))
	}
	return errors.Join(s.errs...)
}
