package settings

import (
	"strings"
	"testing"
)

// A start share over the whole contradicts itself, though the rules make no use of it.
func TestStartCapacityIsAShare(t *testing.T) {
	for v, ok := range map[string]bool{"0.16": true, "1": true, "3": false, "-0.1": false} {
		_, err := Pairs{"rules.start_capacity": v}.Balancer()
		if ok != (err == nil) || err != nil && !strings.Contains(err.Error(), "rules.start_capacity") {
			t.Errorf("%s: %v", v, err)
		}
	}
}
