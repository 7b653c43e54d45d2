package limit

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/quota"
)

// newLargeVM returns a VM with a catalogue of many workspaces. It is the only VM of
// its fleet that has a Limiter.
func newLargeVM(workspaces, vms int) *testVM {
	limits := map[ident.Workspace][2]int{}
	for i := range workspaces {
		limits[ident.Workspace(fmt.Sprint("w", i))] = [2]int{1_000_000_000, 1_000_000_000}
	}
	cat := rates(limits)
	if vms > 48 {
		cat.Sharing.Shards = 256 // the number that 480 VMs use
	}
	cat.Zones = map[ident.Zone]catal.Zone{"z0": {}, "z1": {}, "z2": {}}
	cat.Groups = map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{"db": {Zone: "z0", Slots: 1000}}}}
	w := &testFleet{store: newMemoryStore(), cat: cat, changed: make(chan struct{})}
	for i := range vms {
		w.vms = append(w.vms, &testVM{fleet: w, info: member.Info{VM: ident.VM(fmt.Sprint("vm", i)), Zone: ident.Zone(fmt.Sprint("z", i%3))}})
	}
	v := w.vms[0]
	v.Limiter = New(Config{Catalogue: w, Fleet: v, Peers: v, Store: w.store})
	return v
}

// holdPreferred gives the VM the slices of which it is the preferred holder, ready
// for use.
func (n *testVM) holdPreferred() {
	n.refresh(context.Background())
	now := time.Now()
	n.recordRenewal(now)
	n.slices.mu.Lock()
	for _, s := range n.view.Load().wanted {
		n.slices.set.RecordClaim(s, now.Add(-time.Hour))
	}
	n.slices.mu.Unlock()
	for _, e := range n.view.Load().workspaces {
		e.firstSeen = now.Add(-time.Hour)
	}
	n.configureAll()
}

var scales = []struct{ workspaces, vms int }{{8, 9}, {1000, 9}, {1000, 48}, {10000, 480}}

func runAtScales(b *testing.B, f func(b *testing.B, v *testVM)) {
	for _, s := range scales {
		b.Run(fmt.Sprintf("workspaces=%d/vms=%d", s.workspaces, s.vms), func(b *testing.B) {
			v := newLargeVM(s.workspaces, s.vms)
			v.holdPreferred()
			b.ReportAllocs()
			f(b, v)
		})
	}
}

// richestWorkspace returns the workspace with the most slices at this VM.
func richestWorkspace(v *testVM) ident.Workspace {
	var ws ident.Workspace
	most := -1
	for _, u := range v.Snapshot() {
		if u.HeldSliceCount > most {
			ws, most = u.Workspace, u.HeldSliceCount
		}
	}
	return ws
}

// BenchmarkAdmit measures an admission for which a token is available.
func BenchmarkAdmit(b *testing.B) {
	runAtScales(b, func(b *testing.B, v *testVM) {
		ws, ctx := richestWorkspace(v), b.Context()
		for b.Loop() {
			if err := v.Admit(ctx, ws); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkAcquire measures an acquisition for which a slot is available.
func BenchmarkAcquire(b *testing.B) {
	runAtScales(b, func(b *testing.B, v *testVM) {
		t := v.view.Load().targets["db"]
		t.gateVM = "" // the fallback limit is large enough
		t.borrower.ForgetGate()
		ws, ctx := richestWorkspace(v), b.Context()
		for b.Loop() {
			release, err := v.Acquire(ctx, "db", ws, 1)
			if err != nil {
				b.Fatal(err)
			}
			release()
		}
	})
}

// BenchmarkBorrow measures the handling of a request by the lender, without the
// network.
func BenchmarkBorrow(b *testing.B) {
	runAtScales(b, func(b *testing.B, v *testVM) {
		ws, ctx := string(richestWorkspace(v)), b.Context()
		req := &peerpb.BorrowRequest{Workspace: ws, Micro: int64(ident.Token)}
		for b.Loop() {
			r, err := v.Borrow(ctx, req)
			if err != nil {
				b.Fatal(err)
			}
			req.Settled = []*peerpb.Settlement{{Grant: r.Grant}}
		}
	})
}

// BenchmarkRefresh measures a refresh of the view after a change of the membership.
func BenchmarkRefresh(b *testing.B) {
	runAtScales(b, func(b *testing.B, v *testVM) {
		for b.Loop() {
			v.fleet.mu.Lock()
			last := v.fleet.vms[len(v.fleet.vms)-1]
			last.dead = !last.dead
			v.fleet.mu.Unlock()
			v.refresh(b.Context())
		}
	})
}

// BenchmarkMemory reports the bytes of memory per workspace and per held slice.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprint("workspaces=", n), func(b *testing.B) {
			for b.Loop() {
				v := newLargeVM(n, 480)
				before := heapBytes()
				v.refresh(context.Background())
				b.ReportMetric((heapBytes()-before)/float64(n), "B/workspace")
				runtime.KeepAlive(v)
			}
		})
	}
	b.Run("slices", func(b *testing.B) {
		for b.Loop() {
			const accounts, held = 1000, 12
			var keep []*quota.Account
			before := heapBytes()
			for range accounts {
				a := quota.NewAccount(quota.Config{})
				var h []quota.HeldSlice
				for i := range quota.Index(held) {
					h = append(h, quota.HeldSlice{Slice: quota.Slice{Index: i}})
				}
				a.Configure(quota.Setup{Limit: quota.Limit{Rate: 100, Burst: 100}, HeldSlices: h}, time.Now())
				keep = append(keep, a)
			}
			b.ReportMetric((heapBytes()-before)/accounts/held, "B/workspace-slice")
			runtime.KeepAlive(keep)
		}
	})
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// TestMessagesPerStatement guards against a number of requests for tokens that
// grows with the fleet. It sends 95% of the rate, to all VMs evenly or to a single
// VM.
func TestMessagesPerStatement(t *testing.T) {
	for _, vms := range []int{3, 9, 27} {
		for _, one := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				w := newTestFleet(vms, rates(map[ident.Workspace][2]int{"w": {100, 100}}))
				defer w.stop()
				time.Sleep(20 * time.Second)
				d, to := &load{ws: "w"}, w.vms
				if one {
					to = w.vms[:1]
				}
				before := w.requestCount()
				d.send(95, 10*time.Second, to...)
				d.group.Wait()
				each := 2 * float64(w.requestCount()-before) / float64(len(d.admitted))
				t.Logf("%d VMs, all on one %v: %.2f messages per admitted statement, %d refused", vms, one, each, d.refused)
				if each > 4 || d.refused > 0 {
					t.Errorf("%.2f messages per admitted statement, %d refused", each, d.refused)
				}
			})
		}
	}
}
