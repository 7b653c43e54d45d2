package lead_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// TestFormerPrimary guards against a former primary that is confirmed as the primary
// although another database leads, and against one that goes on because the VM that
// had the other one promoted died before it demoted the former.
func TestFormerPrimary(t *testing.T) {
	runUnfenced(t, 2, func(is *is.I, f *fixture) {
		mon := f.monitors[0]
		since := f.now()
		is.True(mon.AwaitConfirmation(time.Now().Add(time.Second), "g", "a", since))
		f.cluster.Promote("b")
		is.True(mon.AwaitConfirmation(time.Now().Add(time.Second), "g", "a", since)) // as of a moment before
		time.Sleep(time.Millisecond)
		is.True(!mon.AwaitConfirmation(time.Now().Add(time.Second), "g", "a", f.now()))
		is.True(slices.Contains(f.cluster.ControlLog(), "demote a"))
		m, ok := mon.Await(time.Now().Add(time.Second), "g")
		is.True(ok)
		is.Equal(m.ID, ident.Target("b"))
		is.True(mon.AwaitConfirmation(time.Now().Add(time.Second), "g", "b", f.now()))
	})
}

// TestFormerDemoted guards against a failover that leaves the former primary in place,
// which goes on without the platform's fence.
func TestFormerDemoted(t *testing.T) {
	runUnfenced(t, 2, func(is *is.I, f *fixture) {
		f.markLeaving("a")
		time.Sleep(2 * time.Second)
		is.Equal(len(f.promotions()), 1)
		is.True(slices.Contains(f.cluster.ControlLog(), "demote a"))
		f.cluster.Update("a", func(d *linktest.DB) { is.True(!d.Primary) })
	})
}

// TestReturnedFormer guards against a former primary that was silent during the failover
// and goes on when it is back.
func TestReturnedFormer(t *testing.T) {
	runUnfenced(t, 2, func(is *is.I, f *fixture) {
		f.cluster.Update("a", func(d *linktest.DB) { d.Unreachable = true })
		f.await(is, "promote")
		time.Sleep(2 * time.Second)
		f.cluster.Update("a", func(d *linktest.DB) { is.True(d.Primary); d.Unreachable = false })
		time.Sleep(8 * time.Second) // past skipFailedPeriod
		f.cluster.Update("a", func(d *linktest.DB) { is.True(!d.Primary) })
		is.Equal(len(f.promotions()), 1)
	})
}

// TestCutOffWithFormerPrimary guards against a confirmation of the former primary by
// a VM that reaches only the former primary, or a replica that has received an entry
// of the new primary but not applied it.
func TestCutOffWithFormerPrimary(t *testing.T) {
	runUnfenced(t, 1, func(is *is.I, f *fixture) {
		f.cluster.Promote("b")
		f.cluster.Update("b", func(d *linktest.DB) { d.Silent = true })
		f.cluster.Update("c", func(d *linktest.DB) { d.AppliedTerm = 1 })
		time.Sleep(time.Millisecond)
		is.True(!f.monitors[0].AwaitConfirmation(time.Now().Add(2*time.Second), "g", "a", f.now()))
		f.cluster.Update("a", func(d *linktest.DB) { is.True(!d.Primary) }) // c has seen the new term
		f.cluster.Update("c", func(d *linktest.DB) { d.Silent = true })
		f.cluster.Update("a", func(d *linktest.DB) { d.Primary = true })
		is.True(!f.monitors[0].AwaitConfirmation(time.Now().Add(2*time.Second), "g", "a", f.now()))
	})
}

// TestConfirmedWithoutOneReplica guards against reads that wait for a replica that is
// down, although the other one shows that the primary is current.
func TestConfirmedWithoutOneReplica(t *testing.T) {
	runUnfenced(t, 1, func(is *is.I, f *fixture) {
		f.cluster.Update("c", func(d *linktest.DB) { d.Unreachable = true })
		is.True(f.monitors[0].AwaitConfirmation(time.Now().Add(2*time.Second), "g", "a", f.now()))
		is.Equal(len(f.promotions()), 0)
	})
}

// TestSharedRound guards against questions to the databases for each read: those that
// begin while a round runs share the next one.
func TestSharedRound(t *testing.T) {
	runUnfenced(t, 1, func(is *is.I, f *fixture) {
		before := len(f.cluster.Executions("a", dbop.Begin))
		results := make(chan bool)
		const reads = 50
		for range reads {
			go func() {
				results <- f.monitors[0].AwaitConfirmation(time.Now().Add(time.Second), "g", "a", f.now())
			}()
		}
		for range reads {
			is.True(<-results)
		}
		is.True(len(f.cluster.Executions("a", dbop.Begin))-before <= 3)
	})
}

// TestFormerPosition guards against a floor from a former primary, which lacks the
// commits of the new one.
func TestFormerPosition(t *testing.T) {
	runUnfenced(t, 1, func(is *is.I, f *fixture) {
		f.cluster.Promote("b")
		f.cluster.Update("b", func(d *linktest.DB) { d.Index = 9 })
		time.Sleep(time.Millisecond)
		pos, ok := f.monitors[0].CoveringPosition(time.Now().Add(time.Second), "g", f.now())
		is.True(ok)
		is.Equal(pos, ident.Position{Term: 2, Index: 9})
	})
}
