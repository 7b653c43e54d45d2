package member

import (
	"maps"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// probe is a ping without an answer so far.
type probe struct {
	target Info
	full   bool
	// deadline of the present stage.
	deadline time.Time
	indirect bool
}

// NextTick returns when Tick has to be called at the latest.
func (n *Node) NextTick() time.Time {
	next := n.nextPing
	for _, p := range n.pending {
		if p.deadline.Before(next) {
			next = p.deadline
		}
	}
	n.promised = next
	return next
}

// Tick moves timeouts and suspicions on and starts the pings that are due.
func (n *Node) Tick(now time.Time) Actions {
	n.notePause(now)
	var a Actions
	for _, seq := range slices.Sorted(maps.Keys(n.pending)) {
		n.advance(seq, now, &a)
	}
	if now.Before(n.nextPing) {
		return a
	}
	n.nextPing = now.Add(n.cfg.ProtocolPeriod)
	n.judge(now)
	n.pingLink(now, &a)
	n.pingOwnSuspects(now, &a)
	n.pingDiffering(now, &a)
	n.pingLost(now, &a)
	return a
}

// notePause drops the outstanding pings when this process was not running
// while their answers were due; judging them would blame others.
func (n *Node) notePause(now time.Time) {
	late := now.Sub(n.promised)
	if n.promised.IsZero() || late < n.cfg.PingTimeout {
		return
	}
	n.promised = time.Time{}
	clear(n.pending)
	for _, e := range n.table {
		if e.info.State == StateSuspect {
			e.deadline = e.deadline.Add(late)
		}
	}
}

// advance moves a probe whose deadline is over to its next stage.
func (n *Node) advance(seq uint64, now time.Time, a *Actions) {
	p := n.pending[seq]
	if now.Before(p.deadline) {
		return
	}
	e := n.table[p.target.VM]
	if p.indirect || e == nil || !live(e.info) {
		delete(n.pending, seq)
		if e != nil && e.info.State != StateDead && e.info.State != StateSuspect {
			n.suspect(e, now)
		}
		return
	}
	p.indirect = true
	p.deadline = now.Add(n.cfg.IndirectTimeout)
	for _, via := range n.helpers(p.target.VM) {
		a.PingReqs = append(a.PingReqs, PingReq{Seq: seq, Via: via, Target: p.target})
	}
}

// helpers chooses links for indirect probes of a VM.
func (n *Node) helpers(target ident.VM) []Info {
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
	e.own = true
	e.deadline = now.Add(n.suspectTime())
}

// judge declares suspects dead whose time is over and forgets the long dead.
func (n *Node) judge(now time.Time) {
	over := func(e *entry) bool { return e.info.State >= StateSuspect && !now.Before(e.deadline) }
	for _, e := range n.rows(over) {
		switch e.info.State {
		case StateSuspect:
			i := e.info
			i.State = StateDead
			n.accept(i, now)
		case StateDead:
			delete(n.table, e.info.VM)
			delete(n.queue, e.info.VM)
			n.touch(now)
		}
	}
}

// pingLink pings the next link; each round has another order.
func (n *Node) pingLink(now time.Time, a *Actions) {
	n.relink()
	for len(n.round) > 0 || len(n.links) > 0 {
		if len(n.round) == 0 {
			n.round = slices.Clone(n.links)
			n.rng.Shuffle(len(n.round), func(i, j int) { n.round[i], n.round[j] = n.round[j], n.round[i] })
		}
		vm := n.round[0]
		n.round = n.round[1:]
		if slices.Contains(n.links, vm) {
			n.ping(n.table[vm].info, false, now, a)
			return
		}
	}
}

// pingOwnSuspects tells the VMs that this one suspects, so that they can refute.
func (n *Node) pingOwnSuspects(now time.Time, a *Actions) {
	for _, e := range n.rows(func(e *entry) bool { return e.own && e.info.State == StateSuspect }) {
		n.ping(e.info, false, now, a)
	}
}

// pingDiffering asks the peer whose table differs for all members.
func (n *Node) pingDiffering(now time.Time, a *Actions) {
	e := n.table[n.fullFrom]
	n.fullFrom = ""
	if e != nil && live(e.info) {
		n.fullAt = now
		n.ping(e.info, true, now, a)
	}
}

// pingLost pings one member whose state has to be verified, or tries a dead
// member or a seed when it is time.
func (n *Node) pingLost(now time.Time, a *Actions) {
	if len(n.verify) > 0 {
		vm := n.verify[0]
		n.verify = n.verify[1:]
		if e := n.table[vm]; e != nil {
			n.ping(e.info, e.info.Incarnation == 0, now, a)
		}
		return
	}
	alone := n.others == 0
	healing := now.Before(n.healUntil)
	if !alone && !healing && now.Before(n.nextRetry) {
		return
	}
	n.nextRetry = now.Add(n.cfg.DeadRetryInterval)
	lost := n.lost()
	if len(lost) > 0 {
		// While a cut heals, lists of all members would cross it many times.
		n.ping(lost[n.rng.IntN(len(lost))], !healing || alone, now, a)
	}
}

// lost returns the dead members and the seeds that no live member has as its
// address.
func (n *Node) lost() []Info {
	var out []Info
	known := map[string]bool{n.self.Address: true}
	for _, e := range n.rows(func(*entry) bool { return true }) {
		known[e.info.Address] = true
		if !live(e.info) {
			out = append(out, e.info)
		}
	}
	for _, s := range n.cfg.Seeds {
		if !known[s] {
			out = append(out, Info{Address: s})
		}
	}
	return out
}

func (n *Node) ping(to Info, full bool, now time.Time, a *Actions) {
	n.seq++
	m := n.message(to.VM)
	if full {
		m.Events = n.with(m.Events, n.self)
	}
	n.pending[n.seq] = &probe{target: to, full: full, deadline: now.Add(n.cfg.PingTimeout)}
	a.Pings = append(a.Pings, Ping{Seq: n.seq, To: to, Message: m, Full: full})
}

// HandlePing takes a ping and returns the answer to it.
func (n *Node) HandlePing(m Message, full bool, now time.Time) Message {
	for _, i := range m.Events {
		n.merge(i, now)
	}
	n.compare(m, now)
	reply := n.message(m.From)
	if full {
		reply.Events = n.Members()
	} else if slices.ContainsFunc(m.Events, func(i Info) bool { return i.VM == n.self.VM }) {
		// The sender had something to say about this VM: it gets the refutation.
		reply.Events = n.with(reply.Events, n.self)
	}
	return reply
}

// HandleAck takes the answer to a ping.
func (n *Node) HandleAck(seq uint64, m Message, now time.Time) Actions {
	var a Actions
	p := n.pending[seq]
	before := n.self.Incarnation
	n.HandleAnswer(m, p != nil && p.full, now)
	if p == nil || p.target.VM != "" && p.target.VM != m.From {
		// Another VM may answer at the address of a dead one.
		return a
	}
	delete(n.pending, seq)
	if e := n.table[m.From]; e != nil && n.self.Incarnation != before {
		// The peer held this VM for dead or suspect and gets the refutation.
		n.ping(e.info, false, now, &a)
	}
	return a
}

// HandleAnswer takes the answer to a message that did not come from Tick; full
// tells whether it asked for all members.
func (n *Node) HandleAnswer(m Message, full bool, now time.Time) {
	if full {
		n.mergeAll(m.Events, now)
	} else {
		for _, i := range m.Events {
			n.merge(i, now)
		}
	}
	n.compare(m, now)
}

// HandleIndirectResult takes the answer to an indirect probe.
func (n *Node) HandleIndirectResult(seq uint64, reached bool) {
	if reached {
		delete(n.pending, seq)
	}
}

// compare notices a lasting difference between this table and a peer's.
func (n *Node) compare(m Message, now time.Time) {
	quiet := time.Duration(n.cfg.QuietPeriods) * n.cfg.ProtocolPeriod
	if m.TableHash == 0 || m.TableHash == n.hash || now.Sub(n.changed) < quiet || now.Sub(n.fullAt) < quiet {
		return
	}
	n.fullFrom = m.From
}
