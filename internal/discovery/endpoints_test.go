package discovery

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/milletvane/balancer"
)

func TestParseNeverPanics(t *testing.T) {
	texts := rapid.SampledFrom([]string{`{"version":`, `"servers":[`, `{"id":"a"}`, "]}", "1", "null", ","})
	piece := rapid.OneOf(
		rapid.SliceOfN(rapid.Byte(), 0, 30),
		rapid.Map(texts, func(s string) []byte { return []byte(s) }),
	)
	rapid.Check(t, func(t *rapid.T) {
		text := bytes.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "pieces"), nil)
		list, err := Parse(text)
		if err == nil && list == nil {
			t.Fatal("got neither a list nor an error, want one of them")
		}
		var invalid *InvalidListError
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("got error %v of type %T, want an InvalidListError", err, err)
		}
	})
}

func TestParseWithoutID(t *testing.T) {
	if _, err := Parse([]byte(`{"servers":[{"addr":"x"}]}`)); !errors.Is(err, ErrMissingID) {
		t.Errorf("got error %v, want %v", err, ErrMissingID)
	}
}

func TestServerIDsAreStable(t *testing.T) {
	if got := ServerID("s-5be2a07c"); got != 0x5be2a07c {
		t.Errorf("got server ID %#x for s-5be2a07c, want 0x5be2a07c", got)
	}
	for _, id := range []string{"", "node-7", "s-5be2a07", "s-5be2a07cc", "s-zzzzzzzz", "5BE2A07C", "s-+be2a07c"} {
		first, second := ServerID(id), ServerID(id)
		if first != second {
			t.Errorf("got server IDs %#x and %#x for %q, want the same twice", first, second, id)
		}
	}
	if ServerID("node-7") == ServerID("node-8") {
		t.Error("got the same server ID for node-7 and node-8, want different ones")
	}
}

func TestEngineListKeepsStatesAndTimes(t *testing.T) {
	list, err := Parse([]byte(`{"version":43,"full":false,"servers":[
		{"id":"s-00000001","addr":"127.0.0.1:1","zone":"a","cell":3,"state":"terminating","weight":1.5,"started_ms":1700000000123},
		{"id":"s-00000002","state":"terminated"},{"id":"s-00000003","state":"in_service"},{"id":"s-00000004","state":"new-word"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	servers := list.EngineList(balancer.ListDelta).Servers
	first := balancer.Server{
		ID: 1, Zone: "a", Cell: 3, State: balancer.Draining, Capacity: 1.5, Started: 1700000000123 * time.Millisecond,
	}
	if servers[0].Server != first || servers[0].Name != "s-00000001" || servers[0].Addr != "127.0.0.1:1" {
		t.Errorf("got server %+v, want s-00000001 at 127.0.0.1:1 with %+v", servers[0], first)
	}
	for i, want := range []balancer.ServerState{balancer.Draining, balancer.Removed, balancer.Ready, balancer.Draining} {
		if got := servers[i].State; got != want {
			t.Errorf("server %d: got state %d, want %d", i, got, want)
		}
	}
}
