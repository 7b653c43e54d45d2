package budget

import (
	"math"
	"runtime/debug"
)

const (
	// memoryFraction is the inverse of the part of the runtime's memory limit that is a
	// budget.
	memoryFraction = 6
	// defaultSize is the budget if there is no memory limit, in bytes.
	defaultSize = 32 << 20
)

// OfMemoryLimit returns a sixth of the runtime's memory limit in bytes, or 32 MiB if there
// is none.
func OfMemoryLimit() int {
	limit := debug.SetMemoryLimit(-1) // a negative limit changes nothing
	if limit == math.MaxInt64 {
		return defaultSize
	}
	return int(limit / memoryFraction)
}
