package lead_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
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
		time.Sleep(time.Second) // the in-sync set is stored
		e, err := store.Read(t.Context(), f.store, "insync/g")
		is.NoErr(err)
		value := strings.Replace(string(e.Value), "}", `,"call":{"token":1,"target":"b"}}`, 1)
		res, err := store.Swap(t.Context(), f.store, store.Write{Key: "insync/g", Value: []byte(value), Expected: e.Revision})
		is.NoErr(err)
		is.True(res.Done)
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

// TestLeftFencesNoCall guards against a leaving primary that is replaced too late: fences of
// a VM that had sent no call are lifted at once.
func TestLeftFencesNoCall(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		time.Sleep(time.Second) // the in-sync set is stored
		f.leaveFenced("b", "c")
		f.markLeaving("a")
		start := time.Now()
		f.await(is, "promote")
		is.True(time.Since(start) < 800*time.Millisecond)
		is.Equal(len(f.promoter.Tokens()), 1)
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

// awaitLateCall removes the primary and waits for a promotion call that gets no answer and
// is carried out late. It returns the database that the call names.
func (f *fixture) awaitLateCall(is *is.I, late time.Duration) string {
	is.Helper()
	f.promoter.SetLateBy(late)
	f.setIndex(9, "a", "b", "c")
	f.remove("a")
	end := time.Now().Add(10 * time.Second)
	for len(f.promoter.Tokens()) == 0 {
		is.True(time.Now().Before(end)) // a call was made
		time.Sleep(10 * time.Millisecond)
	}
	return "b" // the first of two equal ones
}

// TestLateCall guards against a promotion call without an answer that is carried out when
// the primary is back: commits that it has had acknowledged since, by a replica that
// restarted and is not fenced, would be lost.
func TestLateCall(t *testing.T) {
	for name, vms := range map[string]int{"one VM": 1, "three VMs": 3} {
		t.Run(name, func(t *testing.T) {
			run(t, vms, func(is *is.I, f *fixture) {
				called := f.awaitLateCall(is, 9*time.Second)
				f.cluster.Update("c", func(d *linktest.DB) { d.FenceTerm = 0 }) // it restarts
				f.cluster.Update("a", func(d *linktest.DB) { d.Removed = false })
				f.cluster.UpdateRoster()
				time.Sleep(5 * time.Second)
				f.promoter.SetLateBy(0)
				time.Sleep(2500 * time.Millisecond)
				f.setIndex(20, "a", "c")
				time.Sleep(20 * time.Second)
				is.True(!slices.Contains(f.promotions(), "promote "+called))
				for _, id := range []string{"b", "c"} {
					f.cluster.Update(target(id), func(d *linktest.DB) { is.Equal(d.FenceTerm, ident.Term(0)) })
				}
			})
		})
	}
}

// TestLateCallOfDeadVM guards against an open promotion call whose sender has died: the
// next VM learns of it from the store.
func TestLateCallOfDeadVM(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		called := f.awaitLateCall(is, 9*time.Second)
		f.killFirst()
		f.promoter.SetLateBy(0)
		f.cluster.Update("c", func(d *linktest.DB) { d.FenceTerm = 0 })
		f.cluster.Update("a", func(d *linktest.DB) { d.Removed = false })
		f.cluster.UpdateRoster()
		f.startVM(f.cluster.Roster())
		time.Sleep(8 * time.Second)
		f.setIndex(20, "a", "c")
		time.Sleep(20 * time.Second)
		is.True(!slices.Contains(f.promotions(), "promote "+called))
	})
}

// TestPrimaryBackDuringCall guards against a promotion call that is repeated when the primary
// is back: a replica that joined since the fences has acknowledged commits of it.
func TestPrimaryBackDuringCall(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		called := f.awaitLateCall(is, time.Hour)
		f.cluster.Update("a", func(d *linktest.DB) { d.Removed, d.Index = false, 20 })
		f.promoter.SetLateBy(0)
		time.Sleep(3 * time.Second)
		is.True(!slices.Contains(f.promotions(), "promote "+called))
	})
}

// TestRestartedDuringCall guards against replicas that restart while a promotion call has no
// answer and are not fenced when the primary comes back.
func TestRestartedDuringCall(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.awaitLateCall(is, time.Hour)
		f.cluster.Update("c", func(d *linktest.DB) { d.FenceTerm = 0 })
		time.Sleep(1500 * time.Millisecond) // a delay, and a question to the primary that does not answer
		f.cluster.Update("c", func(d *linktest.DB) { is.True(d.FenceTerm > d.Term) })
	})
}

// TestCallCarriedOut guards against an attempt that is given up, and a group that is settled
// without need, when the call got no answer but was carried out.
func TestCallCarriedOut(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		called := f.awaitLateCall(is, 100*time.Millisecond)
		f.promoter.SetLateBy(0)
		time.Sleep(4 * time.Second)
		is.Equal(f.promotions(), []string{"promote " + called})
		tokens := f.promoter.Tokens()
		is.Equal(len(tokens), 2)
		is.True(tokens[0] < tokens[1])
		is.Equal(strings.Count(f.log.String(), "primary_suspected"), 1)
	})
}

// TestRepeatedCallVoid guards against a promotion call without an answer that is carried out
// long after its repeat was accepted: it makes a database lead again that was demoted, and
// ends the fences of the failover under way.
func TestRepeatedCallVoid(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		called := f.awaitLateCall(is, 8*time.Second)
		f.promoter.SetLateBy(0)
		f.await(is, "promote")
		f.promoter.SetLateBy(time.Hour) // for the calls that replace the primary
		f.markLeaving(target(called))
		f.await(is, "demote "+called)
		time.Sleep(8 * time.Second)
		is.Equal(f.promotions(), []string{"promote " + called})
	})
}

// TestRepeatedCallStoreDown guards against a promotion call without an answer that is
// forgotten when it was repeated with the same token, as the store gave no higher one.
func TestRepeatedCallStoreDown(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.awaitLateCall(is, 8*time.Second)
		f.store.SetDown(true)
		f.promoter.SetLateBy(0)
		f.await(is, "promote")
		f.store.SetDown(false)
		time.Sleep(6 * time.Second) // the first claim ends with its lease
		tokens := f.promoter.Tokens()
		is.Equal(tokens[0], tokens[1])
		is.True(tokens[len(tokens)-1] > tokens[1])
		is.Equal(len(f.promotions()), 1)
	})
}

// TestSettlingCallRecorded guards against a call for the present primary that only its sender
// knows of: carried out late, it makes that database lead again in place of the next one.
func TestSettlingCallRecorded(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.awaitLateCall(is, time.Hour)
		f.cluster.Update("a", func(d *linktest.DB) { d.Removed = false })
		f.cluster.UpdateRoster()
		time.Sleep(5 * time.Second)
		e, err := store.Read(t.Context(), f.store, "insync/g")
		is.NoErr(err)
		is.True(strings.Contains(string(e.Value), `"target":"a","from":"a"`))
	})
}

// TestSettledOnce guards against a group that is settled again by each VM that had sent a call
// which is void since another one was accepted: the replicas are fenced meanwhile, and VMs
// take turns in calling the platform.
func TestSettledOnce(t *testing.T) {
	run(t, 3, func(is *is.I, f *fixture) {
		f.awaitLateCall(is, time.Hour)
		time.Sleep(15 * time.Second) // other VMs send calls too
		f.cluster.Update("a", func(d *linktest.DB) { d.Removed = false })
		f.cluster.UpdateRoster()
		f.promoter.SetLateBy(0)
		f.await(is, "unfence")
		time.Sleep(10 * time.Second)
		is.Equal(strings.Count(f.log.String(), "fences_lifted"), 1)
		tokens := f.promoter.Tokens()
		e, err := store.Read(t.Context(), f.store, "insync/g")
		is.NoErr(err)
		is.True(strings.Contains(string(e.Value), fmt.Sprintf(`"accepted":%d`, tokens[len(tokens)-1])))
	})
}
