package member

import (
	"maps"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// probe is a ping that has not been answered yet.
type probe struct {
	target Info
	full   bool
	// deadline is the end of the present stage, direct or indirect.
	deadline time.Time
	indirect bool
}

// NextTick returns the latest time at which Tick has to be called.
func (n *Node) NextTick() time.Time {
	next := n.nextPing
	for _, p := range n.pendingProbes {
		if p.deadline.Before(next) {
			next = p.deadline
		}
	}
	n.tickDue = next
	return next
}

// Tick processes the timeouts and suspicions that have expired and starts the
// pings that are due.
func (n *Node) Tick(now time.Time) Actions {
	n.handlePause(now)
	var a Actions
	for _, seq := range slices.Sorted(maps.Keys(n.pendingProbes)) {
		n.advanceProbe(seq, now, &a)
	}
	if now.Before(n.nextPing) {
		return a
	}
	n.nextPing = now.Add(n.cfg.ProtocolPeriod)
	n.expireEntries(now)
	n.pingLink(now, &a)
	n.pingOwnSuspects(now, &a)
	n.requestFullList(now, &a)
	n.pingUnreached(now, &a)
	return a
}

// handlePause discards the outstanding pings when this process was not running
// while their answers were due, since their timeouts would raise suspicions of
// live VMs. It extends the deadlines of suspicions by the pause.
func (n *Node) handlePause(now time.Time) {
	late := now.Sub(n.tickDue)
	if n.tickDue.IsZero() || late < n.cfg.PingTimeout {
		return
	}
	n.tickDue = time.Time{}
	clear(n.pendingProbes)
	for _, e := range n.table {
		if e.info.State == StateSuspect {
			e.deadline = e.deadline.Add(late)
		}
	}
}

// advanceProbe moves a probe whose deadline has passed to its next stage: from
// direct to indirect, and from indirect to a suspicion.
func (n *Node) advanceProbe(seq uint64, now time.Time, a *Actions) {
	p := n.pendingProbes[seq]
	if now.Before(p.deadline) {
		return
	}
	e := n.table[p.target.VM]
	if p.indirect || e == nil || !live(e.info) {
		delete(n.pendingProbes, seq)
		if e != nil && e.info.State != StateDead && e.info.State != StateSuspect {
			n.suspect(e, now)
		}
		return
	}
	p.indirect = true
	p.deadline = now.Add(n.cfg.IndirectTimeout)
	for _, via := range n.indirectProbers(p.target.VM) {
		a.PingReqs = append(a.PingReqs, PingReq{Seq: seq, Via: via, Target: p.target})
	}
}

// indirectProbers returns randomly chosen links for indirect probes of a VM.
func (n *Node) indirectProbers(target ident.VM) []Info {
	var out []Info
	links := n.Links()
	for _, i := range n.rng.Perm(len(links)) {
		if l := links[i]; l.VM != target && l.State != StateSuspect && len(out) < n.cfg.IndirectProbes {
			out = append(out, l)
		}
	}
	return out
}

func (n *Node) suspect(e *entry, now time.Time) {
	i := e.info
	i.State = StateSuspect
	n.merge(i, now)
	e.ownSuspicion = true
	e.deadline = now.Add(n.ownSuspicionPeriod())
}

// expireEntries declares suspects dead and removes dead members when their
// deadlines have passed.
func (n *Node) expireEntries(now time.Time) {
	expired := func(e *entry) bool { return e.info.State >= StateSuspect && !now.Before(e.deadline) }
	for _, e := range n.selectEntries(expired) {
		switch e.info.State {
		case StateSuspect:
			i := e.info
			i.State = StateDead
			n.applyAndQueue(i, now)
		case StateDead:
			delete(n.table, e.info.VM)
			delete(n.eventQueue, e.info.VM)
			n.recordChange(now)
		}
	}
}

// pingLink pings the next link. Each round visits the links in a new random order.
func (n *Node) pingLink(now time.Time, a *Actions) {
	n.updateLinks()
	for len(n.unpingedLinks) > 0 || len(n.links) > 0 {
		if len(n.unpingedLinks) == 0 {
			n.unpingedLinks = slices.Clone(n.links)
			n.rng.Shuffle(len(n.unpingedLinks), func(i, j int) { n.unpingedLinks[i], n.unpingedLinks[j] = n.unpingedLinks[j], n.unpingedLinks[i] })
		}
		vm := n.unpingedLinks[0]
		n.unpingedLinks = n.unpingedLinks[1:]
		if slices.Contains(n.links, vm) {
			n.startPing(n.table[vm].info, false, now, a)
			return
		}
	}
}

// pingOwnSuspects pings the VMs that this one suspects, which tells them of the
// suspicion and lets them refute it.
func (n *Node) pingOwnSuspects(now time.Time, a *Actions) {
	for _, e := range n.selectEntries(func(e *entry) bool { return e.ownSuspicion && e.info.State == StateSuspect }) {
		n.startPing(e.info, false, now, a)
	}
}

// requestFullList asks a peer whose table differs for a list of all members.
func (n *Node) requestFullList(now time.Time, a *Actions) {
	e := n.table[n.fullRequestPeer]
	n.fullRequestPeer = ""
	if e != nil && live(e.info) {
		n.fullRequestedAt = now
		n.startPing(e.info, true, now, a)
	}
}

// pingUnreached pings one member whose state has to be verified, or else, when a
// retry is due, one dead member or seed.
func (n *Node) pingUnreached(now time.Time, a *Actions) {
	if len(n.toVerify) > 0 {
		vm := n.toVerify[0]
		n.toVerify = n.toVerify[1:]
		if e := n.table[vm]; e != nil {
			n.startPing(e.info, e.info.Incarnation == 0, now, a)
		}
		return
	}
	alone := n.otherLiveCount == 0
	healing := now.Before(n.healUntil)
	if !alone && !healing && now.Before(n.nextDeadRetry) {
		return
	}
	n.nextDeadRetry = now.Add(n.cfg.DeadRetryInterval)
	candidates := n.unreachedPeers()
	if len(candidates) > 0 {
		// While a partition heals, full lists are not requested: they would be
		// sent between its sides many times.
		n.startPing(candidates[n.rng.IntN(len(candidates))], !healing || alone, now, a)
	}
}

// unreachedPeers returns the dead members, and the seeds whose address belongs to
// no known member.
func (n *Node) unreachedPeers() []Info {
	var out []Info
	knownAddresses := map[string]bool{n.self.Address: true}
	for _, e := range n.selectEntries(func(*entry) bool { return true }) {
		knownAddresses[e.info.Address] = true
		if !live(e.info) {
			out = append(out, e.info)
		}
	}
	for _, s := range n.cfg.Seeds {
		if !knownAddresses[s] {
			out = append(out, Info{Address: s})
		}
	}
	return out
}

func (n *Node) startPing(to Info, full bool, now time.Time, a *Actions) {
	n.seq++
	m := n.buildMessage(to.VM)
	if full {
		m.Events = n.appendMissing(m.Events, n.self)
	}
	n.pendingProbes[n.seq] = &probe{target: to, full: full, deadline: now.Add(n.cfg.PingTimeout)}
	a.Pings = append(a.Pings, Ping{Seq: n.seq, To: to, Message: m, Full: full})
}

// HandlePing processes a ping and returns its answer.
func (n *Node) HandlePing(m Message, full bool, now time.Time) Message {
	for _, i := range m.Events {
		n.merge(i, now)
	}
	n.compareTables(m, now)
	reply := n.buildMessage(m.From)
	if full {
		reply.Events = n.Members()
	} else if slices.ContainsFunc(m.Events, func(i Info) bool { return i.VM == n.self.VM }) {
		// The sender sent an event about this VM and gets the state of this VM,
		// which refutes a wrong event.
		reply.Events = n.appendMissing(reply.Events, n.self)
	}
	return reply
}

// HandleAck processes the answer to a ping.
func (n *Node) HandleAck(seq uint64, m Message, now time.Time) Actions {
	var a Actions
	p := n.pendingProbes[seq]
	before := n.self.Incarnation
	n.HandleAnswer(m, p != nil && p.full, now)
	if p == nil || p.target.VM != "" && p.target.VM != m.From {
		// Another VM may have answered at the address of a dead one.
		return a
	}
	delete(n.pendingProbes, seq)
	if e := n.table[m.From]; e != nil && n.self.Incarnation != before {
		// The peer considered this VM suspect or dead and gets the refutation.
		n.startPing(e.info, false, now, &a)
	}
	return a
}

// HandleAnswer processes the answer to a message that did not come from Tick.
// full states whether the message asked for all members.
func (n *Node) HandleAnswer(m Message, full bool, now time.Time) {
	if full {
		n.mergeAll(m.Events, now)
	} else {
		for _, i := range m.Events {
			n.merge(i, now)
		}
	}
	n.compareTables(m, now)
}

// HandleIndirectResult processes the result of an indirect probe. After a failed
// one the probe stays pending, since another VM may still reach the target.
func (n *Node) HandleIndirectResult(seq uint64, reached bool) {
	if reached {
		delete(n.pendingProbes, seq)
	}
}

// compareTables schedules a request for the peer's full list when the tables
// still differ although this one has not changed for QuietPeriods.
func (n *Node) compareTables(m Message, now time.Time) {
	quietPeriod := time.Duration(n.cfg.QuietPeriods) * n.cfg.ProtocolPeriod
	if m.TableHash == 0 || m.TableHash == n.tableHash || now.Sub(n.changedAt) < quietPeriod || now.Sub(n.fullRequestedAt) < quietPeriod {
		return
	}
	n.fullRequestPeer = m.From
}
