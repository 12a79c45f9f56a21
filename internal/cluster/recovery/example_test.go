package recovery_test

import (
	"fmt"
	"time"

	"example.org/milletvane/internal/cluster/recovery"
)

// An instance that starts with an empty disk uses the endpoint list that two of its peers hold.
func Example() {
	now := 1_700_000_000 * time.Second
	r := recovery.New(recovery.Settings{
		Name: "a", Peers: []string{"b", "c"},
		PeerTimeout: 2 * time.Second, WarmupDuration: 20 * time.Second, MaxClockSkew: 2 * time.Second,
	})
	r.Handle(now, recovery.Startup{})
	list := recovery.PeerState{Version: 8, Hash: 42, Servers: []recovery.Server{{ID: "s1"}}}
	r.Handle(now, recovery.PeerReport{Peer: "b", Clock: now, State: list})
	decision, ok := r.Handle(now, recovery.PeerReport{Peer: "c", Clock: now, State: list})
	fmt.Println(ok, decision.Source, decision.Version, decision.Peers, decision.ColdStart)
	// Output: true peers 8 [b c] true
}
