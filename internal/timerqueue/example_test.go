package timerqueue_test

import (
	"fmt"
	"time"

	"example.org/milletvane/internal/timerqueue"
)

// The caller passes the current time to the queue.
func Example() {
	var timers timerqueue.Queue[string]
	timers.Add(2*time.Second, "retry")
	timers.Add(time.Second, "poll")
	idle := timers.Add(3*time.Second, "idle")
	timers.Remove(idle)

	for now := time.Duration(0); timers.Len() > 0; now += time.Second {
		for {
			name, ok := timers.PopExpired(now)
			if !ok {
				break
			}
			fmt.Println(now, name)
		}
	}
	// Output:
	// 1s poll
	// 2s retry
}
