// Command standins plays the cases of a review: it starts the balancer as a process of its own and stands in for
// discovery, NATS nodes and clients. Each case checks one rule. The exit status is 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds every case.
const maxRun = 110 * time.Second

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play runs a case and returns what broke the rule, or nothing.
type play func(s *scene) (violations []string, err error)

var plays = map[string]play{
	"queue-drain":   playQueueDrain,
	"hung-node":     playHungNode,
	"planned-stop":  playPlannedStop,
	"plain-client":  playPlainClient,
	"long-line":     playLongLine,
	"ended-drain":   playEndedDrain,
	"crowded-start": playCrowdedStart,
}

func main() {
	if len(os.Args) != 2 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE")
		os.Exit(exitFailed)
	}
	os.Exit(run(plays[os.Args[1]]))
}

func run(p play) int {
	s, err := newScene()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	type outcome struct {
		violations []string
		err        error
	}
	done := make(chan outcome, 1)
	go func() {
		violations, err := p(s)
		done <- outcome{violations, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case sig := <-signals:
		return s.report(nil, fmt.Errorf("ended by a signal: %v", sig))
	case o := <-done:
		return s.report(o.violations, o.err)
	case <-time.After(maxRun):
		return s.report(nil, fmt.Errorf("the case took more than %v", maxRun))
	}
}

func (s *scene) report(violations []string, err error) int {
	for _, v := range violations {
		s.record.printf("VIOLATION %s", v)
	}
	switch {
	case err != nil:
		s.record.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitFailed
	case len(violations) > 0:
		fmt.Printf("broken: %d violations, the first: %s\n", len(violations), violations[0])
		return exitBroken
	}
	s.record.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}
