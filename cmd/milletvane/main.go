// Command milletvane is a load balancer for long-lived connections.
package main

import (
	"context"
	"os"

	"example.org/milletvane/internal/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args, os.Getenv, os.Stdout, os.Stderr))
}
