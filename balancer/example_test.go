package balancer_test

import (
	"fmt"
	"time"

	"example.org/milletvane/balancer"
)

// A host passes events to a Balancer, each with the current time, and carries out the returned actions.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Gateways:    2,
		MaxAttempts: 3,
		DrainGrace:  500 * time.Millisecond,
		Classes: []balancer.Class{{
			Name:                  "feed",
			Idempotency:           balancer.Idempotent,
			SetupLatencyObjective: 400 * time.Millisecond,
		}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	list := balancer.EndpointList{
		Mode:    balancer.ListComplete,
		Servers: []balancer.Server{{ID: 11}, {ID: 12}, {ID: 13}},
	}
	events := []balancer.Event{
		list,
		balancer.Request{ID: 1, Class: "feed", Group: "area-7", Timeout: 2 * time.Second},
		balancer.AttemptEnded{ID: 1, Attempt: 0, Server: 13, Result: balancer.ConnectFailed},
		balancer.AttemptEstablished{ID: 1, Attempt: 1, Server: 11, Elapsed: 12 * time.Millisecond},
	}
	now := time.Hour // any origin will do
	for _, ev := range events {
		now += 100 * time.Millisecond
		for _, a := range b.Handle(now, ev) {
			fmt.Printf("%T %+v\n", a, a)
		}
	}
	// Output:
	// balancer.SetTimer {After:250ms Ref:1}
	// balancer.Send {ID:1 Server:13 Timeout:400ms ConnectTimeout:450ms}
	// balancer.Log outlier ejected server=13 reason=connect failed duration=5s
	// balancer.Send {ID:1 Server:11 Timeout:400ms ConnectTimeout:450ms}
}
