package spread

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// TestRace guards against two operators of whom both are told that their edit
// was accepted, or against a loser who isn't shown what won.
func TestRace(t *testing.T) {
	run(t, func(is *is.I, w *world, _ string) {
		outs := make(chan Outcome, 2)
		for i, v := range []*vm{w.all[0], w.all[2]} {
			go func() {
				out, err := w.edit(v, rate(float64(i+7)))
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
		is.True(until(10*time.Second, w.allAt(a.Version)) >= 0)
	})
}

// TestOldBase guards against an edit that starts from an old version and
// overwrites what came after it.
func TestOldBase(t *testing.T) {
	run(t, func(is *is.I, w *world, _ string) {
		mine := changed(w.t, w.all[1].Catalogue(), rate(3))
		_, err := w.edit(w.all[0], withdraw)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		out, err := w.all[1].Edit(w.t.Context(), Edit{BaseVersion: 1, Document: mine})
		is.NoErr(err)
		is.True(!out.Accepted)
		is.Equal(out.Winner.Version, ident.Version(2))
		is.True(w.all[1].Catalogue().Workspaces["w"].Keys["k1"].Withdrawn)
	})
}

// TestLostAnswers guards against an edit that is reported as lost, or stored
// twice, because the store's answers are lost.
func TestLostAnswers(t *testing.T) {
	for lost := range 4 {
		run(t, func(is *is.I, w *world, _ string) {
			w.mu.Lock()
			w.lose, w.drop = lost, lost%3
			w.mu.Unlock()
			out, err := w.edit(w.all[0], rate(9))
			is.NoErr(err)
			is.True(out.Accepted)
			is.Equal(out.Version, ident.Version(2))
			time.Sleep(30 * time.Second)
			is.True(w.allAt(2)())
		})
	}
}

// TestInterruptedEdit guards against a fleet that reads the whole catalogue at
// each check because an edit stopped half way.
func TestInterruptedEdit(t *testing.T) {
	run(t, func(is *is.I, w *world, _ string) {
		now, err := readRecord(w.t.Context(), w.all[0].cfg.Store, CatalogueKey)
		is.NoErr(err)
		is.NoErr(w.all[0].keep(w.t.Context(), now))
		is.True(until(time.Minute, w.allAt(2)) >= 0)
		changes, err := catal.Diff(now.catalogue, w.all[3].Catalogue())
		is.NoErr(err)
		is.Equal(len(changes), 0)
	})
}

// TestAlone guards against edits through a VM that has lost all others and
// still reaches the store.
func TestAlone(t *testing.T) {
	run(t, func(is *is.I, w *world, _ string) {
		w.setCut(func(a, b ident.Zone) bool { return a != "store" && b != "store" })
		time.Sleep(10 * time.Second)
		_, err := w.edit(w.all[0], rate(3))
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindIsolated)
	})
}

// TestHistory guards against a history that grows without bound or loses
// versions that it has to keep.
func TestHistory(t *testing.T) {
	run(t, func(is *is.I, w *world, _ string) {
		for i := range 108 {
			out, err := w.edit(w.all[0], rate(float64(i+2)))
			is.NoErr(err)
			is.True(out.Accepted)
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Minute)
		w.mu.Lock()
		kept := len(w.entries)
		w.mu.Unlock()
		is.Equal(kept, 101) // the present version and 100 former ones
		r, err := w.all[0].StoredVersion(w.t.Context(), 60)
		is.NoErr(err)
		is.Equal(r.catalogue.Workspaces["w"].Rate, 60.0)
		_, err = w.all[0].StoredVersion(w.t.Context(), 5)
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindNoSuchVersion)
	})
}

// TestConfirmed guards against an edit that is reported and then known to no
// running VM, because the VM that accepted it and the store fail at once.
func TestConfirmed(t *testing.T) {
	run(t, func(is *is.I, w *world, key string) {
		out, err := w.edit(w.all[0], withdraw)
		is.NoErr(err)
		is.True(out.Accepted && out.Confirmed)
		w.setCut(apart("store"))
		w.stop(w.all[0])
		for _, v := range w.all[1:] {
			is.True(until(6*time.Second, func() bool {
				_, err := v.Authenticate("w", "keyed", key)
				return sqlState(err) == "28P01"
			}) >= 0)
		}
	})
	run(t, func(is *is.I, w *world, _ string) {
		// The editor's last contact with others is recent, but they are gone.
		w.setCut(func(a, b ident.Zone) bool { return a != "store" && b != "store" })
		w.stop(w.all[3])
		w.stop(w.all[6])
		out, err := w.edit(w.all[0], withdraw)
		is.NoErr(err)
		is.True(out.Accepted && !out.Confirmed)
	})
}

// TestRules guards against documents that are stored although they break rules.
func TestRules(t *testing.T) {
	run(t, func(is *is.I, w *world, _ string) {
		out, err := w.edit(w.all[0], func(c *catal.Catalogue) { c.Sharing.Slices = 3 })
		is.NoErr(err)
		is.True(!out.Accepted)
		is.Equal(out.Problems[0].Path, "/sharing/slices")
		out, err = w.all[0].Edit(w.t.Context(), Edit{BaseVersion: 1, Document: []byte(`{"zones":{}`)})
		is.NoErr(err)
		is.Equal(len(out.Problems), 1)
		is.Equal(w.all[0].Status().Version, ident.Version(1))
	})
}
