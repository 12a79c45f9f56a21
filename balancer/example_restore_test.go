package balancer_test

import (
	"fmt"
	"time"

	"example.org/milletvane/balancer"
)

// The Balancer of a new process restores what the Balancer of the previous process has learned, after it has
// received the endpoint list.
func ExampleBalancer_Restore() {
	settings := balancer.Settings{MaxAttempts: 2}
	list := balancer.EndpointList{
		Mode:    balancer.ListComplete,
		Servers: []balancer.Server{{ID: 11}, {ID: 12}, {ID: 13}},
	}
	first, err := balancer.New(settings)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	first.Handle(now, list)
	for _, a := range first.Handle(now, balancer.Request{ID: 1, Timeout: time.Second}) {
		if send, ok := a.(balancer.Send); ok {
			fmt.Println("sent to", send.Server)
			failed := balancer.AttemptEnded{ID: send.ID, Server: send.Server, Result: balancer.ConnectFailed}
			first.Handle(now, failed)
		}
	}

	second, err := balancer.New(settings)
	if err != nil {
		fmt.Println(err)
		return
	}
	second.Handle(now, list)
	second.Restore(now, first.Snapshot())
	for _, s := range list.Servers {
		fmt.Println(s.ID, "is ejected:", second.IsEjected(s.ID))
	}
	// Output:
	// sent to 11
	// 11 is ejected: true
	// 12 is ejected: false
	// 13 is ejected: false
}
