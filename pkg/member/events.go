package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilspan.example/pkg/ident"
)

// minEvents is the limit of events in a message while the queue is short.
const minEvents = 8

func compareVM(a, b Info) int { return cmp.Compare(a.VM, b.VM) }

func hashVM(vm ident.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// hashInfo returns 0 for dead members, which VMs remove at different times.
func hashInfo(i Info) uint64 {
	if i.State == StateDead {
		return 0
	}
	b := append([]byte(i.VM), 0, byte(i.State))
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(i.Incarnation)))
}

// precedence orders the states of one incarnation: an event with a state of
// higher precedence replaces one of lower precedence.
func precedence(s State) int {
	switch s {
	case StateLeaving:
		return 1
	case StateSuspect:
		return 2
	case StateDead:
		return 3
	}
	return 0
}

func supersedes(a, b Info) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return precedence(a.State) > precedence(b.State)
}

// merge applies one event, and queues it for other VMs if it supersedes the entry.
func (n *Node) merge(i Info, now time.Time) {
	if i.VM == "" {
		return
	}
	if i.VM == n.self.VM {
		n.refute(i, now)
		return
	}
	e := n.table[i.VM]
	if e != nil && !supersedes(i, e.info) {
		return
	}
	if e == nil && i.State == StateDead {
		// The death of an unknown VM changes nothing.
		return
	}
	if e != nil && live(e.info) && !live(i) && now.Before(n.healUntil) {
		// While a partition heals, its other side may still spread deaths that it
		// declared during the partition.
		n.toVerify = appendNew(n.toVerify, i.VM)
		return
	}
	if e != nil && !live(e.info) && live(i) {
		n.startHealPeriod(now)
	}
	n.applyAndQueue(i, now)
}

// applyAndQueue applies an event and queues it for other VMs.
func (n *Node) applyAndQueue(i Info, now time.Time) {
	n.setEntry(i, now)
	n.eventQueue[i.VM] = 0
}

// startHealPeriod is called when a dead member came back. Other members may have
// been declared dead for the same reason, so their deaths are no longer sent.
func (n *Node) startHealPeriod(now time.Time) {
	n.healUntil = now.Add(n.cfg.HealPeriod)
	for vm := range n.eventQueue {
		if e := n.table[vm]; e != nil && !live(e.info) {
			delete(n.eventQueue, vm)
		}
	}
}

// refute announces a higher incarnation when an event about this VM is wrong.
func (n *Node) refute(i Info, now time.Time) {
	if i.Incarnation < n.self.Incarnation {
		return
	}
	if i.Address != n.self.Address && live(i) {
		n.conflictCount++
	}
	if i.Incarnation == n.self.Incarnation && i.State == n.self.State {
		return
	}
	n.announce(i.Incarnation+1, n.self.State, now)
}

// mergeAll merges a peer's list of all members. Deaths in it are verified by a
// ping, because the peer may be from the other side of a partition.
func (n *Node) mergeAll(list []Info, now time.Time) {
	for _, i := range list {
		if i.State != StateDead || i.VM == n.self.VM {
			n.mergeListEntry(i, now)
			continue
		}
		e := n.table[i.VM]
		switch {
		case e == nil:
			n.setEntry(i, now)
		case live(e.info):
			n.toVerify = appendNew(n.toVerify, i.VM)
		}
	}
}

// mergeListEntry merges one member of a peer's list. A member that this VM
// considers dead is verified by a ping unless the entry supersedes that death,
// since only the member itself can refute it.
func (n *Node) mergeListEntry(i Info, now time.Time) {
	e := n.table[i.VM]
	if e != nil && !live(e.info) && !supersedes(i, e.info) {
		n.toVerify = appendNew(n.toVerify, i.VM)
		return
	}
	n.merge(i, now)
}

// takeEvents returns the queued events that were sent least often and counts them
// as sent. Their number grows with the queue, up to MaxEvents, because a healed
// partition leaves as many events as members.
func (n *Node) takeEvents() []Info {
	if len(n.eventQueue) == 0 {
		return nil
	}
	type queued struct {
		vm   ident.VM
		sent int
	}
	queue := make([]queued, 0, len(n.eventQueue))
	for vm, sent := range n.eventQueue {
		queue = append(queue, queued{vm, sent})
	}
	slices.SortFunc(queue, func(a, b queued) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.vm, b.vm))
	})
	limit := n.RetransmitLimit()
	count := min(n.cfg.MaxEvents, max(minEvents, len(queue)/4))
	var out []Info
	for _, r := range queue[:min(len(queue), count)] {
		if i, ok := n.Lookup(r.vm); ok {
			out = append(out, i)
		}
		n.eventQueue[r.vm]++
		if n.eventQueue[r.vm] >= limit {
			delete(n.eventQueue, r.vm)
		}
	}
	return out
}

// buildMessage returns a message to a VM. A VM that is considered suspect or dead
// is told so, to let it refute that. A dead one gets no queued events: it may be
// on the other side of a partition, where the deaths declared on this side are
// wrong.
func (n *Node) buildMessage(to ident.VM) Message {
	m := Message{From: n.self.VM, TableHash: n.tableHash}
	e := n.table[to]
	if e == nil || live(e.info) {
		m.Events = n.takeEvents()
	}
	if e != nil && (e.info.State == StateSuspect || e.info.State == StateDead) {
		m.Events = n.appendMissing(m.Events, e.info)
		m.Events = n.appendMissing(m.Events, n.self)
	}
	return m
}

// appendMissing appends i unless the list has an event about the same VM.
func (*Node) appendMissing(list []Info, i Info) []Info {
	for _, have := range list {
		if have.VM == i.VM {
			return list
		}
	}
	return append(list, i)
}
