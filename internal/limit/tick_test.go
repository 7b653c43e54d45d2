package limit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// BenchmarkTick measures the work of maintainSlots per tickInterval, 25 ms, for the
// targets, by their number, when none of them is in use.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{9, 300, 1101} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			v := newLargeVM(8, 9)
			for i := range n / 3 {
				g := catal.Group{Targets: map[ident.Target]catal.Target{}}
				for k := range 3 {
					g.Targets[ident.Target(fmt.Sprintf("db-%d-%d", i, k))] = catal.Target{Zone: "z0", Slots: 5}
				}
				v.fleet.cat.Groups[ident.Group(fmt.Sprint("group-", i))] = g
			}
			v.refresh(context.Background())
			for b.Loop() {
				now := time.Now()
				for _, t := range v.view.Load().targets {
					t.tick(now)
				}
			}
		})
	}
}
