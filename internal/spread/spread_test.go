package spread

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

func sqlState(err error) string {
	var e *access.Error
	if errors.As(err, &e) {
		return e.SQLState()
	}
	return ""
}

// run runs a test on a fleet of 9 VMs in virtual time.
func run(t *testing.T, f func(is *is.I, w *world, key string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, key := fleet(t, 9)
		defer w.end()
		f(is.New(t), w, key)
	})
}

// TestInForce guards against edits that some VM never gets, or late. It also
// reports the calls to the store.
func TestInForce(t *testing.T) {
	run(t, func(is *is.I, w *world, _ string) {
		var worst time.Duration
		for i := range 10 {
			v := w.all[i%9]
			out, err := w.edit(v, rate(float64(i+2)))
			is.NoErr(err)
			is.True(out.Accepted)
			took := until(time.Minute, w.allAt(out.Version))
			is.True(took >= 0)
			worst = max(worst, took)
			time.Sleep(2 * time.Second)
		}
		t.Logf("9 VMs: edits in force everywhere within %v", worst)
		w.mu.Lock()
		calls := w.calls
		w.mu.Unlock()
		time.Sleep(time.Minute)
		w.mu.Lock()
		defer w.mu.Unlock()
		t.Logf("9 VMs: %.1f store calls a second when quiet", float64(w.calls-calls)/60)
	})
}

// TestCutZoneWithdrawnKey guards against a withdrawn key that goes on working
// in a zone that is cut off, and against open routes that stop there.
func TestCutZoneWithdrawnKey(t *testing.T) {
	run(t, func(is *is.I, w *world, key string) {
		cutOff := w.all[2] // in costa
		g, err := cutOff.Authenticate("w", "keyed", key)
		is.NoErr(err)
		w.setCut(apart("costa"))
		out, err := w.edit(w.all[0], withdraw)
		is.NoErr(err)
		is.True(out.Accepted)
		took := until(time.Minute, func() bool { return cutOff.Check(g) != nil })
		is.True(took >= 0 && took <= 6*time.Second) // max_stale and the age at the cut
		is.Equal(sqlState(cutOff.Check(g)), "57P03")
		_, err = cutOff.Authenticate("w", "keyed", key)
		is.Equal(sqlState(err), "57P03")
		_, err = cutOff.Authenticate("w", "open", "")
		is.NoErr(err)
		is.True(cutOff.Status().Decision.CutOff())
		is.Equal(sqlState(w.all[0].Check(g)), "28P01")

		w.setCut(func(ident.Zone, ident.Zone) bool { return false })
		took = until(time.Minute, func() bool {
			err := cutOff.Check(g)
			is.True(err != nil) // must not work again for a moment
			return sqlState(err) == "28P01"
		})
		is.True(took >= 0)
		t.Logf("withdrawn key refused %v after the cut has healed", took)
	})
}

// TestZoneWithoutStore guards against a zone that reaches its peers, but not
// the store, and refuses or misses an edit.
func TestZoneWithoutStore(t *testing.T) {
	run(t, func(is *is.I, w *world, key string) {
		g, err := w.all[2].Authenticate("w", "keyed", key)
		is.NoErr(err)
		w.setCut(func(a, b ident.Zone) bool { return a == "costa" && b == "store" })
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			for _, v := range w.all {
				is.NoErr(v.Check(g))
			}
		}
		out, err := w.edit(w.all[0], withdraw)
		is.NoErr(err)
		took := until(time.Minute, w.allAt(out.Version))
		is.True(took >= 0 && took <= 9*time.Second)
		t.Logf("in force in the zone without the store after %v", took)
		is.Equal(sqlState(w.all[2].Check(g)), "28P01")
	})
}

// TestStoreOutage guards against refusals while the store is down for all, when
// it goes and when it comes back, and against edits meanwhile.
func TestStoreOutage(t *testing.T) {
	run(t, func(is *is.I, w *world, key string) {
		g, err := w.all[0].Authenticate("w", "keyed", key)
		is.NoErr(err)
		watch := func(d time.Duration) {
			for begin := time.Now(); time.Since(begin) < d; time.Sleep(50 * time.Millisecond) {
				for _, v := range w.all {
					is.NoErr(v.Check(g))
				}
			}
		}
		watch(10 * time.Second)
		w.setCut(apart("store"))
		watch(2 * time.Minute)
		is.Equal(w.all[0].Status().Decision.Reason.String(), "store_down")
		_, err = w.edit(w.all[0], rate(3))
		is.True(isStore(err))
		w.setCut(func(ident.Zone, ident.Zone) bool { return false })
		watch(30 * time.Second)
		is.Equal(w.all[0].Status().Decision.Reason.String(), "fresh")
	})
}

// TestReaderCrash guards against VMs that are cut off because one VM, on which
// others rely for the version's age, has crashed.
func TestReaderCrash(t *testing.T) {
	run(t, func(is *is.I, w *world, key string) {
		g, err := w.all[0].Authenticate("w", "keyed", key)
		is.NoErr(err)
		for i := range 3 {
			w.stop(w.all[i])
			rest := w.all[3:]
			for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
				for _, v := range rest {
					is.NoErr(v.Check(g))
				}
			}
		}
	})
}

// TestReaderCrashStoreDown guards against VMs that lose word of the other zones
// when one VM of their zone crashes during an outage of the store.
func TestReaderCrashStoreDown(t *testing.T) {
	run(t, func(is *is.I, w *world, key string) {
		g, err := w.all[0].Authenticate("w", "keyed", key)
		is.NoErr(err)
		w.setCut(apart("store"))
		time.Sleep(20 * time.Second)
		first := w.all[0].node.StoreReaderOrder("norte")[0]
		var rest []*vm
		for _, v := range w.all {
			if v.cfg.Self.VM != first {
				rest = append(rest, v)
			}
		}
		for _, v := range w.all {
			if v.cfg.Self.VM == first {
				w.stop(v)
			}
		}
		for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
			for _, v := range rest {
				is.NoErr(v.Check(g))
			}
		}
	})
}

// TestBootStoreDown guards against a VM that starts during an outage of the
// store and serves nothing, or serves with too few peers.
func TestBootStoreDown(t *testing.T) {
	run(t, func(is *is.I, w *world, key string) {
		out, err := w.edit(w.all[0], rate(5))
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		w.setCut(apart("store"))
		time.Sleep(time.Minute)
		old := w.all[4]
		w.stop(old)
		again := w.start(4, 9)
		is.True(until(10*time.Second, func() bool { return again.Status().Version == out.Version }) >= 0)
		is.True(until(10*time.Second, func() bool { _, err := again.Authenticate("w", "keyed", key); return err == nil }) >= 0)

		w.stop(again)
		w.setCut(func(a, b ident.Zone) bool { return a != b }) // only its zone answers: 2 of 8 peers
		last := w.start(4, 9)
		time.Sleep(time.Minute)
		is.Equal(last.Status().Version, ident.Version(0))
		_, err = last.Authenticate("w", "open", "")
		is.Equal(sqlState(err), "57P03")
	})
}

// TestStaleStore guards against a lower version that comes back with stale
// answers of the store, also on a VM that starts.
func TestStaleStore(t *testing.T) {
	run(t, func(is *is.I, w *world, _ string) {
		out, err := w.edit(w.all[0], rate(9))
		is.NoErr(err)
		is.True(until(10*time.Second, w.allAt(out.Version)) >= 0)
		w.mu.Lock()
		w.stale = true
		w.mu.Unlock()
		w.stop(w.all[5])
		again := w.start(5, 9)
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			is.Equal(w.all[0].Status().Version, out.Version)
			v := again.Status().Version
			is.True(v == 0 || v == out.Version)
		}
		is.Equal(again.Status().Version, out.Version)
	})
}

// TestReplayedAnswers guards against a peer's old answer, whole or delta, that
// brings a lower version back or stops the spreading.
func TestReplayedAnswers(t *testing.T) {
	run(t, func(is *is.I, w *world, _ string) {
		var first *peerpb.GetCatalogueReply
		n := 0
		w.mu.Lock()
		w.replay = func(r *peerpb.GetCatalogueReply) *peerpb.GetCatalogueReply {
			w.mu.Lock()
			defer w.mu.Unlock()
			if first == nil && r.GetVersion() > 0 {
				first = r
			}
			n++
			if n%2 == 0 && first != nil {
				return first
			}
			return r
		}
		w.mu.Unlock()
		for i := range 6 {
			out, err := w.edit(w.all[i], rate(float64(i+2)))
			is.NoErr(err)
			is.True(out.Accepted)
			low := make([]ident.Version, 9)
			is.True(until(10*time.Second, func() bool {
				for k, v := range w.all {
					is.True(v.Status().Version >= low[k])
					low[k] = v.Status().Version
				}
				return w.allAt(out.Version)()
			}) >= 0)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		is.True(n > 10)
	})
}

// TestStartingPeer guards against a zone that counts as heard by a VM that has
// only just started there and knows nothing.
func TestStartingPeer(t *testing.T) {
	run(t, func(is *is.I, w *world, _ string) {
		v := w.all[0]
		now := time.Now()
		v.state.Lock()
		before := v.fresh.Report(now)
		v.state.Unlock()
		time.Sleep(time.Minute)
		v.cancel()
		<-v.done
		at := time.Now()
		for _, serving := range []bool{false, true} {
			v.answer(&peerpb.Digest{Vm: "vm-2", Serving: serving, ConfirmedMs: -1}, "10.0.0.2:1", at)
			v.state.Lock()
			after := v.fresh.Report(at)
			v.state.Unlock()
			is.True(len(before.Zones) > 0)
			for _, z := range after.Zones {
				if z.Zone == "costa" {
					is.Equal(z.HeardAge == 0, serving)
				}
			}
		}
	})
}

// TestNoKeyInClear guards against keys in logs, errors or the store.
func TestNoKeyInClear(t *testing.T) {
	run(t, func(is *is.I, w *world, key string) {
		_, err := w.all[0].Authenticate(ident.Workspace(key), "keyed", key)
		is.True(!strings.Contains(err.Error(), key[10:]))
		out, err := w.edit(w.all[0], func(c *catal.Catalogue) {
			ws := c.Workspaces["w"]
			ws.Owner = key
			c.Workspaces["w"] = ws
		})
		_ = out
		is.NoErr(err)
		is.True(!out.Accepted)
		_, err = w.edit(w.all[0], withdraw)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, e := range w.entries {
			is.True(!strings.Contains(string(e.Value), key[10:]))
		}
		is.True(strings.Contains(w.logs.String(), "catalogue_applied"))
		is.True(!strings.Contains(w.logs.String(), key[10:]))
	})
}
