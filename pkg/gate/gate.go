package gate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Lifetime is how long a loan may be used, and how long a demand stays valid
// unless it is repeated.
const Lifetime = time.Second

// minHold is the minimum time for which a VM keeps a slot that other VMs wait
// for. It is raised to minHoldRoundTrips round trips for distant VMs. Moving a
// slot leaves it idle for the rest of a statement and three messages; a shorter
// time would spend too much of the slots' capacity on moves.
const (
	minHold           = 60 * time.Millisecond
	minHoldRoundTrips = 3
)

// maxServiceLag bounds the service lag of a VM in both directions, in slot
// seconds.
const maxServiceLag = 1.0

// Sequence is the sequence number of a loan; a gate numbers its loans from 1.
type Sequence uint64

// WorkspaceDemand is the demand of one workspace at one VM.
type WorkspaceDemand struct {
	Workspace ident.Workspace
	// Weight of the workspace; 0 stands for 1.
	Weight uint32
	// Waiting is the number of queued requests, InUse that of running ones.
	Waiting, InUse int
}

// Demand is a VM's report to the gate of the slots that it uses and needs.
type Demand struct {
	VM         ident.VM
	InUse      int
	Workspaces []WorkspaceDemand
	// Confirmed is the sequence number of the last loan that the VM accepted; 0
	// means none.
	Confirmed Sequence
	// Number counts the VM's demands.
	Number uint64
}

// Loan lets a VM use slots for Lifetime, counted from the time at which the VM
// sent the demand with the number DemandNumber: the last one that the gate has
// received.
type Loan struct {
	VM           ident.VM
	Slots        int
	Sequence     Sequence
	DemandNumber uint64
	// Contended reports whether requests wait for lack of slots, so that a VM
	// should report at once when it needs fewer.
	Contended bool
}

// openLoan is a loan that the VM may still act upon: neither superseded by a
// confirmed later one nor expired.
type openLoan struct {
	seq    Sequence
	slots  int
	sentAt time.Time
	expiry time.Time
}

// vmState is what the gate knows about one VM.
type vmState struct {
	demand    Demand
	demandAt  time.Time // when demand was received
	openLoans []openLoan
	// answered reports whether a loan has been sent in answer to demand.
	answered bool
	// slots is the size of the last loan sent.
	slots int
	// holdUntil is the time up to which the VM keeps the slots that it needs.
	holdUntil time.Time
	// rtt is the time from sending a loan to receiving its confirmation.
	rtt time.Duration
	// rttSample is the last loan that changed the VM's slots. Its seq is 0 once
	// the loan has been confirmed.
	rttSample openLoan
}

// Gate divides the slots of one target. The zero Gate has no slots.
type Gate struct {
	slots int
	// vms holds the VMs with a demand or a loan. The empty name stands for the
	// loans of the previous gate.
	vms map[ident.VM]*vmState
	// serviceLag is the slot time that a VM was entitled to less what it had, in
	// slot seconds and relative to the mean of the VMs.
	serviceLag map[ident.VM]float64
	// fairShare is the max-min fair share of each VM, in fractions of slots.
	fairShare map[ident.VM]float64
	// plan is the number of slots of each VM, without the spare ones.
	plan       map[ident.VM]int
	contended  bool
	lastUpdate time.Time
	seq        Sequence
}

// SetSlots sets the number of slots. After a decrease the next call of Assign
// recalls loans.
func (g *Gate) SetSlots(n int) { g.slots = n }

// handoverPeriod is how long a new gate lends no more slots than the VMs already
// use. In that time the VMs with loans from the previous gate report what they
// use. Waiting for a whole Lifetime would leave a target idle after each change
// of its gate.
const handoverPeriod = 100 * time.Millisecond

// StartHandover makes the gate count all slots as lent for handoverPeriod from
// now on, since loans of the previous gate may still be in use.
func (g *Gate) StartHandover(now time.Time) {
	g.init()
	g.vms[""] = &vmState{demandAt: now, answered: true, openLoans: []openLoan{{slots: g.slots, expiry: now.Add(handoverPeriod)}}}
}

func (g *Gate) init() {
	if g.vms == nil {
		g.vms = map[ident.VM]*vmState{}
		g.serviceLag = map[ident.VM]float64{}
	}
}

// SetDemand replaces the demand of a VM.
func (g *Gate) SetDemand(d Demand, now time.Time) {
	g.init()
	s := g.vms[d.VM]
	if s == nil {
		s = &vmState{}
		g.vms[d.VM] = s
	}
	s.demand, s.demandAt, s.answered = d, now, false
	if s.rttSample.seq != 0 && d.Confirmed == s.rttSample.seq {
		s.rtt, s.rttSample.seq = now.Sub(s.rttSample.sentAt), 0
	}
	// The VM no longer acts upon loans that precede the confirmed one.
	s.openLoans = slices.DeleteFunc(s.openLoans, func(l openLoan) bool { return l.seq < d.Confirmed })
}

// DropDemand clears the demand of a VM that has disconnected. Its loans count
// until they expire.
func (g *Gate) DropDemand(vm ident.VM) {
	if s := g.vms[vm]; s != nil {
		s.demand, s.answered = Demand{VM: vm, Number: s.demand.Number}, true
	}
}

// Idle reports whether no VM has a demand or a loan.
func (g *Gate) Idle() bool { return len(g.vms) == 0 }

// Assign divides the slots and returns the loans to send: an answer to each new
// demand, and a loan to every other VM whose number of slots changes.
func (g *Gate) Assign(now time.Time) []Loan {
	g.expire(now)
	g.updateServiceLag(now)
	g.fairShare = g.fairShares()
	g.plan = g.planSlots(g.fairShare)
	allocation := g.allocate()
	free := g.slots
	for _, s := range g.vms {
		free -= s.held()
	}
	var out []Loan
	for _, vm := range g.sendOrder(allocation) {
		s := g.vms[vm]
		n := allocation[vm]
		if held := s.held(); n > held {
			n = held + max(0, min(n-held, free))
			free -= n - held
		}
		if s.answered && n == s.slots {
			continue
		}
		out = append(out, g.lend(vm, s, n, now))
	}
	return out
}

// lend records a loan of n slots and returns it.
func (g *Gate) lend(vm ident.VM, s *vmState, n int, now time.Time) Loan {
	g.seq++
	if n > s.slots {
		s.holdUntil = now.Add(max(minHold, minHoldRoundTrips*min(s.rtt, Lifetime/10)))
	}
	if n != s.slots {
		s.rttSample = openLoan{seq: g.seq, sentAt: now}
	}
	// The new loan expires later than earlier ones of at most as many slots, so
	// those no longer affect held.
	s.openLoans = slices.DeleteFunc(s.openLoans, func(l openLoan) bool { return l.slots <= n })
	s.openLoans = append(s.openLoans, openLoan{seq: g.seq, slots: n, expiry: now.Add(Lifetime)})
	s.answered, s.slots = true, n
	return Loan{VM: vm, Slots: n, Sequence: g.seq, DemandNumber: s.demand.Number, Contended: g.contended}
}

// held returns the greatest number of slots that the VM may be using.
func (s *vmState) held() int {
	n := 0
	if s.demand.VM != "" {
		n = s.demand.InUse
	}
	for _, l := range s.openLoans {
		n = max(n, l.slots)
	}
	return n
}

// expire removes expired loans and demands, and VMs that have neither.
func (g *Gate) expire(now time.Time) {
	for vm, s := range g.vms {
		s.openLoans = slices.DeleteFunc(s.openLoans, func(l openLoan) bool { return !now.Before(l.expiry) })
		if now.Sub(s.demandAt) < Lifetime {
			continue
		}
		s.demand = Demand{VM: vm, Number: s.demand.Number}
		if len(s.openLoans) == 0 {
			delete(g.vms, vm)
		}
	}
}

// updateServiceLag adds to each VM's service lag the slot time that it was
// entitled to since the last call, less the slot time that it held.
func (g *Gate) updateServiceLag(now time.Time) {
	d := min(max(now.Sub(g.lastUpdate), 0), Lifetime).Seconds()
	g.lastUpdate = now
	for vm := range g.serviceLag {
		if g.vms[vm] == nil {
			delete(g.serviceLag, vm)
		}
	}
	sum := 0.0
	for vm, share := range g.fairShare {
		if s := g.vms[vm]; s != nil {
			g.serviceLag[vm] += (share - float64(s.held())) * d
			sum += g.serviceLag[vm]
		}
	}
	// Subtracting the mean keeps slots in transit between VMs, which nobody holds,
	// from driving every lag to its bound.
	mean := sum / float64(max(1, len(g.serviceLag)))
	for vm, lag := range g.serviceLag {
		g.serviceLag[vm] = max(-maxServiceLag, min(lag-mean, maxServiceLag))
	}
}

// allocate returns the number of slots of each VM, spare ones included, and
// updates contended.
func (g *Gate) allocate() map[ident.VM]int {
	allocation := maps.Clone(g.plan)
	g.contended = false
	for vm, n := range g.plan {
		if n < g.vms[vm].demanded() {
			g.contended = true
		}
	}
	g.addSpare(allocation)
	return allocation
}

// addSpare divides the slots that no request needs among the VMs with a recent
// demand, so that their next statement needs no round trip to the gate.
func (g *Gate) addSpare(allocation map[ident.VM]int) {
	spare := g.slots
	for _, n := range allocation {
		spare -= n
	}
	var active []ident.VM
	for _, vm := range slices.Sorted(maps.Keys(g.vms)) {
		if vm != "" && len(g.vms[vm].demand.Workspaces) > 0 {
			active = append(active, vm)
		}
	}
	for i := 0; i < spare && len(active) > 0; i++ {
		allocation[active[i%len(active)]]++
	}
}

// sendOrder returns the VMs in ascending order of their gain of slots, so that
// recalls are sent first. Ties are broken by name.
func (g *Gate) sendOrder(allocation map[ident.VM]int) []ident.VM {
	var out []ident.VM
	for vm := range g.vms {
		if vm != "" {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b ident.VM) int {
		return cmp.Or(cmp.Compare(allocation[a]-g.vms[a].held(), allocation[b]-g.vms[b].held()), cmp.Compare(a, b))
	})
	return out
}
