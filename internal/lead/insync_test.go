package lead_test

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// setIndex gives databases a log of n entries.
func (f *fixture) setIndex(n uint64, ids ...string) {
	for _, id := range ids {
		f.cluster.Update(target(id), func(d *linktest.DB) { d.Index = n })
	}
}

// leave ends a database as planned.
func (f *fixture) leave(id string) {
	f.markLeaving(target(id))
	time.Sleep(time.Second)
	f.remove(target(id))
}

// TestLeftReplica guards against a promotion without a commit that only the crashed
// primary has, since the replica that acknowledged it has left as planned.
func TestLeftReplica(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.setIndex(9, "a", "b")
		f.leave("b")
		time.Sleep(3 * time.Second)
		f.remove("a")
		time.Sleep(10 * time.Second)
		is.Equal(len(f.promotions()), 0)
		f.cluster.Update("a", func(d *linktest.DB) { d.Removed = false })
		f.cluster.UpdateRoster()
		time.Sleep(3 * time.Second)
		is.Equal(len(f.promotions()), 0) // the primary is back with its log
	})
}

// TestLeftReplicaForgotten guards against a failover that waits for a replica which has
// left although another one has its log by now.
func TestLeftReplicaForgotten(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.setIndex(9, "a", "b")
		f.leave("b")
		time.Sleep(time.Second)
		f.setIndex(9, "c")
		time.Sleep(3 * time.Second)
		f.remove("a")
		time.Sleep(3 * time.Second)
		is.Equal(f.promotions(), []string{"promote c"})
	})
}

// TestJoinedReplicaHolds guards against a promotion without a commit that the crashed
// primary and a replica which joined a moment ago have.
func TestJoinedReplicaHolds(t *testing.T) {
	runWith(t, 2, &fixture{joining: targets("d")}, func(is *is.I, f *fixture) {
		f.cluster.Update("d", func(d *linktest.DB) { d.Removed, d.Index = false, 9 })
		f.setIndex(9, "a")
		f.cluster.UpdateRoster()
		time.Sleep(time.Second)
		f.remove("d")
		f.remove("a")
		time.Sleep(10 * time.Second)
		is.Equal(len(f.promotions()), 0)
	})
}

// TestLostDatabases guards against a group that stays without a primary for ever when two
// of its databases never come back.
func TestLostDatabases(t *testing.T) {
	run(t, 2, func(is *is.I, f *fixture) {
		f.remove("a")
		f.remove("b")
		time.Sleep(30 * time.Second)
		is.Equal(f.promotions(), []string{"promote c"})
	})
}

// TestSteadyInSync guards against calls to the store while the list of databases and the
// in-sync set agree.
func TestSteadyInSync(t *testing.T) {
	run(t, 3, func(is *is.I, f *fixture) {
		f.leave("b")
		time.Sleep(5 * time.Second)
		calls := f.store.CallCount()
		time.Sleep(time.Minute)
		is.Equal(f.store.CallCount(), calls)
		synctest.Wait() // orders the log after the goroutines that wrote it
		is.Equal(strings.Count(f.log.String(), "insync_removed"), 1)
		is.True(!slices.Contains(f.promotions(), "promote b"))
	})
}

// TestRestartedVM guards against a promotion by a VM that has started while two of three
// databases are missing from the list, and takes the third for the only one.
func TestRestartedVM(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.setIndex(9, "a", "b")
		f.remove("a")
		f.remove("b")
		table := &roster.Table{}
		f.startVM(table)
		for range 10 {
			table.Update([]roster.Entry{{ID: "c", Group: "g", Address: "c", Slots: 4, ProcessStart: 1}}, time.Now())
			time.Sleep(time.Second)
		}
		is.Equal(len(f.promotions()), 0)
		f.cluster.Update("a", func(d *linktest.DB) { d.Removed = false })
		f.cluster.UpdateRoster()
		time.Sleep(3 * time.Second)
		is.Equal(len(f.promotions()), 0)
	})
}

// TestAllLeft guards against a group that waits for databases which never come back: the
// primary and a replica have left as planned, and the VM that decides has started since.
func TestAllLeft(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.cluster.Update("c", func(d *linktest.DB) { d.Index = 0 }) // no successor of the primary
		f.leave("b")
		f.leave("a")
		f.cluster.UpdateRoster()
		f.killFirst()
		table := &roster.Table{}
		f.startVM(table)
		for range 7 {
			table.Update([]roster.Entry{{ID: "c", Group: "g", Address: "c", Slots: 4, ProcessStart: 1}}, time.Now())
			time.Sleep(time.Second)
		}
		is.Equal(f.promotions(), []string{"promote c"})
	})
}

// TestStartedVMDecides guards against a group without a primary for as long as VMs restart
// one after the other: a VM that has just started must not wait until its list counts as
// complete, since the in-sync set has the databases that may hold a commit.
func TestStartedVMDecides(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		time.Sleep(time.Second) // the set is stored
		f.killFirst()
		f.remove("a")
		started := time.Now()
		table := &roster.Table{}
		table.Update([]roster.Entry{
			{ID: "b", Group: "g", Address: "b", Slots: 4, ProcessStart: 1},
			{ID: "c", Group: "g", Address: "c", Slots: 4, ProcessStart: 1},
		}, time.Now())
		f.startVM(table)
		f.await(is, "promote")
		is.True(time.Since(started) < 3*time.Second)
	})
}

// TestRemovedBesideUnlisted guards against a database that left and stays in the in-sync set
// because another one that is missing from the list still answers.
func TestRemovedBesideUnlisted(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.setIndex(9, "a", "c")
		f.cluster.Update("c", func(d *linktest.DB) { d.Unlisted = true })
		time.Sleep(10 * time.Second)
		f.leave("b")
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.Equal(strings.Count(f.log.String(), `"insync_removed","group":"g","targets":["b"]`), 1)
	})
}

// TestListedDuringQuestions guards against a promotion that leaves out a database of the
// in-sync set which is listed while the others are asked: it was neither asked, nor counted
// as missing.
func TestListedDuringQuestions(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		time.Sleep(time.Second) // the in-sync set is stored
		f.killFirst()
		f.setIndex(9, "a", "c")
		f.cluster.Update("a", func(d *linktest.DB) { d.Unreachable = true })
		table := &roster.Table{}
		list := func(ids ...ident.Target) {
			var entries []roster.Entry
			for _, id := range ids {
				entries = append(entries, roster.Entry{ID: id, Group: "g", Address: string(id), Zone: "z", Slots: 4, ProcessStart: 1, Sequence: time.Now().UnixNano()})
			}
			table.Update(entries, time.Now())
		}
		list("a", "b")
		f.refresh = func() { time.AfterFunc(100*time.Millisecond, func() { list("a", "b", "c") }) }
		f.startVM(table)
		time.Sleep(10 * time.Second)
		is.Equal(f.promotions(), []string{"promote c"})
	})
}
