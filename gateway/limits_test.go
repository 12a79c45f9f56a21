package gateway

import (
	"runtime"
	"runtime/debug"
	"testing"

	"example.org/milletvane/config"
)

// Guards against event loops that take all processors of the Go runtime: each loop holds one while it waits in a system
// call, so GOMAXPROCS must exceed the number of loops by the number of cores.
func TestApplyLimitsLeavesOneProcessorPerCore(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	for _, c := range []struct {
		cores float64
		want  int
	}{{0.5, 1}, {1, 1}, {1.5, 2}, {4, 4}} {
		l := config.Limits{Cores: c.cores, MemoryMB: 64}
		ApplyLimits(l)
		if got := runtime.GOMAXPROCS(0) - eventLoopCount(l); got != c.want {
			t.Errorf("%v cores: got %d processors besides those of the event loops, want %d", c.cores, got, c.want)
		}
	}
}
