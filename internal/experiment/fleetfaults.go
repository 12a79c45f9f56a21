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

// plantTrustStaleList isolates an instance with an old disk, which then has to trust the old endpoint list.
const plantTrustStaleList = "trust-stale-list"

const minInstances, maxInstances = 3, 20

// fleetScenario is what a run of fleet-faults is given.
type fleetScenario struct {
	program   string // path of the executable
	seed      uint64
	instances int
	plant     string // empty: none
}

// servers is how many fake servers the fleet uses.
func (s fleetScenario) servers() int { return s.instances + 3 }

// faultFinder is a result that knows what in it must not be.
type faultFinder interface{ faults() error }

func fleetFaultsCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet-faults", Usage: "many processes of the program, through faults",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "play", Value: scenarioPower,
				Usage: "power: all processes, nodes and discovery lose power at once; " +
					"tiers: three times the load that the nodes bear",
			},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.IntFlag{Name: "instances", Value: 5, Usage: "3 to 20 processes"},
			&cli.StringFlag{Name: "program", Usage: "`PATH` of the program; milletvane beside this one otherwise"},
			&cli.StringFlag{
				Name:  "plant",
				Usage: "trust-stale-list: have the instance with an old disk go by it alone; the play must fail",
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

func runFleetFaults(ctx context.Context, c *cli.Command) (faultFinder, error) {
	program, err := programPath(c.String("program"))
	if err != nil {
		return nil, err
	}
	s := fleetScenario{program: program, seed: c.Uint64("seed"), instances: c.Int("instances"), plant: c.String("plant")}
	if s.instances < minInstances || s.instances > maxInstances {
		return nil, errors.New("3 to 20 instances are wanted")
	}
	switch name := c.String("play"); name {
	case scenarioPower:
		if s.plant != "" && s.plant != plantTrustStaleList {
			return nil, fmt.Errorf("plant: %q is none of: %s", s.plant, plantTrustStaleList)
		}
		return runPowerScenario(ctx, s)
	case scenarioTiers:
		return runTiersScenario(ctx, s)
	default:
		return nil, fmt.Errorf("play: %q is none of: %s, %s", name, scenarioPower, scenarioTiers)
	}
}

// programPath returns the path of the program under test, by default milletvane beside this program.
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
