package gateway

import (
	"math"
	"runtime"
	"runtime/debug"

	"example.org/milletvane/config"
)

// Confine keeps the program's runtime within the limits: garbage is collected sooner as memory runs short.
func Confine(l config.Limits) {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4)
}
