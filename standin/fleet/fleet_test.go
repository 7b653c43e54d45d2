package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// TestFreeAddress guards against two processes of a fleet with the same port: the
// second one exits, and Start waits for its listener until the time-out.
func TestFreeAddress(t *testing.T) {
	is := is.New(t)
	f := &Fleet{loopbackIP: randomLoopbackIP()}
	seen := map[string]bool{}
	for range 3000 {
		a, err := f.freeAddress()
		is.NoErr(err)
		is.True(!seen[a])
		seen[a] = true
	}
}
