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

// turn is how long a VM keeps a slot that others wait for. A move leaves the slot
// idle for a statement's rest and three messages; shorter turns spend too much of
// the slots on that. A turn is at least farTurn round trips to the VM.
const (
	turn    = 60 * time.Millisecond
	farTurn = 3
)

// maxCredit bounds what a VM can save up.
const maxCredit = 1.0

// Sequence numbers the loans of a gate.
type Sequence uint64

// WorkspaceDemand is the demand of one workspace at one VM.
type WorkspaceDemand struct {
	Workspace ident.Workspace
	// Weight of the workspace; 0 stands for 1.
	Weight uint32
	// Waiting is the number of queued requests, InUse that of running ones.
	Waiting, InUse int
}

// Demand is what a VM tells the gate.
type Demand struct {
	VM         ident.VM
	InUse      int
	Workspaces []WorkspaceDemand
	// Confirmed is the last loan that the VM received; 0 means none.
	Confirmed Sequence
	// Number counts the VM's demands.
	Number uint64
}

// Loan lets a VM use slots for Lifetime from when it sent the demand with that
// Number, the last one that the gate had.
type Loan struct {
	VM           ident.VM
	Slots        int
	Sequence     Sequence
	DemandNumber uint64
	// Contended tells that other VMs wait, so that the end of the demand matters.
	Contended bool
}

// promise is a loan that the VM may still act upon.
type promise struct {
	seq   Sequence
	slots int
	at    time.Time
	until time.Time
}

type vmState struct {
	demand   Demand
	heard    time.Time
	promises []promise
	// answered tells that the last demand has got its loan.
	answered bool
	sent     int
	// keep is until when the VM keeps the slots that it needs.
	keep time.Time
	trip time.Duration
	last promise
}

// Gate divides the slots of one target. The zero Gate has no slots.
type Gate struct {
	slots int
	vms   map[ident.VM]*vmState
	// credit is the slot time that a VM was due and did not have, in seconds.
	credit    map[ident.VM]float64
	due       map[ident.VM]float64
	plan      map[ident.VM]int
	contended bool
	last      time.Time
	seq       Sequence
}

// SetSlots sets the number of slots. After a decrease loans are recalled.
func (g *Gate) SetSlots(n int) { g.slots = n }

// settle is how long a new gate lends only the slots that run already. The VMs
// that had loans from a former gate tell it what they use in that time. Waiting
// for a whole Lifetime would leave a target idle after each change of its gate.
const settle = 100 * time.Millisecond

// StartHandover makes the gate count all slots as lent for a short time from now on,
// as a former gate's loans may still be in use.
func (g *Gate) StartHandover(now time.Time) {
	g.init()
	g.vms[""] = &vmState{heard: now, answered: true, promises: []promise{{slots: g.slots, until: now.Add(settle)}}}
}

func (g *Gate) init() {
	if g.vms == nil {
		g.vms = map[ident.VM]*vmState{}
		g.credit = map[ident.VM]float64{}
	}
}

// SetDemand takes the demand of a VM in place of its former one.
func (g *Gate) SetDemand(d Demand, now time.Time) {
	g.init()
	b := g.vms[d.VM]
	if b == nil {
		b = &vmState{}
		g.vms[d.VM] = b
	}
	b.demand, b.heard, b.answered = d, now, false
	if b.last.seq != 0 && d.Confirmed == b.last.seq {
		b.trip, b.last.seq = now.Sub(b.last.at), 0
	}
	// Loans before the confirmed one can't be acted upon any more.
	b.promises = slices.DeleteFunc(b.promises, func(p promise) bool { return p.seq < d.Confirmed })
}

// DropDemand forgets the demand of a VM that is gone. Its loans count until they end.
func (g *Gate) DropDemand(vm ident.VM) {
	if b := g.vms[vm]; b != nil {
		b.demand, b.answered = Demand{VM: vm, Number: b.demand.Number}, true
	}
}

// Idle reports whether no VM has a demand or a loan.
func (g *Gate) Idle() bool { return len(g.vms) == 0 }

// Assign divides the slots and returns the loans to send: an answer for each
// new demand, and the recalls and raises for others.
func (g *Gate) Assign(now time.Time) []Loan {
	g.expire(now)
	g.charge(now)
	g.due = g.entitle()
	g.plan = g.divide(g.due)
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

func (g *Gate) lend(vm ident.VM, b *vmState, n int, now time.Time) Loan {
	g.seq++
	if n > b.sent {
		b.keep = now.Add(max(turn, farTurn*min(b.trip, Lifetime/10)))
	}
	if n != b.sent {
		b.last = promise{seq: g.seq, at: now}
	}
	// A later loan of as many slots outlasts an earlier one.
	b.promises = slices.DeleteFunc(b.promises, func(p promise) bool { return p.slots <= n })
	b.promises = append(b.promises, promise{seq: g.seq, slots: n, until: now.Add(Lifetime)})
	b.answered, b.sent = true, n
	return Loan{VM: vm, Slots: n, Sequence: g.seq, DemandNumber: b.demand.Number, Contended: g.contended}
}

// held is the greatest number of slots that the VM may be using.
func (b *vmState) held() int {
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
		b.demand = Demand{VM: vm, Number: b.demand.Number}
		if len(b.promises) == 0 {
			delete(g.vms, vm)
		}
	}
}

// charge adds to each VM's credit what it was due since the last call, less what
// it had.
func (g *Gate) charge(now time.Time) {
	d := min(max(now.Sub(g.last), 0), Lifetime).Seconds()
	g.last = now
	for vm := range g.credit {
		if g.vms[vm] == nil {
			delete(g.credit, vm)
		}
	}
	sum := 0.0
	for vm, due := range g.due {
		if b := g.vms[vm]; b != nil {
			g.credit[vm] += (due - float64(b.held())) * d
			sum += g.credit[vm]
		}
	}
	// Slots on their way between VMs would raise every credit to the bound.
	mean := sum / float64(max(1, len(g.credit)))
	for vm, c := range g.credit {
		g.credit[vm] = max(-maxCredit, min(c-mean, maxCredit))
	}
}

func (g *Gate) totals() map[ident.VM]int {
	want := maps.Clone(g.plan)
	g.contended = false
	for vm, n := range g.plan {
		if n < g.vms[vm].want() {
			g.contended = true
		}
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
		if vm != "" && len(g.vms[vm].demand.Workspaces) > 0 {
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
