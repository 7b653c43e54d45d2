package limit

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/epoch"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// restorableAccess is a VM's connection to a store that may be restored. It can be cut
// off, and a VM learns of a restoration only by a call of its own.
type restorableAccess struct {
	*linktest.Store
	tracker store.EpochTracker
	cut     atomic.Bool
}

// call runs a call to the store unless the VM is cut off.
func (a *restorableAccess) call(f func() error) error {
	if a.cut.Load() {
		return errNoAnswer
	}
	err := f()
	a.tracker.Observe(a.Store.Epoch(), 0)
	return err
}

func (a *restorableAccess) Epoch() store.Epoch                 { return a.tracker.Epoch() }
func (a *restorableAccess) Restored() <-chan struct{}          { return a.tracker.Restored() }
func (a *restorableAccess) LastRestoration() store.Restoration { return a.tracker.LastRestoration() }

func (a *restorableAccess) Get(ctx context.Context, key string) (e store.Entry, err error) {
	err = a.call(func() error { e, err = a.Store.Get(ctx, key); return err })
	return e, err
}

func (a *restorableAccess) List(ctx context.Context, prefix string) (es []store.Entry, err error) {
	err = a.call(func() error { es, err = a.Store.List(ctx, prefix); return err })
	return es, err
}

func (a *restorableAccess) PutAll(ctx context.Context, ws []store.Write) (done bool, rev store.Revision, err error) {
	err = a.call(func() error { done, rev, err = a.Store.PutAll(ctx, ws); return err })
	return done, rev, err
}

func (a *restorableAccess) Delete(ctx context.Context, key string, expected store.Revision) (r store.Result, err error) {
	err = a.call(func() error { r, err = a.Store.Delete(ctx, key, expected); return err })
	return r, err
}

func (a *restorableAccess) GrantLease(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = a.call(func() error { id, err = a.Store.GrantLease(ctx, ttl); return err })
	return id, err
}

func (a *restorableAccess) RenewLease(ctx context.Context, id store.LeaseID) (ok bool, err error) {
	err = a.call(func() error { ok, err = a.Store.RenewLease(ctx, id); return err })
	return ok, err
}

// runRestorable starts n VMs on a store that may be restored, and calls f once all slices
// are claimed.
func runRestorable(t *testing.T, n int, f func(is *is.I, w *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestFleet(n, rates(map[ident.Workspace][2]int{"w": {40, 40}}), func(w *testFleet) {
			w.restorable, w.leaseTTL = &linktest.Store{}, restorableLeaseTTL
			w.epochs = func(s store.Store) Epochs {
				return epoch.New(epoch.Config{Store: s, Lifetimes: []time.Duration{w.leaseTTL}})
			}
		})
		defer w.stop()
		time.Sleep(10 * time.Second)
		f(is.New(t), w)
	})
}

const (
	restorableLeaseTTL = 2 * time.Minute
	// rebalanceTime is enough for a VM that joins to claim its slices.
	rebalanceTime = 4 * foreignRetryDelay
)

// checkExclusive fails the test if two VMs hold a slice at any time within a period.
func checkExclusive(t *testing.T, w *testFleet, period time.Duration) {
	t.Helper()
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for s, n := range w.holders(t) {
			if n > 1 {
				t.Fatalf("%d VMs hold slice %s", n, s)
			}
		}
	}
}

// TestRestoredSlices guards against a slice that is claimed while the VM holds it whose
// claim the store has forgotten: a VM that joined after the copy, and is cut off from the
// store when that returns, may use its slices until its lease's deadline.
func TestRestoredSlices(t *testing.T) {
	runRestorable(t, 4, func(is *is.I, w *testFleet) {
		late := w.vms[3]
		w.kill(late)
		time.Sleep(2 * restorableLeaseTTL)
		older := w.restorable.Copy()
		w.start(late)
		time.Sleep(rebalanceTime)
		held := len(w.holders(t))
		late.restorable.cut.Store(true)
		w.mu.Lock()
		late.hidden = true
		w.mu.Unlock()
		w.restorable.Restore(older)
		d := &load{ws: "w"}
		d.group.Go(func() { d.send(200, 2*restorableLeaseTTL, late, w.vms[0], w.vms[1]) })
		checkExclusive(t, w, 2*restorableLeaseTTL)
		is.True(d.excess(40, 40) < tolerance)
		is.Equal(len(w.holders(t)), held) // also those of the VM that is cut off
	})
}

// TestRestoredHolders guards against VMs that give up their slices, or get them back only
// after the wait, because the store was restored, and against one that claims what it
// held when the copy was made instead of what it held last.
func TestRestoredHolders(t *testing.T) {
	runRestorable(t, 3, func(is *is.I, w *testFleet) {
		older := w.restorable.Copy()
		joined := &testVM{fleet: w, info: w.vms[0].info}
		joined.info.VM = "joined"
		w.mu.Lock()
		w.vms = append(w.vms, joined)
		w.mu.Unlock()
		w.start(joined)
		time.Sleep(rebalanceTime)
		held := w.holders(t)
		for range 2 {
			w.restorable.Restore(older)
			time.Sleep(2 * time.Second)
			is.Equal(w.holders(t), held)
		}
		checkExclusive(t, w, 2*restorableLeaseTTL)
		is.Equal(w.holders(t), held)
	})
}

// TestRestoredRestart guards against a fleet without rates after all its VMs were killed
// while claims wait: each may go on with the slices of its own former process.
func TestRestoredRestart(t *testing.T) {
	runRestorable(t, 3, func(is *is.I, w *testFleet) {
		held := w.holders(t)
		w.restorable.Restore(w.restorable.Copy())
		time.Sleep(2 * time.Second)
		for _, v := range w.vms {
			w.kill(v)
		}
		for _, v := range w.vms {
			w.start(v)
		}
		time.Sleep(3 * time.Second)
		is.Equal(w.holders(t), held)
	})
}
