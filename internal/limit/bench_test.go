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

// wide returns a VM of a fleet in which only it runs, with a catalogue of many
// workspaces. It holds the slices that it is preferred for.
func wide(workspaces, vms int) *node {
	limits := map[ident.Workspace][2]int{}
	for i := range workspaces {
		limits[ident.Workspace(fmt.Sprint("w", i))] = [2]int{1_000_000_000, 1_000_000_000}
	}
	cat := rates(limits)
	if vms > 48 {
		cat.Sharing.Shards = 256 // as at design scale
	}
	cat.Zones = map[ident.Zone]catal.Zone{"z0": {}, "z1": {}, "z2": {}}
	cat.Groups = map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{"db": {Zone: "z0", Slots: 1000}}}}
	w := &world{store: newMemory(), cat: cat, changed: make(chan struct{})}
	for i := range vms {
		w.vms = append(w.vms, &node{w: w, info: member.Info{VM: ident.VM(fmt.Sprint("vm", i)), Zone: ident.Zone(fmt.Sprint("z", i%3))}})
	}
	v := w.vms[0]
	v.Limiter = New(Config{Catalogue: w, Fleet: v, Peers: v, Store: w.store})
	return v
}

// hold gives the VM the slices that it is preferred for, usable at once.
func (n *node) hold() {
	n.refresh(context.Background())
	now := time.Now()
	n.renewed(now)
	n.shares.mu.Lock()
	for _, s := range n.view.Load().wanted {
		n.shares.holdings.RecordClaim(s, now.Add(-time.Hour))
	}
	n.shares.mu.Unlock()
	for _, e := range n.view.Load().entries {
		e.since = now.Add(-time.Hour)
	}
	n.configureAll()
}

var scales = []struct{ workspaces, vms int }{{8, 9}, {1000, 9}, {1000, 48}, {10000, 480}}

func scaled(b *testing.B, f func(b *testing.B, v *node)) {
	for _, s := range scales {
		b.Run(fmt.Sprintf("workspaces=%d/vms=%d", s.workspaces, s.vms), func(b *testing.B) {
			v := wide(s.workspaces, s.vms)
			v.hold()
			b.ReportAllocs()
			f(b, v)
		})
	}
}

// rich returns the workspace with the most slices at this VM.
func rich(v *node) ident.Workspace {
	var ws ident.Workspace
	most := -1
	for _, u := range v.Snapshot() {
		if u.HeldSliceCount > most {
			ws, most = u.Workspace, u.HeldSliceCount
		}
	}
	return ws
}

// BenchmarkAdmit measures an admission with tokens at hand.
func BenchmarkAdmit(b *testing.B) {
	scaled(b, func(b *testing.B, v *node) {
		ws, ctx := rich(v), b.Context()
		for b.Loop() {
			if err := v.Admit(ctx, ws); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkAcquire measures a slot with a free loan.
func BenchmarkAcquire(b *testing.B) {
	scaled(b, func(b *testing.B, v *node) {
		t := v.view.Load().targets["db"]
		t.gateVM = "" // the fallback is large enough
		t.lot.ForgetGate()
		ws, ctx := rich(v), b.Context()
		for b.Loop() {
			release, err := v.Acquire(ctx, "db", ws, 1)
			if err != nil {
				b.Fatal(err)
			}
			release()
		}
	})
}

// BenchmarkBorrow measures the lender's side of a request, without the network.
func BenchmarkBorrow(b *testing.B) {
	scaled(b, func(b *testing.B, v *node) {
		ws, ctx := string(rich(v)), b.Context()
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

// BenchmarkRefresh measures a change of the membership.
func BenchmarkRefresh(b *testing.B) {
	scaled(b, func(b *testing.B, v *node) {
		for b.Loop() {
			v.w.mu.Lock()
			last := v.w.vms[len(v.w.vms)-1]
			last.dead = !last.dead
			v.w.mu.Unlock()
			v.refresh(b.Context())
		}
	})
}

// BenchmarkMemory reports the bytes that a workspace and a held slice take.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprint("workspaces=", n), func(b *testing.B) {
			for b.Loop() {
				v := wide(n, 480)
				before := heap()
				v.refresh(context.Background())
				b.ReportMetric((heap()-before)/float64(n), "B/workspace")
				runtime.KeepAlive(v)
			}
		})
	}
	b.Run("slices", func(b *testing.B) {
		for b.Loop() {
			const accounts, held = 1000, 12
			var keep []*quota.Account
			before := heap()
			for range accounts {
				a := quota.NewAccount(quota.Config{})
				var h []quota.HeldSlice
				for i := range quota.Index(held) {
					h = append(h, quota.HeldSlice{Slice: quota.Slice{Index: i}})
				}
				a.Configure(quota.Setup{Limit: quota.Limit{Rate: 100, Burst: 100}, HeldSlices: h}, time.Now())
				keep = append(keep, a)
			}
			b.ReportMetric((heap()-before)/accounts/held, "B/workspace-slice")
			runtime.KeepAlive(keep)
		}
	})
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// TestMessages measures the requests for tokens by the number of VMs, at 95% of
// the rate, even over all VMs and all on one. It guards against a number that
// grows with the fleet.
func TestMessages(t *testing.T) {
	for _, vms := range []int{3, 9, 27} {
		for _, one := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(vms, rates(map[ident.Workspace][2]int{"w": {100, 100}}))
				defer w.stop()
				time.Sleep(20 * time.Second)
				d, to := &load{ws: "w"}, w.vms
				if one {
					to = w.vms[:1]
				}
				before := w.messages()
				d.send(95, 10*time.Second, to...)
				d.group.Wait()
				each := 2 * float64(w.messages()-before) / float64(len(d.admitted))
				t.Logf("%d VMs, all on one %v: %.2f messages per admitted statement, %d refused", vms, one, each, d.refused)
				if each > 4 || d.refused > 0 {
					t.Errorf("%.2f messages per admitted statement, %d refused", each, d.refused)
				}
			})
		}
	}
}
