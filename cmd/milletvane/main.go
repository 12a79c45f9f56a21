// Command milletvane is the balancer.
package main

import (
	"context"
	"os"

	"example.org/milletvane/internal/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args, os.Getenv, os.Stdout, os.Stderr))
}
