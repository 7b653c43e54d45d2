package lead_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/ident"
)

// TestOtherPrimaryLearned guards against a VM that goes on sending requests to a former
// primary that is gone from the list, although it finds that another database leads:
// the address of the former one was taken by a database that refuses connections, which
// does not count as unreachable.
func TestOtherPrimaryLearned(t *testing.T) {
	for _, runFleet := range []func(*testing.T, int, func(*is.I, *fixture)){run, runUnfenced} {
		runFleet(t, 1, func(is *is.I, f *fixture) {
			f.cluster.Update("a", func(d *linktest.DB) { d.Unlisted, d.MaxConns = true, 1 })
			f.cluster.Promote("b")
			f.cluster.Update("a", func(d *linktest.DB) { d.Primary, d.Silent = false, true })
			time.Sleep(4 * time.Second)
			is.Equal(len(f.promotions()), 1) // that of the test
			id, ok := f.cluster.Roster().Primary("g")
			is.True(ok)
			is.Equal(id, ident.Target("b"))
		})
	}
}
