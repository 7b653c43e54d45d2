package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/peer"
)

// TestAvoid guards against a VM that is asked again right after its failure, and
// against one that is never asked again.
func TestAvoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a peer.AvoidList
		is.True(!a.Has("x"))
		a.Add("x", 2*time.Second)
		time.Sleep(time.Second)
		a.Add("y", 2*time.Second)
		is.True(a.Has("x"))
		is.True(a.Has("y"))
		time.Sleep(time.Second)
		is.True(!a.Has("x"))
		is.True(a.Has("y"))
	})
}
