// Command lab runs experiments with a gateway between stand-ins, all on loopback.
package main

import (
	"context"
	"os"

	"example.org/milletvane/internal/experiment"
)

func main() { os.Exit(experiment.Run(context.Background(), os.Args, os.Stdout, os.Stderr)) }
