package settings

import (
	"errors"
	"testing"
)

// A start capacity over the whole contradicts itself, though the balancer makes no use of it.
func TestStartCapacityIsAShare(t *testing.T) {
	const path = "rules.start_capacity"
	for value, valid := range map[string]bool{"0.16": true, "1": true, "3": false, "-0.1": false} {
		t.Run(value, func(t *testing.T) {
			_, err := Pairs{path: value}.Balancer()
			var wrong *ValueError
			if valid && err != nil || !valid && (!errors.As(err, &wrong) || wrong.Path != path) {
				t.Errorf("Balancer: %v, want an error: %t", err, !valid)
			}
		})
	}
}
