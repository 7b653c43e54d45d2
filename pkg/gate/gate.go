package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Lifetime is how long a loan may be used, and how long a demand counts that is
// not repeated.
const Lifetime = time.Second

// turn is the slot time by which a claimant must have had less than the present
// holder before a slot moves to it. Shorter turns cost a message and a round
// trip for each statement.
const turn = 50 * time.Millisecond

// memory is the time over which slot time is forgotten by half.
const memory = 5 * time.Second

// Sequence numbers the loans of a gate.
type Sequence uint64

// Claim is the demand of one workspace at one VM.
type Claim struct {
	Workspace ident.Workspace
	// Weight of the workspace; 0 stands for 1.
	Weight uint32
	// Waiting is the number of queued requests, InUse that of running ones.
	Waiting, InUse int
}

// Demand is what a VM tells the gate.
type Demand struct {
	VM     ident.VM
	InUse  int
	Claims []Claim
	// Confirmed is the last loan that the VM received; 0 means none.
	Confirmed Sequence
}

// Loan lets a VM use slots for Lifetime from when it sent its demand.
type Loan struct {
	VM       ident.VM
	Slots    int
	Sequence Sequence
}

// promise is a loan that the VM may still act upon.
type promise struct {
	seq   Sequence
	slots int
	until time.Time
}

type borrower struct {
	demand   Demand
	heard    time.Time
	promises []promise
	// answered tells that the last demand has got its loan.
	answered bool
	sent     int
}

// Gate divides the slots of one target. The zero Gate has no slots.
type Gate struct {
	slots int
	vms   map[ident.VM]*borrower
	used  map[ident.Workspace]float64 // slot time, decaying
	usedV map[claimKey]float64
	last  time.Time
	plan  map[claimKey]int
	seq   Sequence
}

type claimKey struct {
	ws ident.Workspace
	vm ident.VM
}

// SetSlots sets the number of slots. After a decrease loans are recalled.
func (g *Gate) SetSlots(n int) { g.slots = n }

// StartAt makes the gate count all slots as lent for one Lifetime from now on,
// as a former gate's loans may still be in use.
func (g *Gate) StartAt(now time.Time) {
	g.init()
	g.vms[""] = &borrower{heard: now, answered: true, promises: []promise{{slots: g.slots, until: now.Add(Lifetime)}}}
}

func (g *Gate) init() {
	if g.vms == nil {
		g.vms = map[ident.VM]*borrower{}
		g.used = map[ident.Workspace]float64{}
		g.usedV = map[claimKey]float64{}
	}
}

// Demand takes the demand of a VM in place of its former one.
func (g *Gate) Demand(d Demand, now time.Time) {
	g.init()
	b := g.vms[d.VM]
	if b == nil {
		b = &borrower{}
		g.vms[d.VM] = b
	}
	b.demand, b.heard, b.answered = d, now, false
	// Loans before the confirmed one can't be acted upon any more.
	b.promises = slices.DeleteFunc(b.promises, func(p promise) bool { return p.seq < d.Confirmed })
}

// Drop forgets the demand of a VM that is gone. Its loans count until they end.
func (g *Gate) Drop(vm ident.VM) {
	if b := g.vms[vm]; b != nil {
		b.demand, b.answered = Demand{VM: vm}, true
	}
}

// Idle reports whether no VM has a demand or a loan.
func (g *Gate) Idle() bool { return len(g.vms) == 0 }

// Assign divides the slots and returns the loans to send: an answer for each
// new demand, and the recalls and raises for others.
func (g *Gate) Assign(now time.Time) []Loan {
	g.expire(now)
	g.charge(now)
	g.plan = g.divide()
	want := g.totals()
	free := g.slots
	for _, b := range g.vms {
		free -= b.held()
	}
	var out []Loan
	for _, vm := range g.order(want) {
		b := g.vms[vm]
		n := want[vm]
		if held := b.held(); n > held {
			n = held + max(0, min(n-held, free))
			free -= n - held
		}
		if b.answered && n == b.sent {
			continue
		}
		out = append(out, g.lend(vm, b, n, now))
	}
	return out
}

func (g *Gate) lend(vm ident.VM, b *borrower, n int, now time.Time) Loan {
	g.seq++
	// A later loan of as many slots outlasts an earlier one.
	b.promises = slices.DeleteFunc(b.promises, func(p promise) bool { return p.slots <= n })
	b.promises = append(b.promises, promise{g.seq, n, now.Add(Lifetime)})
	b.answered, b.sent = true, n
	return Loan{VM: vm, Slots: n, Sequence: g.seq}
}

// held is the greatest number of slots that the VM may be using.
func (b *borrower) held() int {
	n := 0
	if b.demand.VM != "" {
		n = b.demand.InUse
	}
	for _, p := range b.promises {
		n = max(n, p.slots)
	}
	return n
}

func (g *Gate) expire(now time.Time) {
	for vm, b := range g.vms {
		b.promises = slices.DeleteFunc(b.promises, func(p promise) bool { return !now.Before(p.until) })
		if now.Sub(b.heard) < Lifetime {
			continue
		}
		b.demand = Demand{VM: vm}
		if len(b.promises) == 0 {
			delete(g.vms, vm)
		}
	}
}

// charge adds the slot time since the last call to those who had the slots.
func (g *Gate) charge(now time.Time) {
	d := now.Sub(g.last)
	g.last = now
	if d <= 0 || d > Lifetime {
		d = 0
	}
	keep := 1 - 0.5*d.Seconds()/memory.Seconds()
	for k, v := range g.usedV {
		if v *= keep; v < 1e-4 {
			delete(g.usedV, k)
			continue
		}
		g.usedV[k] = v
	}
	for ws, v := range g.used {
		if v *= keep; v < 1e-4 {
			delete(g.used, ws)
			continue
		}
		g.used[ws] = v
	}
	for k, n := range g.plan {
		t := float64(n) * d.Seconds()
		g.used[k.ws] += t
		g.usedV[k] += t
	}
}

func (g *Gate) totals() map[ident.VM]int {
	want := map[ident.VM]int{}
	for k, n := range g.plan {
		want[k.vm] += n
	}
	g.spread(want)
	return want
}

// spread lends the slots that nobody waits for to the VMs heard of lately, so
// that their next statement needs no round trip.
func (g *Gate) spread(want map[ident.VM]int) {
	spare := g.slots
	for _, n := range want {
		spare -= n
	}
	var active []ident.VM
	for _, vm := range slices.Sorted(maps.Keys(g.vms)) {
		if vm != "" && len(g.vms[vm].demand.Claims) > 0 {
			active = append(active, vm)
		}
	}
	for i := 0; i < spare && len(active) > 0; i++ {
		want[active[i%len(active)]]++
	}
}

// order lists the VMs that lose slots before those that gain, so that recalls go
// out first; ties by name.
func (g *Gate) order(want map[ident.VM]int) []ident.VM {
	var out []ident.VM
	for vm := range g.vms {
		if vm != "" {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b ident.VM) int {
		return cmp.Or(cmp.Compare(want[a]-g.vms[a].held(), want[b]-g.vms[b].held()), cmp.Compare(a, b))
	})
	return out
}
