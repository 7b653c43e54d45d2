package dbpool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFaults guards against a database that fails half of its statements and
// counts as good, and against one that is avoided long after it has recovered.
func TestFaults(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var f faults
	is.Equal(f.part(now), 0.0)
	f.note(true, now)
	is.True(f.part(now) < 0.3) // one failure may be chance
	for i := range 40 {
		now = now.Add(20 * time.Millisecond)
		f.note(i%2 == 0, now)
	}
	is.True(f.part(now) > 0.4)
	is.True(f.part(now) < 0.6)
	now = now.Add(10 * time.Second)
	is.True(f.part(now) < 0.05)
}
