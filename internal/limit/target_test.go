package limit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
)

// TestTargetLimit guards against more requests to one database in a second than its
// limit allows, also when all VMs restart, and against a limit of which the VMs that
// send the requests get a small part only.
func TestTargetLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := rates(map[ident.Workspace][2]int{"w": {20, 20}})
		cat.Sharing = catal.Sharing{Shards: 1, Slices: 36}
		w := newTestFleet(6, cat, func(w *testFleet) {
			w.batches, w.lifetime = true, 400*time.Millisecond
			w.excess = Excess{Window: time.Second, Fraction: 1, Tokens: 100}
			w.targets = func(*catal.Catalogue) map[ident.Target]quota.Limit {
				return map[ident.Target]quota.Limit{"db": {Rate: 20, Burst: 5}}
			}
		})
		defer w.stop()
		time.Sleep(20 * time.Second)
		d := &load{ws: targetAccount("db")}
		d.send(40, 10*time.Second, w.vms[0], w.vms[1])
		d.group.Wait()
		is.True(d.admittedCount() >= 180)
		for range 4 {
			for _, v := range w.vms {
				w.kill(v)
			}
			for _, v := range w.vms {
				w.start(v)
			}
			d.send(400, 300*time.Millisecond, w.vms...)
		}
		d.group.Wait()
		t.Logf("at most %d requests in a second", worstSecond(d.admitted))
		is.True(worstSecond(d.admitted) <= 35)
		is.Equal(len(w.vms[0].Snapshot()), 1)
		err := w.vms[0].AdmitAt(context.Background(), "other")
		is.Equal(err.(*Error).Kind, KindUnknown)
	})
}

// worstSecond returns the greatest number of times within one second.
func worstSecond(times []time.Time) int {
	worst := 0
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// TestTargetPermit guards against a request that is sent to a database although its VM
// was frozen after it had been admitted.
func TestTargetPermit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New(Config{PermitLifetime: 100 * time.Millisecond, Clock: func() time.Time { return now }})
	e := l.newWorkspaceEntry(targetAccount("db"), &view{}, now)
	e.isTarget = true
	ch := make(chan result, 1)
	ch <- result{at: now}
	now = now.Add(99 * time.Millisecond)
	is.NoErr(e.await(context.Background(), 1, ch))
	ch <- result{at: now}
	now = now.Add(100 * time.Millisecond)
	is.True(e.await(context.Background(), 1, ch) != nil)
	is.True(e.checkPermit(now.Add(-100*time.Millisecond)) != nil)
}

// TestTargetStart guards against tokens that every restart of the VMs adds to what
// may reach a database in a second.
func TestTargetStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New(Config{Excess: Excess{Window: time.Second, Fraction: 1, Tokens: 100}})
	v := &view{cat: rates(nil), shardCount: 1, sliceCount: 36, targetLimits: map[ident.Target]quota.Limit{"db": {Rate: 20, Burst: 5}}, workspaces: map[ident.Workspace]*workspaceEntry{}}
	l.setTargetAccounts(v, &view{}, now)
	for i := range quota.Index(36) {
		l.slices.set.RecordInheritance(quota.Slice{Index: i}, now)
	}
	e := v.workspaces[targetAccount("db")]
	l.configureWorkspace(e, v, now)
	lease := now.Add(time.Minute)
	is.True(!e.acct.Admit(now, lease))
	is.True(e.acct.Admit(now.Add(time.Second), lease))
}
