package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRejectionLog guards against a caller whose malformed messages fill the log, and
// against rejections that no line accounts for.
func TestRejectionLog(t *testing.T) {
	is := is.New(t)
	var r rejections
	now := time.Unix(1_000_000, 0)
	is.Equal(r.add(now), 1)
	for range 5000 {
		is.Equal(r.add(now.Add(rejectionLogInterval-1)), 0)
	}
	is.Equal(r.add(now.Add(rejectionLogInterval)), 5001)
}
