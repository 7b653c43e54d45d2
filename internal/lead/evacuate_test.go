package lead_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/ident"
)

// place sets the zones of the databases a, b and c.
func (f *fixture) place(zones ...ident.Zone) {
	for i, z := range zones {
		f.cluster.Update(ident.Target(rune('a'+i)), func(d *linktest.DB) { d.Zone = z })
	}
	time.Sleep(time.Millisecond) // reports are ordered by time
	f.cluster.UpdateRoster()
}

// TestEvacuatedPrimary guards against a primary that stays in an evacuated zone, against
// one that is moved into another such zone or to a database without its commits, and
// against a move that does not demote the former primary first.
func TestEvacuatedPrimary(t *testing.T) {
	run(t, 3, func(is *is.I, f *fixture) {
		for _, id := range []ident.Target{"a", "b"} {
			f.cluster.Update(id, func(d *linktest.DB) { d.Index = 9 })
		}
		f.place("z1", "z2", "z3")
		f.evacuated.Store(ident.Zone("z1"), true)
		f.evacuated.Store(ident.Zone("z2"), true)
		time.Sleep(5 * time.Second)
		is.Equal(len(f.promotions()), 0) // c lacks acknowledged commits
		f.cluster.Update("c", func(d *linktest.DB) { d.Index = 9 })
		f.await(is, "promote c")
		log := f.cluster.ControlLog()
		is.True(slices.Index(log, "demote a") < slices.Index(log, "promote c"))
		is.True(slices.Contains(log, "demote a"))
		time.Sleep(10 * time.Second)
		is.Equal(f.promotions(), []string{"promote c"})
		f.evacuated.Clear()
		time.Sleep(10 * time.Second)
		is.Equal(f.promotions(), []string{"promote c"}) // the primary does not move back
	})
}

// TestNowhereToMove guards against fences, demotions and calls to the store for a primary
// that can't leave an evacuated zone.
func TestNowhereToMove(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.place("z1", "z1", "z2")
		time.Sleep(time.Second)
		calls := f.store.CallCount()
		f.evacuated.Store(ident.Zone("z1"), true)
		f.evacuated.Store(ident.Zone("z2"), true)
		time.Sleep(20 * time.Second)
		is.Equal(len(f.promotions()), 0)
		is.Equal(f.store.CallCount(), calls)
	})
}

// TestEvacuationTakenOver guards against a group without a primary when the VM that moves
// it dies between the fences and the promotion: another VM finishes once the claim ends.
func TestEvacuationTakenOver(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.place("z1", "z2", "z2")
		f.promoter.LostCalls = 30 // more than one VM makes while its claim lasts
		f.evacuated.Store(ident.Zone("z1"), true)
		time.Sleep(40 * time.Second)
		promoted := f.promotions()
		is.True(len(promoted) > 0)
		is.True(promoted[len(promoted)-1] != "promote a")
		tokens := f.promoter.Tokens()
		is.True(tokens[0] != tokens[len(tokens)-1]) // the first claim had ended
	})
}
