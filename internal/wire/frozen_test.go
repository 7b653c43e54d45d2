package wire

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// TestFrozenPrimary guards against a write that keeps waiting for a connection to, or
// a slot of, a primary that was replaced meanwhile. As the write was not sent, it
// must run on the new primary.
func TestFrozenPrimary(t *testing.T) {
	for name, freeze := range map[string]func(fx *fixture){
		"connect": func(fx *fixture) { fx.frozen = map[ident.Target]bool{"a": true} },
		"slot":    func(fx *fixture) { fx.slotsTaken = map[ident.Target]bool{"a": true} },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				c := fx.connect()
				freeze(fx)
				time.AfterFunc(1100*time.Millisecond, func() {
					fx.targets["b"].SetApplied(ident.Position{Term: 2, Index: 1})
					fx.targets["b"].SetQuorum(ident.Position{Term: 2, Index: 1})
					fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
				})
				start := time.Now()
				_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
				is.NoErr(err)
				is.True(time.Since(start) < 1500*time.Millisecond)
				is.Equal(len(fx.targets["a"].Calls()), 0)
				is.Equal(len(fx.targets["b"].Calls()), 1)
			})
		})
	}
}
