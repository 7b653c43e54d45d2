package wire

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// TestFrozenPrimary guards against a write that was not sent and that goes on
// waiting for a connection or a slot of a primary that was replaced.
func TestFrozenPrimary(t *testing.T) {
	for name, freeze := range map[string]func(k *kit){
		"connect": func(k *kit) { k.frozen = map[ident.Target]bool{"a": true} },
		"slot":    func(k *kit) { k.taken = map[ident.Target]bool{"a": true} },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I, k *kit) {
				c := k.connect()
				freeze(k)
				time.AfterFunc(1100*time.Millisecond, func() {
					k.targets["b"].SetApplied(ident.Position{Term: 2, Index: 1})
					k.targets["b"].SetQuorum(ident.Position{Term: 2, Index: 1})
					k.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
				})
				start := time.Now()
				_, err := c.Exec(t.Context(), "INSERT INTO t VALUES (1)")
				is.NoErr(err)
				is.True(time.Since(start) < 1500*time.Millisecond)
				is.Equal(len(k.targets["a"].Calls()), 0)
				is.Equal(len(k.targets["b"].Calls()), 1)
			})
		})
	}
}
