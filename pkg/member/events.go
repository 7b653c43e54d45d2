package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilspan.example/pkg/ident"
)

// minEvents is the number of events on a message while few are queued.
const minEvents = 8

func byVM(a, b Info) int { return cmp.Compare(a.VM, b.VM) }

func hashVM(vm ident.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// hashInfo is 0 for dead members: VMs forget them at different times.
func hashInfo(i Info) uint64 {
	if i.State == StateDead {
		return 0
	}
	b := append([]byte(i.VM), 0, byte(i.State))
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(i.Incarnation)))
}

// strength orders the states of one incarnation: a stronger statement replaces
// a weaker one.
func strength(s State) int {
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

func newer(a, b Info) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return strength(a.State) > strength(b.State)
}

// merge takes one event and queues it for others when it is news.
func (n *Node) merge(i Info, now time.Time) {
	if i.VM == "" {
		return
	}
	if i.VM == n.self.VM {
		n.refute(i, now)
		return
	}
	e := n.table[i.VM]
	if e != nil && !newer(i, e.info) {
		return
	}
	if e == nil && i.State == StateDead {
		// A VM that was never known needs no obituary.
		return
	}
	if e != nil && live(e.info) && !live(i) && now.Before(n.healUntil) {
		// The other side of a cut that heals may still pass on its verdicts.
		n.verify = appendNew(n.verify, i.VM)
		return
	}
	if e != nil && !live(e.info) && live(i) {
		n.heal(now)
	}
	n.accept(i, now)
}

// accept takes a statement and queues it for others.
func (n *Node) accept(i Info, now time.Time) {
	n.put(i, now)
	n.queue[i.VM] = 0
}

// heal notes that a dead member came back: others may have been declared dead
// for the same reason. Their deaths are not passed on any more.
func (n *Node) heal(now time.Time) {
	n.healUntil = now.Add(n.cfg.HealPeriod)
	for vm := range n.queue {
		if e := n.table[vm]; e != nil && !live(e.info) {
			delete(n.queue, vm)
		}
	}
}

// refute answers a statement about this VM that is wrong.
func (n *Node) refute(i Info, now time.Time) {
	if i.Incarnation < n.self.Incarnation {
		return
	}
	if i.Address != n.self.Address && live(i) {
		n.conflicts++
	}
	if i.Incarnation == n.self.Incarnation && i.State == n.self.State {
		return
	}
	n.announce(i.Incarnation+1, n.self.State, now)
}

// mergeAll takes the list of all members of a peer. Deaths in it are verified
// by a ping, because the peer may come from the other side of a cut.
func (n *Node) mergeAll(list []Info, now time.Time) {
	for _, i := range list {
		if i.State != StateDead || i.VM == n.self.VM {
			n.mergeListed(i, now)
			continue
		}
		e := n.table[i.VM]
		switch {
		case e == nil:
			n.put(i, now)
		case live(e.info):
			n.verify = appendNew(n.verify, i.VM)
		}
	}
}

// mergeListed verifies a member that the peer holds for live and this VM for
// dead in the same incarnation; only that member itself can refute its death.
func (n *Node) mergeListed(i Info, now time.Time) {
	e := n.table[i.VM]
	if e != nil && !live(e.info) && !newer(i, e.info) {
		n.verify = appendNew(n.verify, i.VM)
		return
	}
	n.merge(i, now)
}

// events returns events, those first that were sent least, and counts them as
// sent. The number grows with the queue, up to MaxEvents: after a healed cut
// there are as many events as members.
func (n *Node) events() []Info {
	if len(n.queue) == 0 {
		return nil
	}
	type row struct {
		vm   ident.VM
		sent int
	}
	rows := make([]row, 0, len(n.queue))
	for vm, sent := range n.queue {
		rows = append(rows, row{vm, sent})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.vm, b.vm))
	})
	limit := n.RetransmitLimit()
	most := min(n.cfg.MaxEvents, max(minEvents, len(rows)/4))
	var out []Info
	for _, r := range rows[:min(len(rows), most)] {
		if i, ok := n.Lookup(r.vm); ok {
			out = append(out, i)
		}
		n.queue[r.vm]++
		if n.queue[r.vm] >= limit {
			delete(n.queue, r.vm)
		}
	}
	return out
}

// message builds a message to a VM. It tells the VM when it is held for
// suspect or dead, so that it can refute. A dead one gets nothing else: it may
// be on the other side of a cut, where the deaths of its side are wrong.
func (n *Node) message(to ident.VM) Message {
	m := Message{From: n.self.VM, TableHash: n.hash}
	e := n.table[to]
	if e == nil || live(e.info) {
		m.Events = n.events()
	}
	if e != nil && (e.info.State == StateSuspect || e.info.State == StateDead) {
		m.Events = n.with(m.Events, e.info)
		m.Events = n.with(m.Events, n.self)
	}
	return m
}

func (*Node) with(list []Info, i Info) []Info {
	for _, have := range list {
		if have.VM == i.VM {
			return list
		}
	}
	return append(list, i)
}
