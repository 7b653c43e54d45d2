package elect

import (
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

type phase uint8

const (
	phaseNone phase = iota
	phaseRaising
	phasePromoting
)

// election is the state of one attempt. Its term is used for one candidate
// only, so that a delayed Promote can't make a second primary.
type election struct {
	phase   phase
	reason  Reason
	term    ident.Term
	started time.Time
	// passed is the former primary, which the others do not hear or which was
	// abandoned. It may have entries that no replica has, so that its log would
	// be chosen again and again.
	passed ident.Target
	// refused tells that another watcher has raised the term of some member.
	refused bool
	// waiting has the members whose promise is outstanding.
	waiting  map[ident.Target]bool
	promises map[ident.Target]topo.Status
	// enoughAt is when a majority had promised.
	enoughAt  time.Time
	candidate ident.Target
	// unsure is true while the outcome of the Promote is unknown.
	unsure bool
}

// elect raises the term on every reachable member.
func (m *Machine) elect(now time.Time, reason Reason) {
	m.seen = max(m.seen, m.term) + 1
	m.vote = election{
		phase: phaseRaising, reason: reason, term: m.seen, started: now,
		waiting: map[ident.Target]bool{}, promises: map[ident.Target]topo.Status{},
	}
	switch reason {
	case ReasonSilent, ReasonStalled, ReasonAbsent:
		m.vote.passed = m.primary
	}
	m.emit(Transition{Kind: TransitionElectionStarted, Reason: reason, Term: m.vote.term})
	for _, r := range m.rows {
		if r.seenAt.IsZero() || r.oldFailed {
			continue
		}
		m.vote.waiting[r.ID] = true
		m.emit(RaiseTerm{Target: r.ID, Term: m.vote.term})
	}
}

func (m *Machine) raised(now time.Time, e TermRaised) {
	r := m.row(e.Target)
	if e.Outcome == OutcomeDone && r != nil {
		m.observe(now, r, e.Status)
	}
	v := &m.vote
	if v.phase != phaseRaising || e.Term != v.term || !v.waiting[e.Target] {
		return
	}
	delete(v.waiting, e.Target)
	v.refused = v.refused || e.Outcome == OutcomeRefused
	if e.Outcome == OutcomeDone && e.Status.Term == v.term {
		v.promises[e.Target] = e.Status
	}
	m.drive(now)
}

// counts reports whether a member's promise counts: one that rebuilds may lack
// entries that it had confirmed.
func (v *election) counts(id ident.Target) bool {
	s, ok := v.promises[id]
	return ok && s.Role != topo.RoleRebuild
}

// wanted reports whether a member's promise counts and it may become primary.
func (v *election) wanted(id ident.Target) bool { return id != v.passed && v.counts(id) }

// drive moves the election on.
func (m *Machine) drive(now time.Time) {
	v := &m.vote
	if v.phase == phasePromoting {
		if now.Sub(v.started) > promoteLimit {
			m.abandon(now)
		}
		return
	}
	// Without the former primary the others may be no majority. Then it is a
	// candidate too, unless the promises are split between two watchers.
	enough := m.majority(v.wanted) || len(v.waiting) == 0 && !v.refused && m.majority(v.counts)
	if enough && v.enoughAt.IsZero() {
		v.enoughAt = now
	}
	switch {
	case enough && (len(v.waiting) == 0 || now.Sub(v.enoughAt) >= raisePatience):
		m.promote(now)
	case !enough && len(v.waiting) == 0:
		m.abandon(now)
	}
}

// abandon ends the attempt. A failed raise means that another watcher is
// ahead, so this one waits before it checks again.
func (m *Machine) abandon(now time.Time) {
	m.emit(Transition{Kind: TransitionElectionAbandoned, Reason: m.vote.reason, Term: m.vote.term})
	planned := m.vote.reason == ReasonLeaving || m.vote.reason == ReasonMembers
	m.vote = election{}
	m.backoff(now)
	if planned {
		m.hold = now.Add(plannedBackoff)
	}
	m.due = time.Time{}
	m.hurry(now)
}

func (m *Machine) promote(now time.Time) {
	v := &m.vote
	v.phase, v.candidate, v.started = phasePromoting, m.choose(), now
	m.emit(Promote{Target: v.candidate, Term: v.term, Members: m.members()})
}

// choose returns the promised database with the highest log. Leaving members
// and the former primary are passed over when the promises of the others are a
// majority by themselves: then these have every acknowledged entry.
func (m *Machine) choose() ident.Target {
	stays := func(id ident.Target) bool { return m.vote.wanted(id) && m.stays(id) }
	allowed := m.vote.counts
	if m.majority(stays) {
		allowed = stays
	}
	var best *row
	for _, r := range m.rows {
		if allowed(r.ID) && (best == nil || m.better(r, best)) {
			best = r
		}
	}
	return best.ID
}

// better reports whether a is to be preferred over b, which has a lower id.
func (m *Machine) better(a, b *row) bool {
	la, lb := m.vote.promises[a.ID].Log, m.vote.promises[b.ID].Log
	if la != lb {
		return lb.Less(la)
	}
	if sa, sb := m.stays(a.ID), m.stays(b.ID); sa != sb {
		return sa
	}
	return m.home != "" && a.Region == m.home && b.Region != m.home
}

func (m *Machine) promoted(now time.Time, e Promoted) {
	v := &m.vote
	if v.phase != phasePromoting || e.Term != v.term || e.Target != v.candidate {
		return
	}
	switch e.Outcome {
	case OutcomeDone:
		m.elected(now)
	case OutcomeRefused:
		m.abandon(now)
	case OutcomeUnknown:
		v.unsure = true
		m.hurry(now)
	}
}

// promoteAnswered resolves a lost answer to Promote by the candidate's status.
// When the candidate has not given the term away, the same call is repeated.
func (m *Machine) promoteAnswered(now time.Time, s topo.Status) {
	v := &m.vote
	if v.phase != phasePromoting || !v.unsure || s.Target != v.candidate {
		return
	}
	v.unsure = false
	if s.Term != v.term {
		m.abandon(now)
		return
	}
	m.emit(Promote{Target: v.candidate, Term: v.term, Members: m.members()})
}

// elected takes the own promotion and tells the rest to follow.
func (m *Machine) elected(now time.Time) {
	term, primary := m.vote.term, m.vote.candidate
	m.learn(now, term, primary, true)
	for _, r := range m.rows {
		if r.ID != primary && !r.oldFailed {
			m.follow(now, r)
		}
	}
	m.hurry(now)
}

// follow tells a member to follow the known primary.
func (m *Machine) follow(now time.Time, r *row) {
	p := m.row(m.primary)
	if p == nil {
		return
	}
	r.followAt = now.Add(followAgain)
	m.emit(Follow{Target: r.ID, Term: m.term, Primary: p.ID, Address: p.Address})
}

// strays reports whether a database has to be told to follow the primary. One
// that is ahead of the primary would refuse.
func (m *Machine) strays(s topo.Status) bool {
	if s.Target == m.primary || m.primary == "" || s.Term > m.term {
		return false
	}
	return s.Term < m.term || s.Primary != m.primary
}

// followStrays tells databases that missed the promotion, such as a former
// primary that returns. Watchers of a higher rank leave the first go to lower
// ones.
func (m *Machine) followStrays(now time.Time) {
	grace := probePeriod + time.Duration(m.rank)*rankDelay
	for _, r := range m.rows {
		if !r.recent(now) || now.Before(r.followAt) || !m.strays(r.status) {
			continue
		}
		if lasted(r.stray, now, grace) {
			m.follow(now, r)
		}
	}
}

func (m *Machine) followed(now time.Time, e Followed) {
	r := m.row(e.Target)
	if r == nil || e.Term != m.term {
		return
	}
	if e.Outcome == OutcomeUnknown {
		// Follow may be repeated with the same term.
		r.followAt = now.Add(backoffBase)
	}
}
