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

// limit is the worst unavailability that the design allows.
const limit = 2500 * time.Millisecond

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

func scenario(t *testing.T, o options, f func(is *is.I, r *rig, primary ident.Target)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t, o)
		defer r.stop()
		primary, term := r.leader()
		is.True(primary != "") // a fresh group gets a primary
		is.Equal(r.known(), primary)
		is.True(term > 0)
		is.NoErr(r.run(primary, "CREATE TABLE t (id bigint PRIMARY KEY)"))
		is.NoErr(r.run(primary, "INSERT INTO t (id) VALUES (1)"))
		time.Sleep(200 * time.Millisecond)
		f(is, r, primary)
	})
}

// TestReplace guards against a failed primary that is not replaced in time, a
// lost write that a majority had, and several promotions for one failure. The
// faults are those of the design: kill, freeze, cut, racing watchers, lost
// answers, store down.
func TestReplace(t *testing.T) {
	kill := func(r *rig, id ident.Target) { _ = r.targets[id].Close() }
	loseAll := func(r *rig, id ident.Target) {
		r.mu.Lock()
		r.lose = map[string]int{"chervil_raise_term": 1, "chervil_promote": 1, "chervil_follow": 1}
		r.mu.Unlock()
		kill(r, id)
	}
	for name, c := range map[string]struct {
		o      options
		fail   func(r *rig, id ident.Target)
		within time.Duration
	}{
		"kill":    {fail: kill, within: limit},
		"freeze":  {fail: func(r *rig, id ident.Target) { _ = r.targets[id].SetFault(target.FaultFreeze, "1") }, within: limit},
		"cut":     {fail: func(r *rig, id ident.Target) { r.isolate(id, true) }, within: limit},
		"race":    {o: options{alone: true}, fail: kill, within: limit},
		"store":   {o: options{store: downStore{}}, fail: kill, within: limit},
		"lost":    {fail: loseAll, within: 2 * limit},
		"leaving": {fail: func(r *rig, id ident.Target) { _ = r.targets[id].SetFault(target.FaultLeaving, "1") }, within: limit},
		"naive":   {o: options{policy: elect.PolicyTimeout}, fail: kill, within: 2 * limit},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, c.o, func(is *is.I, r *rig, primary ident.Target) {
				_, term := r.leader()
				start := time.Now()
				c.fail(r, primary)
				for r.known() == primary || r.known() == "" {
					time.Sleep(10 * time.Millisecond)
					is.True(time.Since(start) < c.within)
				}
				t.Logf("unavailable for %v", time.Since(start))
				next, _ := r.leader()
				is.Equal(r.known(), next)
				is.NoErr(r.run(next, "INSERT INTO t (id) VALUES (2)"))
				time.Sleep(3 * time.Second)
				same, now := r.leader()
				is.Equal(same, next)
				if name == "kill" || name == "freeze" || name == "store" {
					is.Equal(now, term+1) // one election
				}
				ids, err := r.rows(next)
				is.NoErr(err)
				is.Equal(ids, []int64{1, 2})
				s, err := r.status(next)
				is.NoErr(err)
				is.Equal(s.Quorum, s.Log) // the remaining replica follows
			})
		})
	}
}

// TestKept guards against a failover of a primary that works: its connections
// to the VMs are cut, or the open ones are silent while new ones work.
func TestKept(t *testing.T) {
	for name, fault := range map[string]func(r *rig, id ident.Target){
		"watchers cut": func(r *rig, id ident.Target) { r.setCut(id, true) },
		"silent":       func(r *rig, id ident.Target) { _ = r.targets[id].SetFault(target.FaultSilence, "1") },
		"pauses of 200 ms": func(r *rig, _ ident.Target) {
			for range 10 {
				for _, s := range r.targets {
					_ = s.SetFault(target.FaultFreeze, "1")
					time.Sleep(200 * time.Millisecond)
					_ = s.SetFault(target.FaultFreeze, "0")
					time.Sleep(300 * time.Millisecond)
				}
			}
		},
		"replica frozen": func(r *rig, id ident.Target) {
			for other, s := range r.targets {
				if other != id {
					_ = s.SetFault(target.FaultFreeze, "1")
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, options{}, func(is *is.I, r *rig, primary ident.Target) {
				_, term := r.leader()
				fault(r, primary)
				time.Sleep(20 * time.Second)
				id, now := r.leader()
				is.Equal(id, primary)
				is.Equal(now, term)
				is.NoErr(r.run(primary, "INSERT INTO t (id) VALUES (2)"))
			})
		})
	}
}

// TestReturn guards against a former primary that keeps its diverged log, and
// against an outcome of a lost commit that differs from what survives.
func TestReturn(t *testing.T) {
	scenario(t, options{}, func(is *is.I, r *rig, primary ident.Target) {
		_, term := r.leader()
		r.isolate(primary, true)
		is.NoErr(r.run(primary, "INSERT INTO t (id) VALUES (99)")) // nobody else has it
		lost, err := r.status(primary)
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Second)
		defer cancel()
		has, err := r.vms[0].Has(ctx, group, lost.Log, term)
		is.NoErr(err)
		is.True(!has)
		time.Sleep(time.Second)
		next := r.known()
		is.True(next != primary && next != "")
		is.NoErr(r.run(next, "INSERT INTO t (id) VALUES (2)"))
		floor, err := r.vms[1].Floor(ctx, group)
		is.NoErr(err)
		at, err := r.status(next)
		is.NoErr(err)
		is.True(!floor.Less(at.Quorum))
		r.isolate(primary, false)
		time.Sleep(5 * time.Second)
		for id := range r.targets {
			s, err := r.status(id)
			is.NoErr(err)
			is.Equal(s.Primary, next)
			is.True(s.Role != topo.RoleRebuild)
			ids, err := r.rows(id)
			is.NoErr(err)
			is.Equal(ids, []int64{1, 2})
		}
	})
}

// TestRestart guards against a former primary that takes up its old role when it
// restarts after it was replaced, and against a group that stays without a
// primary after all of its databases restarted.
func TestRestart(t *testing.T) {
	scenario(t, options{}, func(is *is.I, r *rig, primary ident.Target) {
		address := r.targets[primary].Addr()
		is.NoErr(r.targets[primary].Close())
		time.Sleep(limit)
		next := r.known()
		is.True(next != primary && next != "")
		r.start(primary, address)
		time.Sleep(limit)
		s, err := r.status(primary)
		is.NoErr(err)
		is.Equal(s.Primary, next)
		for id, s := range r.targets {
			address := s.Addr()
			is.NoErr(s.Close())
			r.start(id, address)
		}
		time.Sleep(2 * limit)
		now, _ := r.leader()
		is.Equal(r.known(), now)
		is.NoErr(r.run(now, "INSERT INTO t (id) VALUES (2)"))
		time.Sleep(limit)
		for id := range r.targets {
			ids, err := r.rows(id)
			is.NoErr(err)
			is.Equal(ids, []int64{1, 2})
		}
	})
}

// TestFlapping guards against a promotion for each flap of a link, and against
// acknowledged writes that are lost on the way.
func TestFlapping(t *testing.T) {
	scenario(t, options{}, func(is *is.I, r *rig, primary ident.Target) {
		_, term := r.leader()
		acked := []int64{1}
		for i := range 20 {
			r.isolate(primary, i%2 == 0)
			time.Sleep(time.Second)
			id, _ := r.leader()
			n := int64(100 + i)
			if r.run(id, fmt.Sprintf("INSERT INTO t (id) VALUES (%d)", n)) != nil {
				continue
			}
			time.Sleep(300 * time.Millisecond)
			if s, err := r.status(id); err == nil && s.Role == topo.RolePrimary && s.Quorum == s.Log {
				acked = append(acked, n)
			}
		}
		r.isolate(primary, false)
		time.Sleep(5 * time.Second)
		id, now := r.leader()
		is.True(now <= term+2) // the flapping target does not become the primary again
		ids, err := r.rows(id)
		is.NoErr(err)
		have := map[int64]bool{}
		for _, n := range ids {
			have[n] = true
		}
		for _, n := range acked {
			is.True(have[n])
		}
		is.True(len(acked) > 5)
	})
}
