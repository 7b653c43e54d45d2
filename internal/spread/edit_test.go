package spread

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// TestConcurrentEdits guards against two concurrent edits that are both reported
// as accepted, and against a rejected edit that does not return the version that
// was stored instead.
func TestConcurrentEdits(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		outs := make(chan Outcome, 2)
		for i, v := range []*vm{w.vms[0], w.vms[2]} {
			go func() {
				out, err := w.edit(v, setRate(float64(i+7)))
				is.NoErr(err)
				outs <- out
			}()
		}
		a, b := <-outs, <-outs
		if b.Accepted {
			a, b = b, a
		}
		is.True(a.Accepted && !b.Accepted)
		is.Equal(b.Version, a.Version)
		is.Equal(b.Winner.Operator, "ana")
		is.Equal(b.Winner.Version, a.Version)
		is.True(timeUntil(10*time.Second, w.allInForce(a.Version)) >= 0)
	})
}

// TestOutdatedBaseVersion guards against an edit that is based on an old version
// and overwrites later ones.
func TestOutdatedBaseVersion(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		document := modifiedDocument(w.t, w.vms[1].Catalogue(), setRate(3))
		_, err := w.edit(w.vms[0], withdrawKey)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		out, err := w.vms[1].Edit(w.t.Context(), Edit{BaseVersion: 1, Document: document})
		is.NoErr(err)
		is.True(!out.Accepted)
		is.Equal(out.Winner.Version, ident.Version(2))
		is.True(w.vms[1].Catalogue().Workspaces["w"].Keys["k1"].Withdrawn)
	})
}

// TestLostAnswers guards against an edit that is reported as rejected, or is
// stored twice, because answers of the store or writes to it are lost.
func TestLostAnswers(t *testing.T) {
	for lost := range 4 {
		runFleetTest(t, func(is *is.I, w *world, _ string) {
			w.mu.Lock()
			w.loseAnswers, w.dropWrites = lost, lost%3
			w.mu.Unlock()
			out, err := w.edit(w.vms[0], setRate(9))
			is.NoErr(err)
			is.True(out.Accepted)
			is.Equal(out.Version, ident.Version(2))
			time.Sleep(30 * time.Second)
			is.True(w.allInForce(2)())
		})
	}
}

// TestInterruptedEdit guards against VMs that read the whole catalogue at every
// check from then on, because an edit stored the history entry and then stopped.
func TestInterruptedEdit(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		now, err := readRecord(w.t.Context(), w.vms[0].cfg.Store, CatalogueKey)
		is.NoErr(err)
		is.NoErr(w.vms[0].storeFormerVersion(w.t.Context(), now))
		is.True(timeUntil(time.Minute, w.allInForce(2)) >= 0)
		changes, err := catal.Diff(now.catalogue, w.vms[3].Catalogue())
		is.NoErr(err)
		is.Equal(len(changes), 0)
	})
}

// TestIsolatedVM guards against edits that are accepted by a VM that has lost
// contact with all other VMs but still reaches the store.
func TestIsolatedVM(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		w.setPartition(func(a, b ident.Zone) bool { return a != "store" && b != "store" })
		time.Sleep(10 * time.Second)
		_, err := w.edit(w.vms[0], setRate(3))
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindIsolated)
	})
}

// TestHistory guards against a history that grows without bound, or that loses
// one of the last 100 former versions.
func TestHistory(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		for i := range 108 {
			out, err := w.edit(w.vms[0], setRate(float64(i+2)))
			is.NoErr(err)
			is.True(out.Accepted)
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Minute)
		w.mu.Lock()
		kept := len(w.entries)
		w.mu.Unlock()
		is.Equal(kept, 101) // the current version and 100 former ones
		r, err := w.vms[0].StoredVersion(w.t.Context(), 60)
		is.NoErr(err)
		is.Equal(r.catalogue.Workspaces["w"].Rate, 60.0)
		_, err = w.vms[0].StoredVersion(w.t.Context(), 5)
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindNoSuchVersion)
	})
}

// TestEditConfirmedByPeer guards against an edit that is reported as accepted and
// is then unknown to all running VMs, because the VM that accepted it and the
// store fail at the same time. The second part checks that an edit is not
// reported as confirmed when no other VM has it.
func TestEditConfirmedByPeer(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, key string) {
		out, err := w.edit(w.vms[0], withdrawKey)
		is.NoErr(err)
		is.True(out.Accepted && out.Confirmed)
		w.setPartition(isolate("store"))
		w.stop(w.vms[0])
		for _, v := range w.vms[1:] {
			is.True(timeUntil(6*time.Second, func() bool {
				_, err := v.Authenticate("w", "keyed", key)
				return sqlState(err) == "28P01"
			}) >= 0)
		}
	})
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		// The VM's last contact with others is recent enough for it to accept the
		// edit, but it can no longer reach any of them.
		w.setPartition(func(a, b ident.Zone) bool { return a != "store" && b != "store" })
		w.stop(w.vms[3])
		w.stop(w.vms[6])
		out, err := w.edit(w.vms[0], withdrawKey)
		is.NoErr(err)
		is.True(out.Accepted && !out.Confirmed)
	})
}

// TestInvalidDocuments guards against invalid documents that are stored.
func TestInvalidDocuments(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		out, err := w.edit(w.vms[0], func(c *catal.Catalogue) { c.Sharing.Slices = 3 })
		is.NoErr(err)
		is.True(!out.Accepted)
		is.Equal(out.Problems[0].Path, "/sharing/slices")
		out, err = w.vms[0].Edit(w.t.Context(), Edit{BaseVersion: 1, Document: []byte(`{"zones":{}`)})
		is.NoErr(err)
		is.Equal(len(out.Problems), 1)
		is.Equal(w.vms[0].Status().Version, ident.Version(1))
	})
}
