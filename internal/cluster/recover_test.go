package cluster

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/engine"
	"example.org/milletvane/internal/wal/faultfs"
)

// The list that is used lacks the servers that are missing in the newer list of a single peer.
func TestExcludedServersAreNotUsed(t *testing.T) {
	x := &exchange{t: t, now: exchangeEpoch}
	disk := faultfs.New(1)
	c := x.start("a", disk)
	servers := exchangeServers(4)
	c.UpdateEndpoints(engine.EndpointList{Mode: balancer.ListComplete, Version: 8, Servers: servers})
	x.save(c)
	x.close(c)

	c = x.start("a", disk)
	newer := discovery.NewEndpointList(9, servers[:3]).Endpoints
	state := statePart{Version: 9, Hash: hashEndpoints(newer), ClockMS: x.now.Milliseconds()}
	for _, body := range splitState(state, newer) {
		x.receive("b", string(body))
	}
	x.now += 2 * time.Second
	list := x.firstUsedList(c)
	if list == nil || list.Version != 8 {
		t.Fatalf("got list %+v, want version 8", list)
	}
	var got []string
	for _, e := range list.Endpoints {
		got = append(got, e.ID)
	}
	want := []string{servers[0].Name, servers[1].Name, servers[2].Name}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("servers (-want +got):\n%s", diff)
	}
}
