package lead_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// allows reports whether the first VM sends commits to a database.
func (f *fixture) allows(id string) bool {
	m, ok := f.cluster.Roster().Member("g", target(id))
	return ok && f.monitors[0].AllowCommit(time.Now().Add(time.Second), &m)
}

// claimFor claims the group for a VM that does nothing, to replace a database. It returns the
// lease of the claim.
func (f *fixture) claimFor(is *is.I, t *testing.T, from string) store.LeaseID {
	is.Helper()
	lease, err := f.store.GrantLease(t.Context(), lead.ClaimTTL)
	is.NoErr(err)
	value, err := json.Marshal(map[string]string{"vm": "other", "from": from})
	is.NoErr(err)
	res, err := store.Swap(t.Context(), f.store, store.Write{Key: "failover/g", Value: value, Lease: lease})
	is.NoErr(err)
	is.True(res.Done)
	return lease
}

// TestHeldWhileCallOpen guards against commits that are sent to a primary that is back while a
// promotion call is open: a replica that is not fenced acknowledges them, and the call takes
// effect with a log that lacks them.
func TestHeldWhileCallOpen(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.awaitLateCall(is, 9*time.Second)
		f.cluster.Update("c", func(d *linktest.DB) { d.FenceTerm = 0 }) // it restarts
		f.cluster.Update("a", func(d *linktest.DB) { d.Removed = false })
		f.cluster.UpdateRoster()
		for range 30 {
			is.True(!f.allows("a"))
			time.Sleep(100 * time.Millisecond)
		}
		f.promoter.SetLateBy(0)
		time.Sleep(10 * time.Second)
		is.True(f.allows("a") || f.allows("b"))
	})
}

// TestHeldWhileClaimed guards against commits that are sent to a primary out of contact while
// another VM decides about its replacement, and against commits that are held for longer.
func TestHeldWhileClaimed(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		lease := f.claimFor(is, t, "a")
		is.True(!f.allows("a"))
		is.NoErr(f.store.RevokeLease(t.Context(), lease))
		time.Sleep(200 * time.Millisecond)
		is.True(f.allows("a"))
		f.claimFor(is, t, "a")
		is.True(f.allows("a")) // in contact since before
	})
}

// TestPromotedNotHeld guards against a promoted database that waits for the end of the
// failover that has promoted it.
func TestPromotedNotHeld(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.promoter.Delay = 220 * time.Millisecond
		f.remove("a")
		f.await(is, "promote b")
		f.cluster.Update("c", func(d *linktest.DB) { d.Silent = true }) // the failover waits for it
		start := time.Now()
		for !f.allows("b") {
			is.True(time.Since(start) < 500*time.Millisecond)
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestHeldStoreDown guards against a primary that gets no commits while the store is down, and
// against commits to one whose replicas are fenced then.
func TestHeldStoreDown(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.store.SetDown(true)
		is.True(f.allows("a"))
		f.suspend(time.Minute) // contact is lost
		f.leaveFenced("b", "c")
		time.Sleep(200 * time.Millisecond)
		is.True(!f.allows("a"))
	})
}

// TestNoChecksInContact guards against calls to the store for commits to a primary with which
// the VM has contact, and against trust that outlasts a suspension of the machine.
func TestNoChecksInContact(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		time.Sleep(time.Second) // the in-sync set is stored
		is.True(f.allows("a"))
		calls := f.store.CallCount()
		for range 100 {
			is.True(f.allows("a"))
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(f.store.CallCount(), calls)
		f.suspend(10 * time.Second)
		is.True(f.allows("a"))
		is.True(f.store.CallCount() > calls)
	})
}

// TestUnconfirmedCommit guards against the acknowledgement of a commit by a database that was
// replaced before its answer.
func TestUnconfirmedCommit(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		is.True(f.allows("a"))
		m, _ := f.cluster.Roster().Member("g", "a")
		is.True(f.monitors[0].ConfirmCommit(time.Now().Add(time.Second), &m, ident.Position{}))
		f.cluster.Promote("b")
		f.suspend(10 * time.Second) // nothing is heard meanwhile
		is.True(!f.monitors[0].ConfirmCommit(time.Now().Add(time.Second), &m, ident.Position{}))
	})
}

// TestAskedAfterClaim guards against a promotion in place of a primary that is back, when
// another VM has regained contact with it after the claim was made.
func TestAskedAfterClaim(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		other := f.otherMonitor()
		// The list is read after the first question to the other VMs, and before the claim.
		f.refresh = func() { other.Confirm("g", "a", ident.Position{}, time.Now()) }
		f.cluster.Update("a", func(d *linktest.DB) { d.Unreachable = true })
		f.cluster.HangConns("a")
		time.Sleep(8 * time.Second)
		is.Equal(len(f.promoter.Tokens()), 0)
	})
}

// TestTrustLostAfterCheck guards against commits that are allowed by a check from before the
// VM lost contact with the primary.
func TestTrustLostAfterCheck(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		is.True(f.allows("a"))
		f.claimFor(is, t, "a")
		f.monitors[0].Depose("g", "a")
		is.True(!f.allows("a"))
	})
}

// TestNoSyncReplicas guards against questions to the store and to the primary for commits of
// a group that acknowledges them without a replica.
func TestNoSyncReplicas(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.asyncCommits.Store(true)
		time.Sleep(time.Second)
		m, _ := f.cluster.Roster().Member("g", "a")
		calls, begins := f.store.CallCount(), len(f.cluster.Executions("a", dbop.Begin))
		is.True(f.allows("a"))
		is.True(f.monitors[0].ConfirmCommit(time.Now().Add(time.Second), &m, ident.Position{}))
		is.Equal(f.store.CallCount(), calls)
		is.Equal(len(f.cluster.Executions("a", dbop.Begin)), begins)
	})
}

// lateStore answers reads with what was there some time before.
type lateStore struct{ *linktest.Store }

const readDelay = 300 * time.Millisecond

func (s lateStore) Get(ctx context.Context, key string) (store.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	time.Sleep(readDelay)
	return e, err
}

// TestAskedDuringCheck guards against commits that are allowed by a check which had read the
// store before another VM made a claim, and was in progress when that VM asked this one.
func TestAskedDuringCheck(t *testing.T) {
	run(t, 0, func(is *is.I, f *fixture) {
		f.dialer, f.vmStore = f.cluster, lateStore{f.store}
		f.startVM(f.cluster.Roster())
		f.cluster.Update("a", func(d *linktest.DB) { d.Unreachable = true }) // no contact
		allowed := make(chan bool, 1)
		go func() { allowed <- f.allows("a") }()
		time.Sleep(readDelay / 2)
		f.claimFor(is, t, "a")
		is.Equal(f.monitors[0].ConfirmedPrimary("g"), target(""))
		is.True(!<-allowed)
	})
}

// TestTrustedIsConfirmed guards against a failover beside commits of a VM that a check has
// allowed, and that has not heard from the primary since.
func TestTrustedIsConfirmed(t *testing.T) {
	run(t, 0, func(is *is.I, f *fixture) {
		f.cluster.Update("a", func(d *linktest.DB) { d.Unreachable = true })
		f.startVM(f.cluster.Roster())
		is.True(f.allows("a"))
		is.Equal(f.monitors[0].ConfirmedPrimary("g"), target("a"))
	})
}
