package member

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
)

// The seed is fixed so that a run can be repeated; -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

var fleets = []struct{ vms, zones, regions int }{{9, 3, 2}, {48, 6, 3}, {480, 10, 3}}

func running(f *fleet) func(Info) bool {
	return func(i Info) bool { return !f.byAddr[i.Address].crashed }
}

// TestCrash guards against a crashed VM that some live VM never notices, and
// against the death of a live one, with messages lost and processes paused.
func TestCrash(t *testing.T) {
	for _, size := range fleets {
		t.Run(fmt.Sprintf("vms=%d", size.vms), func(t *testing.T) {
			is := is.New(t)
			var worst time.Duration
			for seed := range uint64(2) {
				f := newFleet(seed, infos(size.vms, size.zones, size.regions))
				f.loss = 0.01
				f.run(5 * time.Second)
				f.hosts[seed].crashed = true
				took := f.until(time.Minute, func() bool { return f.knows(running(f)) })
				is.True(took > 0)
				worst = max(worst, took)
				for _, h := range f.hosts {
					is.Equal(len(h.falsely), 0)
				}
			}
			t.Logf("%d VMs: all live VMs saw the death within %v", size.vms, worst)
		})
	}
}

// TestNoFalseDeath guards against live VMs declared dead because of pauses of
// 200 ms and lost messages. It also reports the cost of a quiet fleet.
func TestNoFalseDeath(t *testing.T) {
	for _, size := range fleets {
		t.Run(fmt.Sprintf("vms=%d", size.vms), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(7, infos(size.vms, size.zones, size.regions))
			f.run(2 * time.Second)
			f.pings, f.bytes = 0, 0
			f.run(10 * time.Second)
			perVM := float64(size.vms) * 10
			t.Logf("%d VMs: %.1f messages and %.0f bytes per VM and second sent when quiet", size.vms, float64(f.pings)/perVM, float64(f.bytes)/perVM)
			f.loss = 0.01
			f.pings, f.bytes = 0, 0
			for range 30 {
				for _, h := range f.hosts {
					if f.rng.IntN(5) == 0 {
						h.paused = f.now.Add(200 * time.Millisecond)
					}
				}
				f.run(time.Second)
			}
			t.Logf("%d VMs: %.1f messages and %.0f bytes with pauses and loss", size.vms, float64(f.pings)/perVM/3, float64(f.bytes)/perVM/3)
			for _, h := range f.hosts {
				is.Equal(len(h.falsely), 0)
			}
		})
	}
}

// TestHeal guards against sides of a cut that stay apart after it has healed.
func TestHeal(t *testing.T) {
	for _, size := range fleets {
		t.Run(fmt.Sprintf("vms=%d", size.vms), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(11, infos(size.vms, size.zones, size.regions))
			f.run(2 * time.Second)
			f.blocked = func(a, b Info) bool { return (a.Region == "region-0") != (b.Region == "region-0") }
			f.run(90 * time.Second)
			h := f.hosts[0]
			for _, i := range h.n.Members() {
				is.Equal(i.State == StateDead, i.Region != "region-0")
			}
			f.blocked = nil
			f.pings, f.bytes = 0, 0
			for _, h := range f.hosts {
				clear(h.falsely)
			}
			took := f.until(2*time.Minute, func() bool { return f.knows(running(f)) })
			is.True(took > 0)
			for _, h := range f.hosts {
				for vm := range h.falsely {
					i, _ := h.n.Lookup(vm) // VMs of one side never lose each other
					is.True((i.Region == "region-0") != (h.n.self.Region == "region-0"))
				}
			}
			t.Logf("%d VMs: merged after %v, %.0f bytes per VM and second meanwhile", size.vms, took, float64(f.bytes)/float64(size.vms)/took.Seconds())
		})
	}
}

// TestJoin guards against VMs that don't find each other by one seed address,
// also when that seed starts last.
func TestJoin(t *testing.T) {
	for _, size := range fleets[:2] {
		t.Run(fmt.Sprintf("vms=%d", size.vms), func(t *testing.T) {
			is := is.New(t)
			all := infos(size.vms, size.zones, size.regions)
			f := newFleet(3, all, all[0].Address)
			f.hosts[0].paused = f.now.Add(5 * time.Second)
			took := f.until(2*time.Minute, func() bool { return f.knows(running(f)) })
			is.True(took > 0)
			t.Logf("%d VMs: joined after %v", size.vms, took)
		})
	}
}

// TestRestart guards against a VM that comes back under the same id, at a new
// address, and stays dead or at its old address for others.
func TestRestart(t *testing.T) {
	is := is.New(t)
	all := infos(9, 3, 2)
	f := newFleet(5, all)
	f.hosts[4].crashed = true
	f.run(time.Minute)
	self := all[4]
	self.Address, self.Incarnation = "10.9.9.9:7000", 0
	h := &host{n: New(Config{Self: self, Seeds: []string{all[0].Address}}, f.now), falsely: map[ident.VM]bool{}}
	delete(f.byAddr, all[4].Address)
	f.byAddr[self.Address], f.hosts[4] = h, h
	f.tick(h)
	is.True(f.until(time.Minute, func() bool {
		for _, h := range f.hosts {
			if i, ok := h.n.Lookup(self.VM); !ok || i.State != StateAlive || i.Address != self.Address {
				return false
			}
		}
		return true
	}) > 0)
}

// TestLostEvent guards against a table that differs from the others for ever
// because its copies of an event were lost.
func TestLostEvent(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, infos(48, 6, 3))
	f.run(2 * time.Second)
	stale := f.hosts[1].n
	// vm-002 left, but this VM missed it; the events are no longer sent.
	for _, h := range f.hosts {
		if h.n != stale {
			h.n.SetLeaving(f.now)
			i := h.n.self
			for _, other := range f.hosts {
				if other.n != stale && other != h {
					other.n.merge(i, f.now)
				}
			}
			break
		}
	}
	for _, h := range f.hosts {
		clear(h.n.queue)
	}
	is.True(f.until(time.Minute, func() bool {
		i, _ := stale.Lookup("vm-000")
		return i.State == StateLeaving
	}) > 0)
}

// TestLongPause guards against a VM that wakes from a long pause and declares
// the others dead.
func TestLongPause(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, infos(9, 3, 2))
	for range 5 {
		f.run(5 * time.Second)
		f.hosts[3].paused = f.now.Add(20 * time.Second)
		f.run(20 * time.Second)
	}
	f.run(30 * time.Second)
	is.Equal(len(f.hosts[3].falsely), 0)
	is.True(f.knows(running(f))) // the others hold it for live again
}

// TestOwnPause guards against a VM that wakes and takes a suspicion, which was
// refuted while it slept, for a death.
func TestOwnPause(t *testing.T) {
	is := is.New(t)
	all := infos(3, 1, 1)
	now := time.Unix(1e9, 0)
	n := New(Config{Self: all[0]}, now)
	n.mergeAll(all, now)
	n.Tick(now)
	suspect := all[1]
	suspect.State = StateSuspect
	n.merge(suspect, now)
	n.NextTick()
	now = now.Add(time.Hour)
	n.Tick(now)
	i, _ := n.Lookup(suspect.VM)
	is.Equal(i.State, StateSuspect)
}

// TestIndirect guards against a VM that is suspected without others having
// tried it, or although one of them has reached it.
func TestIndirect(t *testing.T) {
	for _, reached := range []bool{false, true} {
		is := is.New(t)
		all := infos(5, 1, 1)
		now := time.Unix(1e9, 0)
		n := New(Config{Self: all[0]}, now)
		n.mergeAll(all, now)
		p := n.Tick(now).Pings[0]
		n.NextTick()
		now = now.Add(200 * time.Millisecond)
		a := n.Tick(now)
		is.Equal(len(a.PingReqs), 3)
		i, _ := n.Lookup(p.To.VM)
		is.Equal(i.State, StateAlive)
		n.HandleIndirectResult(p.Seq, reached)
		n.NextTick()
		now = now.Add(500 * time.Millisecond)
		n.Tick(now)
		i, _ = n.Lookup(p.To.VM)
		is.Equal(i.State == StateSuspect, !reached)
	}
}

// TestHealVerdict guards against a verdict of the other side that kills a live
// member while a cut heals.
func TestHealVerdict(t *testing.T) {
	is := is.New(t)
	all := infos(4, 2, 2)
	now := time.Unix(1e9, 0)
	n := New(Config{Self: all[0]}, now)
	n.mergeAll(all, now)
	dead := func(i Info) Info {
		i.State = StateDead
		return i
	}
	n.merge(dead(all[1]), now)
	back := all[1]
	back.Incarnation++
	n.merge(back, now)
	n.merge(dead(all[2]), now)
	i, _ := n.Lookup(all[2].VM)
	is.Equal(i.State, StateAlive)
	is.Equal(n.verify, []ident.VM{all[2].VM})
	n.merge(dead(all[2]), now.Add(time.Minute)) // the cut has healed long ago
	i, _ = n.Lookup(all[2].VM)
	is.Equal(i.State, StateDead)
}

// TestRefute guards against statements about the own VM that stand although
// they are wrong, and against a lowered incarnation.
func TestRefute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		n := New(Config{Self: infos(1, 1, 1)[0]}, now)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			before := n.self
			e := before
			e.State = State(rapid.IntRange(0, 3).Draw(t, "state"))
			e.Incarnation = ident.Incarnation(rapid.Uint64Range(0, 12).Draw(t, "incarnation"))
			n.HandlePing(Message{From: "other", Events: []Info{e}}, false, now)
			if n.self.Incarnation < before.Incarnation || n.self.State != StateAlive {
				t.Fatalf("%+v became %+v", before, n.self)
			}
			if newer(e, n.self) {
				t.Fatalf("%+v stands against %+v", e, n.self)
			}
		}
	})
}

// TestMergeOrder guards against two tables that differ for good although they
// got the same events in another order. A table that has seen a member come
// back may hold for live what the other one holds for dead, but then it has
// to verify that member.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := infos(4, 2, 1)
		now := time.Unix(1e9, 0)
		a, b := New(Config{Self: all[0]}, now), New(Config{Self: all[0]}, now)
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Info {
			i := all[rapid.IntRange(1, 3).Draw(t, "vm")]
			i.State = State(rapid.IntRange(0, 3).Draw(t, "state"))
			i.Incarnation = ident.Incarnation(rapid.Uint64Range(1, 3).Draw(t, "incarnation"))
			return i
		}), 1, 12).Draw(t, "list")
		for _, n := range []*Node{a, b} {
			n.mergeAll(all, now) // both know everyone
		}
		for _, e := range events {
			a.merge(e, now)
		}
		for _, e := range rapid.Permutation(events).Draw(t, "order") {
			b.merge(e, now)
		}
		for i, x := range a.Members() {
			y := b.Members()[i]
			switch {
			case x == y:
			case !live(x) && live(y) && slices.Contains(b.verify, y.VM):
			case live(x) && !live(y) && slices.Contains(a.verify, x.VM):
			default:
				t.Fatalf("%v and %v", x, y)
			}
		}
		if fmt.Sprint(a.Members()) == fmt.Sprint(b.Members()) && a.hash != b.hash {
			t.Fatalf("the same members have the hashes %x and %x", a.hash, b.hash)
		}
	})
}

// TestPiggyback guards against events that are sent more than 3·log2 N times.
func TestPiggyback(t *testing.T) {
	is := is.New(t)
	all := infos(9, 3, 2)
	now := time.Unix(1e9, 0)
	n := New(Config{Self: all[0]}, now)
	n.mergeAll(all, now)
	clear(n.queue)
	e := all[1]
	e.State = StateLeaving
	n.merge(e, now)
	sent := 0
	for range 100 {
		sent += len(n.message(all[2].VM).Events)
	}
	is.Equal(sent, 3*4) // log2 of 9, rounded up, is 4
}

// TestRelays guards against a leaving VM as relay while another one stays.
func TestRelays(t *testing.T) {
	is := is.New(t)
	all := infos(9, 3, 2)
	now := time.Unix(1e9, 0)
	n := New(Config{Self: all[0]}, now)
	n.mergeAll(all, now)
	first := n.RelayOrder("region-0")[0]
	i, _ := n.Lookup(first)
	i.State = StateLeaving
	if first == all[0].VM {
		n.SetLeaving(now)
	} else {
		n.merge(i, now)
	}
	order := n.RelayOrder("region-0")
	is.Equal(order[len(order)-1], first)
	is.True(len(n.RelayOrder("region-1")) > 0)
}
