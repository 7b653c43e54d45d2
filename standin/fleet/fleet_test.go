package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// TestFreeAddress guards against two processes of a fleet that are given one
// port: the second one ends, and the start waits for it in vain.
func TestFreeAddress(t *testing.T) {
	is := is.New(t)
	f := &Fleet{ip: ownIP()}
	seen := map[string]bool{}
	for range 3000 {
		a, err := f.freeAddress()
		is.NoErr(err)
		is.True(!seen[a])
		seen[a] = true
	}
}
