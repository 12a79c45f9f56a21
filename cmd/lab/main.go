// Command lab runs experiments with a gateway between stand-ins, all on loopback.
package main

import (
	"context"
	"os"

	"example.org/milletvane/internal/lab"
)

func main() { os.Exit(lab.Run(context.Background(), os.Args, os.Stdout, os.Stderr)) }
