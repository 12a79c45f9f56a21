package rules_test

import (
	"fmt"
	"time"

	"example.org/milletvane/rules"
)

// A host feeds a Balancer its events, each with the time, and carries out the actions.
func Example() {
	b, err := rules.New(rules.Settings{
		Gateways:    2,
		MaxAttempts: 3,
		DrainGrace:  500 * time.Millisecond,
		Classes: []rules.Class{{
			Name:                  "feed",
			Idempotency:           rules.Idempotent,
			SetupLatencyObjective: 400 * time.Millisecond,
		}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	list := rules.EndpointList{
		Mode:    rules.ListComplete,
		Servers: []rules.Server{{ID: 11}, {ID: 12}, {ID: 13}},
	}
	events := []rules.Event{
		list,
		rules.Request{ID: 1, Class: "feed", Group: "area-7", Timeout: 2 * time.Second},
		rules.AttemptEnded{ID: 1, Attempt: 0, Server: 13, Result: rules.ConnectFailed},
		rules.AttemptEstablished{ID: 1, Attempt: 1, Server: 11, Elapsed: 12 * time.Millisecond},
	}
	now := time.Hour // any origin will do
	for _, ev := range events {
		now += 100 * time.Millisecond
		for _, a := range b.Handle(now, ev) {
			fmt.Printf("%T %+v\n", a, a)
		}
	}
	// Output:
	// rules.SetTimer {After:250ms Ref:1}
	// rules.Send {ID:1 Server:13 Timeout:400ms ConnectTimeout:450ms}
	// rules.Log {Text:server 13 out of the table for 5s}
	// rules.Send {ID:1 Server:11 Timeout:400ms ConnectTimeout:450ms}
}
