package membership_test

import (
	"fmt"
	"time"

	"example.org/milletvane/internal/membership"
	"example.org/milletvane/internal/membership/simnet"
	"example.org/milletvane/internal/wal/faultfs"
)

// An instance gets a new incarnation at each start, and sends messages to the members that it knows.
func ExampleTransport() {
	incarnations, err := membership.OpenIncarnations(faultfs.New(1), "data")
	if err != nil {
		fmt.Println(err)
		return
	}
	incarnation, err := incarnations.Next(0, 42*time.Millisecond)
	if err != nil {
		fmt.Println(err)
		return
	}
	network := simnet.New(1, simnet.Faults{MinDelay: time.Millisecond})
	network.Start(membership.Options{Name: "b", Incarnation: 1, OnMessage: func(m membership.Message) {
		fmt.Printf("from %s, incarnation %d: %s\n", m.From, m.Incarnation, m.Payload)
	}})
	var a membership.Transport = network.Start(membership.Options{Name: "a", Incarnation: incarnation})
	a.Send("b", []byte("hello"))
	network.Advance(time.Second)
	for _, m := range a.Members() {
		fmt.Println(m.Name, m.State)
	}
	// Output:
	// from a, incarnation 42: hello
	// a alive
	// b alive
}
