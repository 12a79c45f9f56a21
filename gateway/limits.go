package gateway

import (
	"math"
	"runtime"
	"runtime/debug"

	"example.org/milletvane/config"
)

// ApplyLimits adapts the Go runtime of the process to the limits. The soft memory limit is three quarters of MemoryMB, so the
// garbage collector runs more often as memory runs short. GOMAXPROCS is twice the number of event loops, because an event
// loop that waits in a system call still holds a processor of the runtime; other goroutines use the remaining ones.
func ApplyLimits(l config.Limits) {
	runtime.GOMAXPROCS(2 * eventLoopCount(l))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4)
}

// eventLoopCount returns the number of event loops that carry connections: one for each core, with a fraction of a core
// counted as a whole one, and at least one.
func eventLoopCount(l config.Limits) int { return max(int(math.Ceil(l.Cores)), 1) }
