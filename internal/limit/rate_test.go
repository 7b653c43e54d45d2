package limit

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
)

// load sends requests of one workspace and records their outcomes.
type load struct {
	mu          sync.Mutex
	group       sync.WaitGroup
	ws          ident.Workspace
	admitted    []time.Time
	refused     int
	otherErrors int
}

// send sends requests at even intervals to the VMs in turn.
func (d *load) send(rate float64, length time.Duration, vms ...*testVM) {
	gap := time.Duration(float64(time.Second) / rate)
	for i := range int(rate * length.Seconds()) {
		time.Sleep(gap)
		d.group.Go(func() { d.sendOne(vms[i%len(vms)]) })
	}
}

func (d *load) sendOne(v *testVM) {
	err := v.Admit(context.Background(), d.ws)
	d.mu.Lock()
	defer d.mu.Unlock()
	var e *Error
	switch {
	case err == nil:
		d.admitted = append(d.admitted, time.Now())
	case errors.As(err, &e) && e.Kind == KindRate:
		d.refused++
	default:
		d.otherErrors++
	}
}

// admittedCount returns the number of requests admitted so far.
func (d *load) admittedCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.admitted)
}

// excess returns by how many requests the worst window exceeds the limit.
func (d *load) excess(rate, burst float64) float64 {
	d.group.Wait()
	worst, level := 0.0, burst
	for i, t := range d.admitted {
		if i > 0 {
			level = min(burst, level+rate*t.Sub(d.admitted[i-1]).Seconds())
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}

const tolerance = 1e-3

// TestLoadMoves guards against refusals within the rate when the balancer moves the
// whole load of a workspace from one VM to another at once, and while another
// workspace sends ten times its rate.
func TestLoadMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(9, rates(map[ident.Workspace][2]int{"w": {100, 100}, "loud": {50, 50}}))
		defer w.stop()
		time.Sleep(20 * time.Second)
		is.Equal(w.store.keyCount(), 16*12)
		d, loud := &load{ws: "w"}, &load{ws: "loud"}
		before := w.requestCount()
		for i := range 18 {
			d.send(95, 3*time.Second, w.vms[i%9])
		}
		t.Logf("messages per admitted statement at 9 VMs: %.2f", 2*float64(w.requestCount()-before)/float64(d.admittedCount()))
		d.group.Go(func() { loud.send(500, 10*time.Second, w.vms...) })
		d.send(95, 10*time.Second, w.vms...)
		is.True(d.excess(100, 100) < tolerance)
		is.Equal(d.refused, 0)
		is.Equal(d.otherErrors, 0)
		is.True(loud.excess(50, 50) < tolerance)
		t.Logf("at ten times its rate: %d admitted, %d refused", len(loud.admitted), loud.refused)
		is.True(len(loud.admitted) > 500 && loud.refused > 4000)
	})
}

// TestStoreOutage guards against refusals within the rate while the store is down
// for ten minutes, and against minting after the end of the lease when it stays
// down.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(6, rates(map[ident.Workspace][2]int{"w": {20, 24}}))
		defer w.stop()
		time.Sleep(90 * time.Second)
		w.store.withLock(func() { w.store.down = true })
		d := &load{ws: "w"}
		d.send(19, 10*time.Minute, w.vms[0])
		is.True(d.excess(20, 24) < tolerance)
		is.Equal(d.refused, 0)
		time.Sleep(5 * time.Minute)
		second := &load{ws: "w"}
		second.send(5, 10*time.Second, w.vms...)
		second.group.Wait()
		is.Equal(len(second.admitted), 0)
		w.store.withLock(func() { w.store.down = false })
		time.Sleep(time.Minute)
		second.send(19, 10*time.Second, w.vms...)
		is.True(second.excess(20, 24) < tolerance)
		is.True(len(second.admitted) > 180)
	})
}

// TestDeadVM guards against slices of a dead VM that are held twice or by nobody,
// and against lasting refusals of requests for which other VMs can mint tokens.
func TestDeadVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(6, rates(map[ident.Workspace][2]int{"w": {60, 60}}))
		defer w.stop()
		time.Sleep(20 * time.Second)
		w.kill(w.vms[1])
		d := &load{ws: "w"}
		d.send(60, 16*time.Minute, w.vms[0])
		is.Equal(w.store.keyCount(), 16*12)
		d.group.Wait()
		before := d.refused
		d.send(57, 10*time.Second, w.vms[0], w.vms[2])
		is.True(d.excess(60, 60) < tolerance)
		is.Equal(d.refused, before)
		is.Equal(d.otherErrors, 0)
		w.start(w.vms[1])
		time.Sleep(30 * time.Second)
		for _, n := range w.holders(t) {
			is.Equal(n, 1)
		}
		is.True(w.vms[1].Snapshot()[0].HeldSliceCount > 0)
	})
}

// TestLostAnswers guards against slices with two holders or none when answers of
// the store are lost or writes arrive twice while VMs die and restart.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(6, rates(map[ident.Workspace][2]int{"w": {60, 60}}), func(w *testFleet) {
			n := 0
			w.store.loseAnswer = func(string) bool { n++; return n%5 < 2 } // includes the answer to the read that checks a write
			w.store.duplicateWrite = func() bool { return n%3 == 0 }
		})
		defer w.stop()
		d := &load{ws: "w"}
		for i := range 6 {
			w.kill(w.vms[i])
			d.send(100, 20*time.Second, w.vms[(i+1)%6])
			for sl, n := range w.holders(t) {
				if n > 1 {
					t.Fatalf("slice %s has %d holders", sl, n)
				}
			}
			w.start(w.vms[i])
			d.send(100, 40*time.Second, w.vms[(i+1)%6])
		}
		is.True(d.excess(60, 60) < tolerance)
		time.Sleep(20 * time.Minute)
		is.Equal(w.store.keyCount(), 16*12)
		held := 0
		for _, n := range w.holders(t) {
			held += n
		}
		is.Equal(held, 16*12)
	})
}

// TestCutOffHolder guards against a VM cut off from the store that goes on minting
// after its lease has ended and others have claimed its slices, or when it reaches
// the store again.
func TestCutOffHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(4, rates(map[ident.Workspace][2]int{"w": {40, 40}}), func(w *testFleet) { w.leaseTTL = 2 * time.Minute })
		defer w.stop()
		time.Sleep(30 * time.Second)
		cut := w.vms[0]
		w.mu.Lock()
		cut.hidden = true
		w.mu.Unlock()
		cut.store.partitioned.Store(true)
		d := &load{ws: "w"}
		d.send(200, 5*time.Minute, cut, w.vms[1])
		is.True(d.excess(40, 40) < tolerance)
		is.True(!time.Now().Before(cut.deadline()))
		is.Equal(w.store.keyCount(), 16*12)
		cut.store.partitioned.Store(false)
		d.send(200, time.Minute, cut, w.vms[1])
		for _, n := range w.holders(t) {
			is.Equal(n, 1) // the VM knows that its lease has ended
		}
		is.True(d.excess(40, 40) < tolerance)
	})
}

// TestFleetStartWriteRate guards against more writes than the store sustains when
// the whole fleet starts at once. 60 VMs stand for the 480 of the design, as the
// write interval of each VM grows with their number.
func TestFleetStartWriteRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := rates(map[ident.Workspace][2]int{"w": {40, 40}})
		cat.Sharing = catal.Sharing{Shards: 64}
		w := newTestFleet(60, cat)
		defer w.stop()
		time.Sleep(30 * time.Second)
		is.Equal(w.store.keyCount(), 64*12)
		most := 0
		for i, at := range w.store.writes {
			n := 0
			for _, o := range w.store.writes[i:] {
				if o.Sub(at) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
		t.Logf("most writes within a second: %d", most)
		is.True(most < 300)
	})
}

// TestLeasesOfHolders guards against calls to the store by VMs that hold no slice,
// whose number grows with the fleet, and against such a VM that is never ready, or
// that does not claim the slices of a VM that dies.
func TestLeasesOfHolders(t *testing.T) {
	const vms, slices = 40, 4
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := rates(map[ident.Workspace][2]int{"w": {100, 50}})
		c.Sharing = catal.Sharing{Shards: 1, Slices: slices}
		f := newTestFleet(vms, c, func(f *testFleet) { f.batches = true })
		defer f.stop()
		time.Sleep(3 * time.Second)
		leases, holder := 0, (*testVM)(nil)
		for _, v := range f.vms {
			is.True(v.Ready())
			v.slices.mu.Lock()
			if v.slices.lease != 0 {
				leases++
				holder = v
			}
			v.slices.mu.Unlock()
		}
		is.True(leases > 0 && leases <= slices)
		is.Equal(len(f.holders(t)), slices)
		f.kill(holder)
		time.Sleep(20 * time.Minute) // past the lease of the dead VM
		is.Equal(len(f.holders(t)), slices)
	})
}

// TestReadyAfterFleetStart guards against VMs that become ready late after a start
// of the whole fleet because they wait between the calls that claim their slices.
func TestReadyAfterFleetStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := rates(map[ident.Workspace][2]int{"w": {40, 40}})
		cat.Sharing = catal.Sharing{Shards: 1, Slices: 36}
		w := newTestFleet(60, cat, func(w *testFleet) { w.batches = true })
		defer w.stop()
		time.Sleep(700*time.Millisecond + quota.DefaultLifetime) // new slices are unused for a lifetime
		for _, v := range w.vms {
			is.True(v.Ready())
		}
		is.Equal(w.store.keyCount(), 36)
	})
}

// TestDrain guards against slices that remain claimed until the lease ends after a
// planned stop.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(3, rates(map[ident.Workspace][2]int{"w": {40, 40}}))
		defer w.stop()
		time.Sleep(20 * time.Second)
		is.True(w.vms[0].Ready())
		w.mu.Lock()
		w.vms[0].hidden = true
		w.mu.Unlock()
		is.NoErr(w.vms[0].Drain(t.Context()))
		is.Equal(w.vms[0].Snapshot()[0].HeldSliceCount, 0)
		time.Sleep(20 * time.Second)
		is.Equal(w.store.keyCount(), 16*12)
	})
}

// TestStaticRefuses guards against a baseline that lends: a static split refuses
// requests within the rate of a workspace whose load is on one VM.
func TestStaticRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(9, rates(map[ident.Workspace][2]int{"w": {90, 90}}), func(w *testFleet) { w.staticSplit = true })
		defer w.stop()
		time.Sleep(20 * time.Second)
		d := &load{ws: "w"}
		d.send(85, 20*time.Second, w.vms[0])
		is.True(d.excess(90, 90) < tolerance)
		is.True(d.refused > len(d.admitted))
		is.Equal(w.requestCount(), 0) // no connections are opened for lending either
		is.Equal(w.store.keyCount(), 0)
	})
}

// TestErrors guards against refusals without SQLSTATE, "not run" or the time after
// which to retry, and against requests that stay queued after their caller has
// gone.
func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(1, rates(map[ident.Workspace][2]int{"w": {1, 1}}))
		defer w.stop()
		time.Sleep(time.Millisecond)
		var e *Error
		is.True(errors.As(w.vms[0].Admit(t.Context(), "w"), &e)) // no token is minted yet
		is.Equal(e.SQLState(), "53400")
		is.True(strings.Contains(e.Error(), "retry after 250 ms") && strings.HasSuffix(e.Error(), "not run"))
		is.True(errors.As(w.vms[0].Admit(t.Context(), "none"), &e))
		is.Equal(e.SQLState(), "28000")
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.True(errors.As(w.vms[0].Admit(ctx, "w"), &e))
		is.Equal(e.Kind, KindCancelled)
		is.Equal(w.vms[0].Snapshot()[0].Queued, 0)
		r, err := w.vms[0].Borrow(t.Context(), &peerpb.BorrowRequest{Workspace: "none", Micro: 1})
		is.NoErr(err)
		is.True(!r.Holds)
	})
}

// TestCatalogueEdit guards against a changed rate or the removal of a workspace that
// has no effect on existing accounts.
func TestCatalogueEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(3, rates(map[ident.Workspace][2]int{"w": {10, 12}, "x": {10, 12}}))
		defer w.stop()
		time.Sleep(20 * time.Second)
		next := rates(map[ident.Workspace][2]int{"w": {100, 100}})
		next.Zones = w.cat.Zones
		w.setCatalogue(next)
		time.Sleep(time.Second)
		d := &load{ws: "w"}
		d.send(95, 10*time.Second, w.vms[0])
		is.True(d.excess(100, 100) < tolerance)
		is.Equal(d.refused, 0)
		var e *Error
		is.True(errors.As(w.vms[0].Admit(t.Context(), "x"), &e))
		is.Equal(e.Kind, KindUnknown)
	})
}
