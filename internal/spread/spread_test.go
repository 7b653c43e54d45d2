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

// runFleetTest runs a test on a fleet of 9 VMs in virtual time.
func runFleetTest(t *testing.T, f func(is *is.I, w *world, key string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, key := startFleet(t, 9)
		defer w.stopAll()
		f(is.New(t), w, key)
	})
}

// TestEditsReachAllVMs guards against edits that do not reach every VM within a
// minute. It also logs the longest time and the rate of calls to the store.
func TestEditsReachAllVMs(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		var worst time.Duration
		for i := range 10 {
			v := w.vms[i%9]
			out, err := w.edit(v, setRate(float64(i+2)))
			is.NoErr(err)
			is.True(out.Accepted)
			took := timeUntil(time.Minute, w.allInForce(out.Version))
			is.True(took >= 0)
			worst = max(worst, took)
			time.Sleep(2 * time.Second)
		}
		t.Logf("9 VMs: edits in force everywhere within %v", worst)
		w.mu.Lock()
		calls := w.storeCalls
		w.mu.Unlock()
		time.Sleep(time.Minute)
		w.mu.Lock()
		defer w.mu.Unlock()
		t.Logf("9 VMs: %.1f store calls a second without edits", float64(w.storeCalls-calls)/60)
	})
}

// TestCutZoneWithdrawnKey guards against a withdrawn key that is still accepted in
// a zone that is cut off, and against open routes that are refused there.
func TestCutZoneWithdrawnKey(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, key string) {
		cutOff := w.vms[2] // in costa
		g, err := cutOff.Authenticate("w", "keyed", key)
		is.NoErr(err)
		w.setPartition(isolate("costa"))
		out, err := w.edit(w.vms[0], withdrawKey)
		is.NoErr(err)
		is.True(out.Accepted)
		took := timeUntil(time.Minute, func() bool { return cutOff.Check(g) != nil })
		is.True(took >= 0 && took <= 6*time.Second) // max_stale plus the age of the proof at the cut
		is.Equal(sqlState(cutOff.Check(g)), "57P03")
		_, err = cutOff.Authenticate("w", "keyed", key)
		is.Equal(sqlState(err), "57P03")
		_, err = cutOff.Authenticate("w", "open", "")
		is.NoErr(err)
		is.True(cutOff.Status().Decision.CutOff())
		is.Equal(sqlState(w.vms[0].Check(g)), "28P01")

		w.setPartition(func(ident.Zone, ident.Zone) bool { return false })
		took = timeUntil(time.Minute, func() bool {
			err := cutOff.Check(g)
			is.True(err != nil) // must not be accepted again in between
			return sqlState(err) == "28P01"
		})
		is.True(took >= 0)
		t.Logf("withdrawn key refused %v after the end of the partition", took)
	})
}

// TestZoneWithoutStore guards against a zone that reaches its peers but not the
// store and therefore refuses keys or does not receive an edit.
func TestZoneWithoutStore(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, key string) {
		g, err := w.vms[2].Authenticate("w", "keyed", key)
		is.NoErr(err)
		w.setPartition(func(a, b ident.Zone) bool { return a == "costa" && b == "store" })
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			for _, v := range w.vms {
				is.NoErr(v.Check(g))
			}
		}
		out, err := w.edit(w.vms[0], withdrawKey)
		is.NoErr(err)
		took := timeUntil(time.Minute, w.allInForce(out.Version))
		is.True(took >= 0 && took <= 9*time.Second)
		t.Logf("in force in the zone without the store after %v", took)
		is.Equal(sqlState(w.vms[2].Check(g)), "28P01")
	})
}

// TestStoreOutage guards against keys that are refused when the store fails for
// all zones, during the outage or when it returns, and against edits that are
// accepted during the outage.
func TestStoreOutage(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, key string) {
		g, err := w.vms[0].Authenticate("w", "keyed", key)
		is.NoErr(err)
		checkKeysFor := func(d time.Duration) {
			for begin := time.Now(); time.Since(begin) < d; time.Sleep(50 * time.Millisecond) {
				for _, v := range w.vms {
					is.NoErr(v.Check(g))
				}
			}
		}
		checkKeysFor(10 * time.Second)
		w.setPartition(isolate("store"))
		checkKeysFor(2 * time.Minute)
		is.Equal(w.vms[0].Status().Decision.Reason.String(), "store_down")
		_, err = w.edit(w.vms[0], setRate(3))
		is.True(isStoreError(err))
		w.setPartition(func(ident.Zone, ident.Zone) bool { return false })
		checkKeysFor(30 * time.Second)
		is.Equal(w.vms[0].Status().Decision.Reason.String(), "fresh")
	})
}

// TestReaderCrash guards against VMs that are cut off because a reader, from which
// they get the age of the proof, has crashed.
func TestReaderCrash(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, key string) {
		g, err := w.vms[0].Authenticate("w", "keyed", key)
		is.NoErr(err)
		for i := range 3 {
			w.stop(w.vms[i])
			running := w.vms[3:]
			for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
				for _, v := range running {
					is.NoErr(v.Check(g))
				}
			}
		}
	})
}

// TestReaderCrashStoreDown guards against VMs that no longer hear of the other
// zones and are cut off, because a reader of their zone crashes during an outage
// of the store.
func TestReaderCrashStoreDown(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, key string) {
		g, err := w.vms[0].Authenticate("w", "keyed", key)
		is.NoErr(err)
		w.setPartition(isolate("store"))
		time.Sleep(20 * time.Second)
		reader := w.vms[0].node.StoreReaderOrder("norte")[0]
		var running []*vm
		for _, v := range w.vms {
			if v.cfg.Self.VM != reader {
				running = append(running, v)
			}
		}
		for _, v := range w.vms {
			if v.cfg.Self.VM == reader {
				w.stop(v)
			}
		}
		for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
			for _, v := range running {
				is.NoErr(v.Check(g))
			}
		}
	})
}

// TestStartDuringStoreOutage guards against a VM that starts during an outage of
// the store and never serves, or serves although too few peers have answered.
func TestStartDuringStoreOutage(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, key string) {
		out, err := w.edit(w.vms[0], setRate(5))
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		w.setPartition(isolate("store"))
		time.Sleep(time.Minute)
		stopped := w.vms[4]
		w.stop(stopped)
		restarted := w.start(4, 9)
		is.True(timeUntil(10*time.Second, func() bool { return restarted.Status().Version == out.Version }) >= 0)
		is.True(timeUntil(10*time.Second, func() bool { _, err := restarted.Authenticate("w", "keyed", key); return err == nil }) >= 0)

		w.stop(restarted)
		w.setPartition(func(a, b ident.Zone) bool { return a != b }) // only its zone answers: 2 of 8 peers
		second := w.start(4, 9)
		time.Sleep(time.Minute)
		is.Equal(second.Status().Version, ident.Version(0))
		_, err = second.Authenticate("w", "open", "")
		is.Equal(sqlState(err), "57P03")
	})
}

// TestStaleStore guards against a lower version that is applied because the store
// gives stale answers, also on a VM that is starting.
func TestStaleStore(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		out, err := w.edit(w.vms[0], setRate(9))
		is.NoErr(err)
		is.True(timeUntil(10*time.Second, w.allInForce(out.Version)) >= 0)
		w.mu.Lock()
		w.staleReads = true
		w.mu.Unlock()
		w.stop(w.vms[5])
		restarted := w.start(5, 9)
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			is.Equal(w.vms[0].Status().Version, out.Version)
			v := restarted.Status().Version
			is.True(v == 0 || v == out.Version)
		}
		is.Equal(restarted.Status().Version, out.Version)
	})
}

// TestReplayedAnswers guards against an old answer of a peer, with a whole document
// or a delta, that makes a VM apply a lower version or stops the distribution.
func TestReplayedAnswers(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		var oldReply *peerpb.GetCatalogueReply
		replies := 0
		w.mu.Lock()
		w.replayCatalogue = func(r *peerpb.GetCatalogueReply) *peerpb.GetCatalogueReply {
			w.mu.Lock()
			defer w.mu.Unlock()
			if oldReply == nil && r.GetVersion() > 0 {
				oldReply = r
			}
			replies++
			if replies%2 == 0 && oldReply != nil {
				return oldReply
			}
			return r
		}
		w.mu.Unlock()
		for i := range 6 {
			out, err := w.edit(w.vms[i], setRate(float64(i+2)))
			is.NoErr(err)
			is.True(out.Accepted)
			lowest := make([]ident.Version, 9)
			is.True(timeUntil(10*time.Second, func() bool {
				for k, v := range w.vms {
					is.True(v.Status().Version >= lowest[k])
					lowest[k] = v.Status().Version
				}
				return w.allInForce(out.Version)()
			}) >= 0)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		is.True(replies > 10)
	})
}

// TestStartingPeer guards against a zone that counts as heard from because a VM in
// it answers that is still starting and knows nothing of its zone.
func TestStartingPeer(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, _ string) {
		v := w.vms[0]
		now := time.Now()
		v.stateMu.Lock()
		before := v.fresh.Report(now)
		v.stateMu.Unlock()
		time.Sleep(time.Minute)
		v.cancel()
		<-v.done
		at := time.Now()
		for _, serving := range []bool{false, true} {
			v.handleAnswer(&peerpb.Digest{Vm: "vm-2", Serving: serving, ConfirmedMs: -1}, "10.0.0.2:1", at)
			v.stateMu.Lock()
			after := v.fresh.Report(at)
			v.stateMu.Unlock()
			is.True(len(before.Zones) > 0)
			for _, z := range after.Zones {
				if z.Zone == "costa" {
					is.Equal(z.HeardAge == 0, serving)
				}
			}
		}
	})
}

// TestNoKeyInClear guards against keys in clear text in logs, errors or the store.
func TestNoKeyInClear(t *testing.T) {
	runFleetTest(t, func(is *is.I, w *world, key string) {
		_, err := w.vms[0].Authenticate(ident.Workspace(key), "keyed", key)
		is.True(!strings.Contains(err.Error(), key[10:]))
		out, err := w.edit(w.vms[0], func(c *catal.Catalogue) {
			ws := c.Workspaces["w"]
			ws.Owner = key
			c.Workspaces["w"] = ws
		})
		_ = out
		is.NoErr(err)
		is.True(!out.Accepted)
		_, err = w.edit(w.vms[0], withdrawKey)
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
