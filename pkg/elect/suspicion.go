package elect

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// tick sends due probes, redirects members that do not follow the primary, and
// either advances the election or checks whether one is needed.
func (m *Machine) tick(now time.Time) {
	if gap := now.Sub(m.lastTick); !m.lastTick.IsZero() && gap > maxTickGap {
		m.restartSuspicions(now)
	}
	m.lastTick = now
	if len(m.members) == 0 {
		return
	}
	m.updateConditions(now)
	m.sendDueProbes(now)
	m.requestMissingFollows(now)
	if m.election.phase != phaseNone {
		m.advanceElection(now)
		return
	}
	m.evaluateSuspicion(now)
}

// restartSuspicions restarts the timers of all suspicions after a pause of this
// process.
func (m *Machine) restartSuspicions(now time.Time) {
	for _, r := range m.members {
		if !r.silentSince.IsZero() {
			r.silentSince = now
		}
		r.newConnFailed, r.oldConnFailed = false, false
	}
	for _, t := range []*time.Time{&m.absentSince, &m.aheadSince, &m.stalledSince} {
		if !t.IsZero() {
			*t = now
		}
	}
	m.clearSuspicion()
}

// updateConditions updates absentSince and aheadSince from the recent statuses.
// absentSince stays as it is while the status of the known primary is outdated.
func (m *Machine) updateConditions(now time.Time) {
	p := m.member(m.primary)
	deposed := p != nil && p.hasRecentStatus(now) && !canCommit(p.status)
	if p == nil || deposed || p.hasRecentStatus(now) {
		updateSince(&m.absentSince, p == nil || deposed, now)
	}
	ahead := false
	for _, r := range m.members {
		ahead = ahead || r.hasRecentStatus(now) && r.status.Term > m.term
	}
	updateSince(&m.aheadSince, ahead && m.term != 0, now)
}

// failoverReason returns why the group needs another primary, the most urgent
// reason first.
func (m *Machine) failoverReason(now time.Time) Reason {
	p := m.member(m.primary)
	switch {
	case p != nil && m.isSilent(p, now):
		return ReasonSilent
	case hasLasted(m.absentSince, now, silenceTimeout):
		return ReasonAbsent
	case p == nil || !p.hasRecentStatus(now):
		return ReasonNone
	case m.Policy == PolicyEvidence && hasLasted(m.stalledSince, now, stallTimeout):
		return ReasonStalled
	case hasLasted(m.aheadSince, now, aheadTimeout):
		return ReasonAhead
	case !m.primaryCommitted || !canCommit(p.status):
		return ReasonNone
	case m.formerMembers != nil:
		return ReasonMembers
	case (p.Leaving || p.status.Leaving) && m.hasSuccessor(p, now):
		return ReasonLeaving
	}
	return ReasonNone
}

func (m *Machine) isSilent(p *memberState, now time.Time) bool {
	if m.Policy == PolicyTimeout {
		return p.oldConnFailed && hasLasted(p.silentSince, now, failureTimeout)
	}
	return p.oldConnFailed && p.newConnFailed && hasLasted(p.silentSince, now, silenceTimeout)
}

// hasSuccessor reports whether a replica that is not leaving has nearly all
// entries of the leaving primary p. When the members that are not leaving form
// no majority, the election depends on the primary's own promise, and the
// replica must have every entry.
func (m *Machine) hasSuccessor(p *memberState, now time.Time) bool {
	lag := uint64(switchoverMaxLag)
	if !moreThanHalf(m.memberIDs(), func(id ident.Target) bool { return m.isStaying(id) }) {
		lag = 0
	}
	for _, r := range m.members {
		s := r.status
		if m.isStaying(r.ID) && r.hasRecentStatus(now) && s.MatchTerm == m.term && s.Log.Index+lag >= p.status.Log.Index {
			return true
		}
	}
	return false
}

func (m *Machine) isStaying(id ident.Target) bool {
	r := m.member(id)
	return r != nil && !r.Leaving && !r.status.Leaving
}

// evaluateSuspicion raises and clears the suspicion. It starts an election when
// rank delay, evidence, backoff and damping allow it.
func (m *Machine) evaluateSuspicion(now time.Time) {
	reason := m.failoverReason(now)
	if reason == ReasonNone {
		if m.suspicion != ReasonNone {
			m.emit(Transition{Kind: TransitionRefuted, Reason: m.suspicion, Term: m.term})
		}
		m.clearSuspicion()
		return
	}
	if m.suspicion != reason {
		m.emit(Transition{Kind: TransitionSuspected, Reason: reason, Term: m.term})
		m.suspicion, m.electionDue = reason, time.Time{}
		m.probeAllNow(now)
	}
	sufficient, refuted := m.evidence(reason, now)
	if refuted {
		m.electionDue = time.Time{}
		return
	}
	if !sufficient {
		return
	}
	if m.electionDue.IsZero() {
		m.electionDue = now.Add(time.Duration(m.rank)*rankDelay + m.jitter(rankJitter))
	}
	if now.Before(m.electionDue) || now.Before(m.backoffUntil) || m.isDamped(now) {
		return
	}
	m.startElection(now, reason)
}

// evidence reports whether a majority of the group supports an election, and
// whether so many replicas still have contact with the primary that no majority
// can support one.
func (m *Machine) evidence(reason Reason, now time.Time) (sufficient, refuted bool) {
	needsLostContact := m.Policy == PolicyEvidence && (reason == ReasonSilent || reason == ReasonStalled || reason == ReasonAbsent)
	hasContact := map[ident.Target]bool{}
	supports := func(id ident.Target) bool {
		r := m.member(id)
		if r == nil || !r.hasRecentStatus(now) {
			return false
		}
		if !needsLostContact {
			return true
		}
		if id == m.primary && reason != ReasonAbsent {
			return false
		}
		hasContact[id] = !m.hasLostContact(r, now)
		return !hasContact[id]
	}
	sufficient = m.hasMajority(supports)
	if sufficient {
		return true, false
	}
	// The members without contact can't form a majority when too many others
	// still have contact with the primary.
	mayHaveLost := func(id ident.Target) bool {
		return !hasContact[id] && (id != m.primary || reason == ReasonAbsent)
	}
	return false, needsLostContact && !moreThanHalf(m.memberIDs(), mayHaveLost)
}

// hasLostContact reports whether the database has lost contact with its
// primary. A database that never had contact counts after it has reported so
// for contactTimeout. Contact with a primary that is no longer in the catalogue
// is ignored.
func (m *Machine) hasLostContact(r *memberState, now time.Time) bool {
	if p := r.status.Primary; p != "" && m.member(p) == nil {
		return true
	}
	if r.status.ContactAge < 0 {
		return hasLasted(r.noContactSince, now, contactTimeout)
	}
	return r.status.ContactAge > contactTimeout
}

// isDamped reports whether the latest promotion is too recent for another one.
// The required wait doubles with each promotion of the last ten minutes, up to
// dampingLimit, and ends early when the primary has committed an entry in its
// term.
func (m *Machine) isDamped(now time.Time) bool {
	if m.primaryCommitted || m.term == 0 {
		return false
	}
	n := 0
	for _, t := range m.promotionTimes {
		if now.Sub(t) < dampingWindow {
			m.promotionTimes[n] = t
			n++
		}
	}
	m.promotionTimes = m.promotionTimes[:n]
	if n == 0 {
		return false
	}
	wait := dampingLimit
	if n <= 4 {
		wait = dampingBase << (n - 1)
	}
	return now.Sub(m.learnedAt) < wait
}
