package settings

import (
	"errors"
	"testing"
)

// A start capacity above 1 is an error, although the balancer doesn't use it.
func TestStartCapacityIsAtMostOne(t *testing.T) {
	const path = "rules.start_capacity"
	for value, valid := range map[string]bool{"0.16": true, "1": true, "3": false, "-0.1": false} {
		t.Run(value, func(t *testing.T) {
			_, err := Pairs{path: value}.Balancer()
			var valueErr *ValueError
			if valid && err != nil || !valid && (!errors.As(err, &valueErr) || valueErr.Path != path) {
				t.Errorf("Balancer: %v, want a *ValueError: %t", err, !valid)
			}
		})
	}
}
