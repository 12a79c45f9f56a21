package refresh_test

import (
	"fmt"
	"time"

	"example.org/milletvane/internal/discovery/refresh"
)

// The caller performs each poll, reports its outcome and gets the next poll.
func ExampleScheduler() {
	scheduler := refresh.New(refresh.Settings{Gateways: 3, Seed: 1})

	poll := scheduler.Handle(0, refresh.Start{})
	fmt.Println("complete:", poll.Complete, "wait:", poll.Wait)

	poll = scheduler.Handle(20*time.Millisecond, refresh.ListReceived{Version: 7, Complete: true})
	fmt.Println("after version:", poll.AfterVersion, "wait:", poll.Wait, "timeout:", poll.Timeout)

	poll = scheduler.Handle(3770*time.Millisecond, refresh.TimedOut{})
	fmt.Println("wait:", poll.Wait, "timeout:", poll.Timeout, "stale at:", poll.StaleAt)

	// Output:
	// complete: true wait: 0s
	// after version: 7 wait: 3s timeout: 3.75s
	// wait: 0s timeout: 2.25s stale at: 6.02s
}
