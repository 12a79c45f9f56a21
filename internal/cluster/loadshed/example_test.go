package loadshed_test

import (
	"fmt"
	"time"

	"example.org/milletvane/internal/cluster/loadshed"
)

// An instance that rejects half of the requests that it admits begins to shed requests of the lower of two priorities.
func Example() {
	s := loadshed.New(loadshed.Settings{Priorities: 2})
	var decision loadshed.Decision
	for i := range 3 {
		now := time.Duration(i) * loadshed.ReportInterval
		decision = s.Update(now, loadshed.LocalCounts{
			Requests: []uint64{20, 20}, Rejected: []uint64{10, 10}, Shed: []uint64{0, 0},
		})
	}
	fmt.Printf("ratio %.2f, level %.2f\n", decision.Report.ShedRatio, decision.Level)
	// Output: ratio 0.24, level 0.48
}
