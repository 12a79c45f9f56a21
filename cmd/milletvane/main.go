// Command milletvane is the balancer.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"example.org/milletvane/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(command.Run(ctx, os.Args, os.Getenv, os.Stdout, os.Stderr))
}
