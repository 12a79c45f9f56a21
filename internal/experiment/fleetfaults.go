package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"
)

// Scenarios of fleet-faults.
const (
	scenarioPower = "power"
	scenarioTiers = "tiers"
)

// plantTrustStaleList isolates the instance with an old disk from its peers, so that it follows the old endpoint list.
const plantTrustStaleList = "trust-stale-list"

const minInstances, maxInstances = 3, 20

// fleetScenario holds the parameters of a run of fleet-faults.
type fleetScenario struct {
	program      string // path of the executable
	seed         uint64
	instances    int
	plantedFault string // planted fault; empty means none
}

// servers returns the number of fake servers of the fleet.
func (s fleetScenario) servers() int { return s.instances + 3 }

// checkedResult is a result that can check itself.
type checkedResult interface{ faults() error }

func fleetFaultsCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet-faults", Usage: "run many processes of the program through a fault scenario and check the results",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "play", Value: scenarioPower,
				Usage: "power: all processes, nodes and discovery lose power at once; " +
					"tiers: the load is three times the capacity of the nodes",
			},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "instances", Value: 5, Usage: "number of processes, 3 to 20"},
			&cli.StringFlag{Name: "program", Usage: "`PATH` of the program; defaults to milletvane beside this program"},
			&cli.StringFlag{
				Name:  "plant",
				Usage: "trust-stale-list: the instance with an old disk can't ask its peers; the power scenario must fail",
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			report, err := runFleetFaults(ctx, c)
			if err != nil {
				return err
			}
			if err := writeJSON(c.Root().Writer, report); err != nil {
				return err
			}
			return report.faults()
		},
	}
}

func runFleetFaults(ctx context.Context, c *cli.Command) (checkedResult, error) {
	program, err := programPath(c.String("program"))
	if err != nil {
		return nil, err
	}
	s := fleetScenario{program: program, seed: c.Uint64("seed"), instances: c.Int("instances"), plantedFault: c.String("plant")}
	if s.instances < minInstances || s.instances > maxInstances {
		return nil, errors.New("instances: the number must be 3 to 20")
	}
	switch name := c.String("play"); name {
	case scenarioPower:
		if s.plantedFault != "" && s.plantedFault != plantTrustStaleList {
			return nil, fmt.Errorf("plant: unknown fault %q, want %s", s.plantedFault, plantTrustStaleList)
		}
		return runPowerScenario(ctx, s)
	case scenarioTiers:
		return runTiersScenario(ctx, s)
	default:
		return nil, fmt.Errorf("play: unknown scenario %q, want %s or %s", name, scenarioPower, scenarioTiers)
	}
}

// programPath returns the path of the program under test. It defaults to milletvane in the directory of this program.
func programPath(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	own, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(own), "milletvane"), nil
}
