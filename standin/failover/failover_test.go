package failover

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/topo"
	"chervilspan.example/standin/target"
)

// maxUnavailability is the longest time without a primary that the design allows
// for a failover.
const maxUnavailability = 2500 * time.Millisecond

// downStore never answers.
type downStore struct{ store.Store }

func (downStore) Get(ctx context.Context, _ string) (store.Entry, error) {
	<-ctx.Done()
	return store.Entry{}, &store.Error{Op: "get", Kind: store.KindUnavailable}
}

func (downStore) List(ctx context.Context, _ string) ([]store.Entry, error) {
	<-ctx.Done()
	return nil, &store.Error{Op: "list", Kind: store.KindUnavailable}
}

func withFixture(t *testing.T, o options, f func(is *is.I, fx *fixture, primary ident.Target)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture(t, o)
		defer fx.stop()
		primary, term := fx.highestPrimary()
		is.True(primary != "") // a new group gets a primary
		is.Equal(fx.agreedPrimary(), primary)
		is.True(term > 0)
		is.NoErr(fx.exec(primary, "CREATE TABLE t (id bigint PRIMARY KEY)"))
		is.NoErr(fx.exec(primary, "INSERT INTO t (id) VALUES (1)"))
		time.Sleep(200 * time.Millisecond)
		f(is, fx, primary)
	})
}

// TestFailedPrimaryReplaced guards against a failed primary that is not replaced
// in time, the loss of a write that a majority had stored, and several
// promotions for one failure. The faults are those that the design covers: a
// killed, frozen, isolated or leaving primary, watchers that act at the same
// time, lost answers and a store outage.
func TestFailedPrimaryReplaced(t *testing.T) {
	kill := func(fx *fixture, id ident.Target) { _ = fx.targets[id].Close() }
	dropAnswersAndKill := func(fx *fixture, id ident.Target) {
		fx.mu.Lock()
		fx.answersToDrop = map[string]int{"chervil_raise_term": 1, "chervil_promote": 1, "chervil_follow": 1}
		fx.mu.Unlock()
		kill(fx, id)
	}
	for name, c := range map[string]struct {
		o      options
		fail   func(fx *fixture, id ident.Target)
		within time.Duration
	}{
		"kill":    {fail: kill, within: maxUnavailability},
		"freeze":  {fail: func(fx *fixture, id ident.Target) { _ = fx.targets[id].SetFault(target.FaultFreeze, "1") }, within: maxUnavailability},
		"cut":     {fail: func(fx *fixture, id ident.Target) { fx.isolate(id, true) }, within: maxUnavailability},
		"race":    {o: options{soleWatcher: true}, fail: kill, within: maxUnavailability},
		"store":   {o: options{store: downStore{}}, fail: kill, within: maxUnavailability},
		"lost":    {fail: dropAnswersAndKill, within: 2 * maxUnavailability},
		"leaving": {fail: func(fx *fixture, id ident.Target) { _ = fx.targets[id].SetFault(target.FaultLeaving, "1") }, within: maxUnavailability},
		"naive":   {o: options{policy: elect.PolicyTimeout}, fail: kill, within: 2 * maxUnavailability},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, c.o, func(is *is.I, fx *fixture, primary ident.Target) {
				_, term := fx.highestPrimary()
				start := time.Now()
				c.fail(fx, primary)
				for fx.agreedPrimary() == primary || fx.agreedPrimary() == "" {
					time.Sleep(10 * time.Millisecond)
					is.True(time.Since(start) < c.within)
				}
				t.Logf("unavailable for %v", time.Since(start))
				next, _ := fx.highestPrimary()
				is.Equal(fx.agreedPrimary(), next)
				is.NoErr(fx.exec(next, "INSERT INTO t (id) VALUES (2)"))
				time.Sleep(3 * time.Second)
				lastPrimary, lastTerm := fx.highestPrimary()
				is.Equal(lastPrimary, next)
				if name == "kill" || name == "freeze" || name == "store" {
					is.Equal(lastTerm, term+1) // one election
				}
				ids, err := fx.ids(next)
				is.NoErr(err)
				is.Equal(ids, []int64{1, 2})
				s, err := fx.status(next)
				is.NoErr(err)
				is.Equal(s.Quorum, s.Log) // the remaining replica follows the new primary
			})
		})
	}
}

// TestWorkingPrimaryKept guards against a failover while the primary works: no VM
// reaches it but its replicas do, its open connections are silent but new ones
// work, all targets pause for 200 ms at a time, or a replica is frozen.
func TestWorkingPrimaryKept(t *testing.T) {
	for name, fault := range map[string]func(fx *fixture, id ident.Target){
		"watchers cut": func(fx *fixture, id ident.Target) { fx.setUnreachable(id, true) },
		"silent":       func(fx *fixture, id ident.Target) { _ = fx.targets[id].SetFault(target.FaultSilence, "1") },
		"pauses of 200 ms": func(fx *fixture, _ ident.Target) {
			for range 10 {
				for _, s := range fx.targets {
					_ = s.SetFault(target.FaultFreeze, "1")
					time.Sleep(200 * time.Millisecond)
					_ = s.SetFault(target.FaultFreeze, "0")
					time.Sleep(300 * time.Millisecond)
				}
			}
		},
		"replica frozen": func(fx *fixture, id ident.Target) {
			for other, s := range fx.targets {
				if other != id {
					_ = s.SetFault(target.FaultFreeze, "1")
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, options{}, func(is *is.I, fx *fixture, primary ident.Target) {
				_, term := fx.highestPrimary()
				fault(fx, primary)
				time.Sleep(20 * time.Second)
				id, lastTerm := fx.highestPrimary()
				is.Equal(id, primary)
				is.Equal(lastTerm, term)
				is.NoErr(fx.exec(primary, "INSERT INTO t (id) VALUES (2)"))
			})
		})
	}
}

// TestFormerPrimaryReturns guards against a former primary that keeps its diverged
// log when it is connected again, and against an outcome reported for a commit
// with a lost answer that differs from the log that survives.
func TestFormerPrimaryReturns(t *testing.T) {
	withFixture(t, options{}, func(is *is.I, fx *fixture, primary ident.Target) {
		_, term := fx.highestPrimary()
		fx.isolate(primary, true)
		is.NoErr(fx.exec(primary, "INSERT INTO t (id) VALUES (99)")) // not replicated
		lost, err := fx.status(primary)
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(fx.t.Context(), 10*time.Second)
		defer cancel()
		has, err := fx.watchers[0].Has(ctx, group, lost.Log, term)
		is.NoErr(err)
		is.True(!has)
		time.Sleep(time.Second)
		next := fx.agreedPrimary()
		is.True(next != primary && next != "")
		is.NoErr(fx.exec(next, "INSERT INTO t (id) VALUES (2)"))
		floor, err := fx.watchers[1].Floor(ctx, group)
		is.NoErr(err)
		at, err := fx.status(next)
		is.NoErr(err)
		is.True(!floor.Less(at.Quorum))
		fx.isolate(primary, false)
		time.Sleep(5 * time.Second)
		for id := range fx.targets {
			s, err := fx.status(id)
			is.NoErr(err)
			is.Equal(s.Primary, next)
			is.True(s.Role != topo.RoleRebuild)
			ids, err := fx.ids(id)
			is.NoErr(err)
			is.Equal(ids, []int64{1, 2})
		}
	})
}

// TestRestart guards against a former primary that resumes its role when it
// restarts after it was replaced, and against a group that has no primary after
// all of its targets have restarted.
func TestRestart(t *testing.T) {
	withFixture(t, options{}, func(is *is.I, fx *fixture, primary ident.Target) {
		address := fx.targets[primary].Addr()
		is.NoErr(fx.targets[primary].Close())
		time.Sleep(maxUnavailability)
		next := fx.agreedPrimary()
		is.True(next != primary && next != "")
		fx.startTarget(primary, address)
		time.Sleep(maxUnavailability)
		s, err := fx.status(primary)
		is.NoErr(err)
		is.Equal(s.Primary, next)
		for id, s := range fx.targets {
			address := s.Addr()
			is.NoErr(s.Close())
			fx.startTarget(id, address)
		}
		time.Sleep(2 * maxUnavailability)
		newPrimary, _ := fx.highestPrimary()
		is.Equal(fx.agreedPrimary(), newPrimary)
		is.NoErr(fx.exec(newPrimary, "INSERT INTO t (id) VALUES (2)"))
		time.Sleep(maxUnavailability)
		for id := range fx.targets {
			ids, err := fx.ids(id)
			is.NoErr(err)
			is.Equal(ids, []int64{1, 2})
		}
	})
}

// TestFlapping guards against a promotion for each interruption when a target is
// isolated and reconnected repeatedly, and against the loss of acknowledged
// writes meanwhile.
func TestFlapping(t *testing.T) {
	withFixture(t, options{}, func(is *is.I, fx *fixture, primary ident.Target) {
		_, term := fx.highestPrimary()
		acknowledged := []int64{1}
		for i := range 20 {
			fx.isolate(primary, i%2 == 0)
			time.Sleep(time.Second)
			id, _ := fx.highestPrimary()
			n := int64(100 + i)
			if fx.exec(id, fmt.Sprintf("INSERT INTO t (id) VALUES (%d)", n)) != nil {
				continue
			}
			time.Sleep(300 * time.Millisecond)
			if s, err := fx.status(id); err == nil && s.Role == topo.RolePrimary && s.Quorum == s.Log {
				acknowledged = append(acknowledged, n)
			}
		}
		fx.isolate(primary, false)
		time.Sleep(5 * time.Second)
		id, lastTerm := fx.highestPrimary()
		is.True(lastTerm <= term+2) // the flapping target does not become the primary again
		ids, err := fx.ids(id)
		is.NoErr(err)
		have := map[int64]bool{}
		for _, n := range ids {
			have[n] = true
		}
		for _, n := range acknowledged {
			is.True(have[n])
		}
		is.True(len(acknowledged) > 5)
	})
}
