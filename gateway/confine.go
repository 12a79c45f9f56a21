package gateway

import (
	"math"
	"runtime"
	"runtime/debug"

	"example.org/milletvane/config"
)

// Confine keeps the program's runtime within the limits: garbage is collected sooner as memory runs short. A loop that
// waits holds a processor of the runtime's, so there is one more for each: what is ready besides does not wait for it.
func Confine(l config.Limits) {
	runtime.GOMAXPROCS(2 * eventLoops(l))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4)
}

// eventLoops is the number of event loops that carry connections: one for each core.
func eventLoops(l config.Limits) int { return max(int(math.Ceil(l.Cores)), 1) }
