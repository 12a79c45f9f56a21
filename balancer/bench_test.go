package balancer

import (
	"fmt"
	"testing"
)

// The benchmarks are reported, never a pass mark.

func BenchmarkBuildTable(b *testing.B) {
	shares := fleet(100, even)
	for b.Loop() {
		buildTable(shares)
	}
}

// BenchmarkRequest is a connection's whole life at one of many gateways, over fleets of two sizes.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			set := settings()
			set.Gateways = 200
			g := mustNew(b, set)
			g.Handle(0, EndpointList{Mode: ListComplete, Servers: servers(n)})
			id := RequestID(0)
			for b.Loop() {
				id++
				group := fmt.Sprint("g", id%50)
				acts := g.Handle(0, Request{ID: id, Class: "safe", Group: group, Key: group, Timeout: sec})
				send := acts[len(acts)-1].(Send)
				g.Handle(0, AttemptEstablished{ID: id, Server: send.Server, Elapsed: ms})
				g.Handle(0, AttemptEnded{ID: id, Server: send.Server, Result: OK, Answered: true})
			}
		})
	}
}
