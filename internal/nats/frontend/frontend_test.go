package frontend

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestLowerMaxPayload(t *testing.T) {
	var f Frontend
	f.maxPayload.Store(1000)
	for _, c := range []struct {
		payload int
		want    int64
	}{{2000, 1000}, {1000, 1000}, {0, 1000}, {-1, 1000}, {500, 500}, {700, 500}, {1, 1}} {
		t.Run(strconv.Itoa(c.payload), func(t *testing.T) {
			f.lowerMaxPayload(c.payload)
			if diff := cmp.Diff(c.want, f.maxPayload.Load()); diff != "" {
				t.Errorf("maximum payload (-want +got):\n%s", diff)
			}
		})
	}
}
