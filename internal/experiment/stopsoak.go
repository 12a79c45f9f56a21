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

// maxStopSeeds bounds the runs of one call.
const maxStopSeeds = 1000

// stopReport is what the run of one seed came to, as a line of JSON.
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
	LatenessMS  int64       `json:"lateness_ms"` // of this process at most: what it sees may be as late
	Void        bool        `json:"void"`        // it was late by more than the platform's slack, so that nothing is shown
	Violations  []violation `json:"violations"`
}

// stopSoakCommand runs planned stops of real processes while their clients go on, one run for each seed.
func stopSoakCommand() *cli.Command {
	return &cli.Command{
		Name: "stop-soak", Usage: "processes are stopped and restarted while their clients go on",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "runs"},
			&cli.Uint64Flag{Name: "from", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "parallel", Value: 2, Usage: "runs side by side"},
			&cli.StringFlag{Name: "program", Usage: "`PATH` of the program; milletvane beside this one otherwise"},
			&cli.StringFlag{Name: "trace", Usage: "`DIR` for a trace of each seed with a violation"},
			&cli.StringFlag{Name: "plant", Usage: "a fault that has to be seen: " + strings.Join(stopPlantNames(), ", ")},
			&cli.StringFlag{Name: "hot-restart", Value: string(hotRestartDrawn), Usage: "drawn, none or all: runs with a second process"},
			&cli.BoolFlag{Name: "json", Usage: "one line of JSON a seed"},
		},
		Action: runStopSoak,
	}
}

func runStopSoak(ctx context.Context, c *cli.Command) error {
	program, err := programPath(c.String("program"))
	if err != nil {
		return err
	}
	plant := stopPlant(c.String("plant"))
	if plant != plantNone && !slices.Contains(stopPlantNames(), string(plant)) {
		return fmt.Errorf("plant: %q is none of: %s", plant, strings.Join(stopPlantNames(), ", "))
	}
	hotRestarts := hotRestartChoice(c.String("hot-restart"))
	if !slices.Contains([]hotRestartChoice{hotRestartDrawn, hotRestartNone, hotRestartAll}, hotRestarts) {
		return fmt.Errorf("hot-restart: %q is none of drawn, none and all", hotRestarts)
	}
	if c.Int("seeds") < 1 || c.Int("seeds") > maxStopSeeds {
		return fmt.Errorf("seeds: %d is not within 1 and %d", c.Int("seeds"), maxStopSeeds)
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
			scenario := drawStopScenario(c.Uint64("from")+i, plant, hotRestarts)
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
	traceDir string // empty: no traces
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

// summary prints the counts, and returns an error where a seed had a violation or could not be run.
func (s *stopSoak) summary() error {
	slices.Sort(s.failing)
	if !s.asJSON {
		_, err := fmt.Fprintf(s.out, "%d runs, %d void, %d with violations %v\n", s.runs, s.voids, len(s.failing), s.failing)
		s.errs = append(s.errs, err)
	}
	if len(s.failing) > 0 {
		s.errs = append(s.errs, fmt.Errorf("violations with the seeds %v", s.failing))
	}
	return errors.Join(s.errs...)
}
