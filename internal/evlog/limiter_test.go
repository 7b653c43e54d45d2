package evlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimiter guards against an event that fills the log, and against occurrences that no
// line accounts for.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	var l Limiter
	now := time.Unix(1_000_000, 0)
	is.Equal(l.Add(now), 1)
	for range 5000 {
		is.Equal(l.Add(now.Add(LineInterval-1)), 0)
	}
	is.Equal(l.Add(now.Add(LineInterval)), 5001)
}
