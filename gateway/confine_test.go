package gateway

import (
	"runtime"
	"runtime/debug"
	"testing"

	"example.org/milletvane/config"
)

// Loops wait in system calls, each with a processor of the runtime's: there have to be as many left as there are cores.
func TestConfineLeavesEachCoreAProcessor(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	for _, c := range []struct {
		cores float64
		want  int
	}{{0.5, 1}, {1, 1}, {1.5, 2}, {4, 4}} {
		l := config.Limits{Cores: c.cores, MemoryMB: 64}
		Confine(l)
		if got := runtime.GOMAXPROCS(0) - eventLoopCount(l); got != c.want {
			t.Errorf("%v cores: %d processors beside those of waiting loops, not %d", c.cores, got, c.want)
		}
	}
}
