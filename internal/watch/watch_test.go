package watch

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/topo"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var threeVMs = fakeFleet{{VM: "v1", Zone: "x"}, {VM: "v2", Zone: "x"}, {VM: "v3", Zone: "y"}}

// startWatchers runs Watchers and returns a function that stops them and waits
// for their end.
func startWatchers(watchers ...*Watcher) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, w := range watchers {
		wg.Go(func() { w.Run(ctx) })
	}
	return func() { cancel(); wg.Wait() }
}

func primaryOf(w *Watcher) ident.Target {
	g, _ := w.cfg.Table.Group("g")
	return g.Primary
}

// TestFailover guards against a dead primary that is not replaced, several
// promotions by concurrent watchers, a failover that waits for a store that is
// down, and a hint that is never written once the store is up.
func TestFailover(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("store down %v", down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newFakeGroup("a")
				s := &fakeStore{down: down, data: map[string]store.Entry{}}
				peers := fakePeers{}
				var watchers []*Watcher
				for _, i := range threeVMs {
					w := newWatcher(g, i.VM, threeVMs, peers, s)
					peers[i.VM] = w
					watchers = append(watchers, w)
				}
				defer startWatchers(watchers...)()
				time.Sleep(5 * time.Second)
				for _, w := range watchers {
					is.Equal(primaryOf(w), ident.Target("a"))
				}
				is.Equal(g.promotions.Load(), int64(0))
				g.kill("a")
				time.Sleep(2500 * time.Millisecond)
				for _, w := range watchers {
					is.True(primaryOf(w) == "b" || primaryOf(w) == "c")
				}
				is.Equal(g.promotions.Load(), int64(1))
				s.mu.Lock()
				s.down = false
				s.mu.Unlock()
				time.Sleep(10 * time.Second)
				e, err := store.Read(t.Context(), s, "hint/g")
				is.NoErr(err)
				is.Equal(string(e.Value), fmt.Sprintf(`{"term":2,"primary":"%s"}`, primaryOf(watchers[0])))
				emptyTable := newTable()
				w := newWatcher(g, "v9", threeVMs, nil, s)
				w.cfg.Table = emptyTable
				defer startWatchers(w)()
				time.Sleep(time.Second)
				is.Equal(primaryOf(w), primaryOf(watchers[0])) // a VM that does not watch reads the hint from the store
			})
		})
	}
}

// TestLastResort guards against a primary that is never replaced because all
// watchers of the group are unreachable, and against a last-resort watch that does
// not end after the errors have stopped.
func TestLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup("a")
		fleet := fakeFleet{{VM: "gone1"}, {VM: "gone2"}, {VM: "gone3"}, {VM: "v1"}}
		self := fleet[slices.IndexFunc(fleet, func(i member.Info) bool {
			return !slices.Contains(watchersOf("g", fleet.Live(), 3), i.VM)
		})].VM
		w := newWatcher(g, self, fleet, fakePeers{}, nil)
		defer startWatchers(w)()
		time.Sleep(time.Second)
		g.kill("a")
		time.Sleep(5 * time.Second)
		is.Equal(g.promotions.Load(), int64(0))
		w.Suspect("g")
		time.Sleep(900 * time.Millisecond)
		is.True(w.monitor("g") == nil)
		time.Sleep(4 * time.Second)
		is.Equal(g.promotions.Load(), int64(1))
		is.True(primaryOf(w) != "a" && primaryOf(w) != "")
		time.Sleep(time.Minute)
		is.True(w.monitor("g") == nil) // ends when no more errors are reported
	})
}

// TestSuspect guards against a VM that starts a last-resort watch although the
// group's watchers answer, and against a hint in the reply that is ignored.
func TestSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup("a")
		peers := fakePeers{}
		w := newWatcher(g, "v1", fakeFleet{{VM: "v1"}}, peers, nil)
		peers["v1"] = w
		other := newWatcher(g, "v2", fakeFleet{{VM: "v1"}}, peers, nil)
		defer startWatchers(w, other)()
		time.Sleep(time.Second)
		r, err := other.ServeSuspect(t.Context(), &peerpb.SuspectRequest{Group: "g"})
		is.NoErr(err)
		is.True(!r.GetWatching())
		other.Suspect("g")
		other.Suspect("unknown")
		time.Sleep(5 * time.Second)
		is.True(other.monitor("g") == nil)
		is.Equal(primaryOf(other), ident.Target("a"))
	})
}

// TestFloor guards against a query per session instead of one per batch, against
// a caller that joins a running batch and so gets positions read before its call,
// and against a floor without a majority.
func TestFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup("a")
		g.latency = 50 * time.Millisecond
		w := newWatcher(g, "v1", fakeFleet{{VM: "other"}}, nil, nil)
		defer startWatchers(w)()
		var wg sync.WaitGroup
		got := make([]ident.Position, 101)
		ask := func(i int) {
			wg.Go(func() {
				p, err := w.Floor(context.Background(), "g")
				is.NoErr(err)
				got[i] = p
			})
		}
		ask(0)
		time.Sleep(49 * time.Millisecond)
		synctest.Wait()
		for i := range 100 {
			ask(i + 1)
		}
		time.Sleep(10 * time.Millisecond) // the first batch has read
		newer := ident.Position{Term: 1, Index: 9}
		for _, id := range []ident.Target{"a", "b"} {
			g.update(id, func(s *topo.Status) { s.Log = newer })
		}
		wg.Wait()
		is.Equal(got[0], ident.Position{Term: 1, Index: 5})
		for _, p := range got[1:] {
			is.Equal(p, newer)
		}
		is.Equal(g.statusReads.Load(), int64(6))
		g.kill("a")
		g.kill("b")
		_, err := w.Floor(t.Context(), "g")
		var e *Error
		is.True(errors.As(err, &e) && e.Kind == KindNoMajority)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err = w.Floor(ctx, "g")
		is.True(errors.As(err, &e) && e.Kind == KindTimeout)
		_, err = w.Floor(t.Context(), "none")
		is.True(errors.As(err, &e) && e.Kind == KindUnknownGroup)
	})
}

// TestCommitOutcome guards against a commit outcome that is taken from the
// replaced primary, from a new one that has no entry of its term on a majority and
// may be replaced by a database with another log, or from an entry that is not on
// a majority itself.
func TestCommitOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup("a")
		w := newWatcher(g, "v1", fakeFleet{{VM: "other"}}, nil, nil)
		defer startWatchers(w)()
		p := ident.Position{Term: 1, Index: 5}
		ask := func() (bool, error) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return w.Has(ctx, "g", p, 1)
		}
		w.cfg.Table.Learn(topo.Hint{Group: "g", Term: 1, Primary: "a"})
		_, err := ask()
		var e *Error
		is.True(errors.As(err, &e) && e.Kind == KindTimeout)
		g.update("b", func(s *topo.Status) {
			s.Term, s.Role, s.Log = 2, topo.RolePrimary, ident.Position{Term: 2, Index: 5}
		})
		w.cfg.Table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "b"})
		_, err = ask()
		is.True(errors.As(err, &e) && e.Kind == KindTimeout)
		g.update("b", func(s *topo.Status) { s.Quorum = s.Log })
		has, err := ask()
		is.True(err == nil && !has)
		g.hasAnswer = true
		has, err = ask()
		is.True(err == nil && has)
		p = ident.Position{Term: 2, Index: 6} // written by the new primary, not yet on a majority
		_, err = ask()
		is.True(errors.As(err, &e) && e.Kind == KindTimeout)
	})
}

// TestWatchersOf guards against watchers that are all in one zone although there
// are two, that depend on the order of the list of VMs, or that are fewer than
// requested.
func TestWatchersOf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var live []member.Info
		zones := map[ident.Zone]bool{}
		for i := range rapid.IntRange(1, 12).Draw(t, "vms") {
			z := rapid.SampledFrom([]ident.Zone{"x", "x", "x", "y"}).Draw(t, "zone")
			zones[z] = true
			live = append(live, member.Info{VM: ident.VM(fmt.Sprint("v", i)), Zone: z})
		}
		n := rapid.IntRange(1, 5).Draw(t, "n")
		got := watchersOf("g", live, n)
		shuffled := rapid.Permutation(live).Draw(t, "order")
		if !slices.Equal(got, watchersOf("g", shuffled, n)) || len(got) != min(n, len(live)) {
			t.Fatalf("%v", got)
		}
		seen := map[ident.Zone]bool{}
		for _, vm := range got {
			seen[live[slices.IndexFunc(live, func(m member.Info) bool { return m.VM == vm })].Zone] = true
		}
		if len(got) > 1 && len(seen) != len(zones) {
			t.Fatalf("zones %v of %v", seen, zones)
		}
	})
}

// TestCallsAfterStop guards against calls that block after Run has ended.
func TestCallsAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWatcher(newFakeGroup("a"), "v1", nil, nil, nil)
		stop := startWatchers(w)
		time.Sleep(time.Second)
		stop()
		_, err := w.Floor(t.Context(), "g")
		var e *Error
		is.True(errors.As(err, &e) && e.Kind == KindStopped)
		_, err = w.Has(t.Context(), "g", ident.Position{}, 1)
		is.True(errors.As(err, &e) && e.Kind == KindStopped)
		w.Suspect("g")
	})
}
