package elect

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// tick probes, follows up strays, judges the group and drives an election.
func (m *Machine) tick(now time.Time) {
	if gap := now.Sub(m.lastTick); !m.lastTick.IsZero() && gap > pauseGap {
		m.restart(now)
	}
	m.lastTick = now
	if len(m.rows) == 0 {
		return
	}
	m.watch(now)
	m.probeAll(now)
	m.followStrays(now)
	if m.vote.phase != phaseNone {
		m.drive(now)
		return
	}
	m.judge(now)
}

// restart begins all suspicions anew after a pause of this process.
func (m *Machine) restart(now time.Time) {
	for _, r := range m.rows {
		if !r.silent.IsZero() {
			r.silent = now
		}
		r.newFailed, r.oldFailed = false, false
	}
	for _, t := range []*time.Time{&m.absent, &m.ahead, &m.stalled} {
		if !t.IsZero() {
			*t = now
		}
	}
	m.close()
}

// watch keeps the times since when the group has no primary, and since when a
// database is ahead of it.
func (m *Machine) watch(now time.Time) {
	p := m.row(m.primary)
	deposed := p != nil && p.recent(now) && !leads(p.status)
	if p == nil || deposed || p.recent(now) {
		since(&m.absent, p == nil || deposed, now)
	}
	ahead := false
	for _, r := range m.rows {
		ahead = ahead || r.recent(now) && r.status.Term > m.term
	}
	since(&m.ahead, ahead && m.term != 0, now)
}

// reason returns why the group needs another primary, the most urgent first.
func (m *Machine) reason(now time.Time) Reason {
	p := m.row(m.primary)
	switch {
	case p != nil && m.isSilent(p, now):
		return ReasonSilent
	case lasted(m.absent, now, silentAfter):
		return ReasonAbsent
	case p == nil || !p.recent(now):
		return ReasonNone
	case m.Policy == PolicyEvidence && lasted(m.stalled, now, stalledAfter):
		return ReasonStalled
	case lasted(m.ahead, now, aheadAfter):
		return ReasonAhead
	case !m.working || !leads(p.status):
		return ReasonNone
	case m.former != nil:
		return ReasonMembers
	case (p.Leaving || p.status.Leaving) && m.successor(p, now):
		return ReasonLeaving
	}
	return ReasonNone
}

func (m *Machine) isSilent(p *row, now time.Time) bool {
	if m.Policy == PolicyTimeout {
		return p.oldFailed && lasted(p.silent, now, timeoutAfter)
	}
	return p.oldFailed && p.newFailed && lasted(p.silent, now, silentAfter)
}

// successor reports whether a replica that stays is close enough to the leaving
// primary p. When the members that stay are no majority, the primary's own
// promise is needed, and then the replica must have every entry.
func (m *Machine) successor(p *row, now time.Time) bool {
	lag := uint64(switchoverLag)
	if !moreThanHalf(m.ids(), func(id ident.Target) bool { return m.stays(id) }) {
		lag = 0
	}
	for _, r := range m.rows {
		s := r.status
		if m.stays(r.ID) && r.recent(now) && s.MatchTerm == m.term && s.Log.Index+lag >= p.status.Log.Index {
			return true
		}
	}
	return false
}

func (m *Machine) stays(id ident.Target) bool {
	r := m.row(id)
	return r != nil && !r.Leaving && !r.status.Leaving
}

// judge opens and closes the suspicion, and starts an election when the rank,
// the evidence and the backoff allow it.
func (m *Machine) judge(now time.Time) {
	reason := m.reason(now)
	if reason == ReasonNone {
		if m.open != ReasonNone {
			m.emit(Transition{Kind: TransitionRefuted, Reason: m.open, Term: m.term})
		}
		m.close()
		return
	}
	if m.open != reason {
		m.emit(Transition{Kind: TransitionSuspected, Reason: reason, Term: m.term})
		m.open, m.due = reason, time.Time{}
		m.hurry(now)
	}
	enough, refuted := m.evidence(reason, now)
	if refuted {
		m.due = time.Time{}
		return
	}
	if !enough {
		return
	}
	if m.due.IsZero() {
		m.due = now.Add(time.Duration(m.rank)*rankDelay + m.jitter(rankJitter))
	}
	if now.Before(m.due) || now.Before(m.hold) || m.damped(now) {
		return
	}
	m.elect(now, reason)
}

// evidence reports whether a majority of the group allows an election, and
// whether enough replicas hear the primary to rule one out.
func (m *Machine) evidence(reason Reason, now time.Time) (enough, refuted bool) {
	lost := m.Policy == PolicyEvidence && (reason == ReasonSilent || reason == ReasonStalled || reason == ReasonAbsent)
	hearing := map[ident.Target]bool{}
	deaf := func(id ident.Target) bool {
		r := m.row(id)
		if r == nil || !r.recent(now) {
			return false
		}
		if !lost {
			return true
		}
		if id == m.primary && reason != ReasonAbsent {
			return false
		}
		hearing[id] = !m.deaf(r, now)
		return !hearing[id]
	}
	enough = m.majority(deaf)
	if enough {
		return true, false
	}
	// With so many members hearing the primary no majority can be deaf.
	possible := func(id ident.Target) bool {
		return !hearing[id] && (id != m.primary || reason == ReasonAbsent)
	}
	return false, lost && !moreThanHalf(m.ids(), possible)
}

// deaf reports whether the database has not heard its primary. One that never
// did counts once it has been seen so for as long. A primary that the catalogue
// no longer has does not count.
func (m *Machine) deaf(r *row, now time.Time) bool {
	if p := r.status.Primary; p != "" && m.row(p) == nil {
		return true
	}
	if r.status.ContactAge < 0 {
		return lasted(r.never, now, contactLost)
	}
	return r.status.ContactAge > contactLost
}

// damped reports whether the latest promotion is too new for another one. A
// primary that was seen working lifts the wait; otherwise it doubles with each
// promotion of the last ten minutes.
func (m *Machine) damped(now time.Time) bool {
	if m.working || m.term == 0 {
		return false
	}
	n := 0
	for _, t := range m.promotions {
		if now.Sub(t) < holdWindow {
			m.promotions[n] = t
			n++
		}
	}
	m.promotions = m.promotions[:n]
	if n == 0 {
		return false
	}
	wait := holdLimit
	if n <= 4 {
		wait = holdBase << (n - 1)
	}
	return now.Sub(m.learnedAt) < wait
}
