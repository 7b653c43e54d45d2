package lead_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/ident"
)

// leaveFenced leaves the replicas as a VM does that fenced them and died.
func (f *fixture) leaveFenced(ids ...string) {
	for _, id := range ids {
		f.cluster.Update(target(id), func(d *linktest.DB) { d.FenceTerm = 2 })
	}
}

// TestLeftFencesStalled guards against the replacement of a working primary whose
// replicas an interrupted failover left fenced: they lack its log, the primary is not at
// fault.
func TestLeftFencesStalled(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.leaveFenced("b", "c")
		f.setIndex(9, "a")
		f.monitors[0].ReportStalledWrite("g", "a")
		f.monitors[0].ReportStalledWrite("g", "a")
		time.Sleep(3 * time.Second)
		is.Equal(len(f.promotions()), 0)
		for _, id := range []string{"b", "c"} {
			is.True(slices.Contains(f.cluster.ControlLog(), "unfence "+id))
		}
	})
}

// TestLeftFencesPlanned guards against a leaving primary that is not replaced, since no
// replica can catch up with its log after an interrupted failover left them fenced.
func TestLeftFencesPlanned(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.leaveFenced("b", "c")
		f.setIndex(9, "a")
		f.markLeaving("a")
		f.await(is, "unfence c")
		f.setIndex(9, "b", "c")
		time.Sleep(3 * time.Second)
		is.Equal(len(f.promotions()), 1)
	})
}

// TestLeftFencesSettled guards against fences that are lifted while the call of the VM
// that left them may still be carried out: a call with a higher token, for the present
// primary, comes first.
func TestLeftFencesSettled(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.leaveFenced("b", "c")
		f.setIndex(9, "a")
		f.promoter.LostCalls = 1
		f.monitors[0].ReportStalledWrite("g", "a")
		f.monitors[0].ReportStalledWrite("g", "a")
		for len(f.promoter.Tokens()) < 2 {
			is.True(!slices.Contains(f.cluster.ControlLog(), "unfence b"))
			time.Sleep(10 * time.Millisecond)
		}
		f.await(is, "unfence b")
		is.Equal(len(f.promotions()), 0)
	})
}

// TestStaleFencesAfterPromotion guards against replicas that stay fenced above the term of
// the promoted database, because fences of an earlier failover were higher.
func TestStaleFencesAfterPromotion(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.leaveFenced("b", "c")
		f.remove("a")
		f.await(is, "promote")
		time.Sleep(2 * time.Second)
		for _, id := range []string{"b", "c"} {
			f.cluster.Update(target(id), func(d *linktest.DB) { is.Equal(d.FenceTerm, ident.Term(0)) })
		}
	})
}
