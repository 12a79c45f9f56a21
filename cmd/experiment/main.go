// Command experiment measures and tests gateways with fake servers and clients. All of them run on the loopback interface.
package main

import (
	"context"
	"os"

	"example.org/milletvane/internal/experiment"
)

func main() { os.Exit(experiment.Run(context.Background(), os.Args, os.Stdout, os.Stderr)) }
