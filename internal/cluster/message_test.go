package cluster

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/membership"
)

// decodePart decodes a message and fails the test if it does not fit into a datagram.
func decodePart(t *testing.T, body []byte) statePart {
	t.Helper()
	if len(body) > membership.MaxPayloadBytes {
		t.Fatalf("got a part of %d bytes, want at most %d", len(body), membership.MaxPayloadBytes)
	}
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		t.Fatal(err)
	}
	return m.statePart
}

// Each part of a state fits into a datagram. Parts may arrive in any order, and some twice. A list that is too long is sent
// without its entries.
func TestStatePartsRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 6, 90, 5000} {
		t.Run(fmt.Sprintf("%d servers", n), func(t *testing.T) {
			endpoints := discovery.NewEndpointList(3, completeList(3, n).Servers).Endpoints
			state := statePart{Version: 3, Hash: hashEndpoints(endpoints), UpdatedMS: 1 << 41, UptimeMS: 1 << 41, ClockMS: 1 << 41}
			bodies := splitState(state, endpoints)
			a := assembly{}
			isComplete := false
			for i := range 2 * len(bodies) {
				isComplete = a.add(decodePart(t, bodies[(i*7+3)%len(bodies)]))
			}
			for _, body := range bodies {
				isComplete = a.add(decodePart(t, body))
			}
			if !isComplete {
				t.Errorf("the state is not complete after all of its %d parts", len(bodies))
			}
			want := endpoints
			if n > 1400 {
				want = nil
			}
			if diff := cmp.Diff(want, a.endpoints()); diff != "" {
				t.Errorf("endpoints (-want +got):\n%s", diff)
			}
		})
	}
}

func TestInvalidStatePartsAreIgnored(t *testing.T) {
	a := assembly{}
	for _, part := range []statePart{{Parts: 0}, {Parts: 1 << 30}, {Index: -1, Parts: 2}, {Index: 2, Parts: 2}} {
		if a.add(part) {
			t.Errorf("invalid part %+v completes a state, want it ignored", part)
		}
	}
}
