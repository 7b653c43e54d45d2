package speed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/speed"
)

// TestFailureRate guards against a database that counts as healthy while it fails
// half of its statements, and against one that is avoided long after it has
// recovered.
func TestFailureRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var f speed.Failures
	is.Equal(f.Rate(now), 0.0)
	f.Record(true, now)
	is.True(f.Rate(now) < 0.3) // a single failure may be chance
	for i := range 40 {
		now = now.Add(20 * time.Millisecond)
		f.Record(i%2 == 0, now)
	}
	is.True(f.Rate(now) > 0.4)
	is.True(f.Rate(now) < 0.6)
	now = now.Add(10 * time.Second)
	is.True(f.Rate(now) < 0.05)
}
