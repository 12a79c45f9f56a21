// Command experiment measures and tests a gateway between fake servers and clients, all on loopback.
package main

import (
	"context"
	"os"

	"example.org/milletvane/internal/experiment"
)

func main() { os.Exit(experiment.Run(context.Background(), os.Args, os.Stdout, os.Stderr)) }
