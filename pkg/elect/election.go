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

// election is the state of one election attempt. Its term is used for only one
// candidate, so that a delayed Promote can't create a second primary.
type election struct {
	phase   phase
	reason  Reason
	term    ident.Term
	started time.Time
	// excluded is the former primary, with which the others have lost contact
	// or which can no longer commit. It may have entries that no replica has,
	// so that its log would be the highest in every attempt.
	excluded ident.Target
	// termRefused is true when a member has refused the term, because another
	// watcher has raised the member's term in the meantime.
	termRefused bool
	// pending holds the members that have not answered RaiseTerm yet.
	pending  map[ident.Target]bool
	promises map[ident.Target]topo.Status
	// majorityAt is the time at which a majority had promised the term.
	majorityAt time.Time
	candidate  ident.Target
	// outcomeUnknown is true while the outcome of the Promote is unknown.
	outcomeUnknown bool
}

// startElection raises the term on every reachable member.
func (m *Machine) startElection(now time.Time, reason Reason) {
	m.highestTerm = max(m.highestTerm, m.term) + 1
	m.election = election{
		phase: phaseRaising, reason: reason, term: m.highestTerm, started: now,
		pending: map[ident.Target]bool{}, promises: map[ident.Target]topo.Status{},
	}
	switch reason {
	case ReasonSilent, ReasonStalled, ReasonAbsent:
		m.election.excluded = m.primary
	}
	m.emit(Transition{Kind: TransitionElectionStarted, Reason: reason, Term: m.election.term})
	for _, r := range m.members {
		if r.statusAt.IsZero() || r.oldConnFailed {
			continue
		}
		m.election.pending[r.ID] = true
		m.emit(RaiseTerm{Target: r.ID, Term: m.election.term})
	}
}

func (m *Machine) handleTermRaised(now time.Time, e TermRaised) {
	r := m.member(e.Target)
	if e.Outcome == OutcomeDone && r != nil {
		m.observe(now, r, e.Status)
	}
	v := &m.election
	if v.phase != phaseRaising || e.Term != v.term || !v.pending[e.Target] {
		return
	}
	delete(v.pending, e.Target)
	v.termRefused = v.termRefused || e.Outcome == OutcomeRefused
	if e.Outcome == OutcomeDone && e.Status.Term == v.term {
		v.promises[e.Target] = e.Status
	}
	m.advanceElection(now)
}

// promiseCounts reports whether the promise of a member counts. That of a
// member that is rebuilding does not, because it may lack entries that it
// confirmed earlier.
func (v *election) promiseCounts(id ident.Target) bool {
	s, ok := v.promises[id]
	return ok && s.Role != topo.RoleRebuild
}

// isEligible reports whether a member's promise counts and the member is not
// excluded as a candidate.
func (v *election) isEligible(id ident.Target) bool { return id != v.excluded && v.promiseCounts(id) }

// advanceElection promotes a candidate once enough members have promised the
// term, and abandons an attempt that can't succeed or takes too long.
func (m *Machine) advanceElection(now time.Time) {
	v := &m.election
	if v.phase == phasePromoting {
		if now.Sub(v.started) > promoteTimeout {
			m.abandonElection(now)
		}
		return
	}
	// The others may not form a majority without the former primary. It becomes
	// a candidate again then, unless a refusal shows that two watchers split
	// the promises between them.
	enough := m.hasMajority(v.isEligible) || len(v.pending) == 0 && !v.termRefused && m.hasMajority(v.promiseCounts)
	if enough && v.majorityAt.IsZero() {
		v.majorityAt = now
	}
	switch {
	case enough && (len(v.pending) == 0 || now.Sub(v.majorityAt) >= promiseGracePeriod):
		m.promoteCandidate(now)
	case !enough && len(v.pending) == 0:
		m.abandonElection(now)
	}
}

// abandonElection ends the attempt. A refused term means that another watcher
// has raised a higher one, so this watcher backs off before the next attempt.
func (m *Machine) abandonElection(now time.Time) {
	m.emit(Transition{Kind: TransitionElectionAbandoned, Reason: m.election.reason, Term: m.election.term})
	planned := m.election.reason == ReasonLeaving || m.election.reason == ReasonMembers
	m.election = election{}
	m.backOff(now)
	if planned {
		m.backoffUntil = now.Add(plannedBackoff)
	}
	m.electionDue = time.Time{}
	m.probeAllNow(now)
}

func (m *Machine) promoteCandidate(now time.Time) {
	v := &m.election
	v.phase, v.candidate, v.started = phasePromoting, m.chooseCandidate(), now
	m.emit(Promote{Target: v.candidate, Term: v.term, Members: m.memberConfigs()})
}

// chooseCandidate returns the member with the highest log position among those
// that promised the term. Leaving members and the former primary are skipped
// when the others form a majority by themselves, because these then have every
// acknowledged entry.
func (m *Machine) chooseCandidate() ident.Target {
	preferred := func(id ident.Target) bool { return m.election.isEligible(id) && m.isStaying(id) }
	allowed := m.election.promiseCounts
	if m.hasMajority(preferred) {
		allowed = preferred
	}
	var best *memberState
	for _, r := range m.members {
		if allowed(r.ID) && (best == nil || m.isBetterCandidate(r, best)) {
			best = r
		}
	}
	return best.ID
}

// isBetterCandidate reports whether a is preferred to b, which has a lower id.
func (m *Machine) isBetterCandidate(a, b *memberState) bool {
	la, lb := m.election.promises[a.ID].Log, m.election.promises[b.ID].Log
	if la != lb {
		return lb.Less(la)
	}
	if sa, sb := m.isStaying(a.ID), m.isStaying(b.ID); sa != sb {
		return sa
	}
	return m.primaryRegion != "" && a.Region == m.primaryRegion && b.Region != m.primaryRegion
}

func (m *Machine) handlePromoted(now time.Time, e Promoted) {
	v := &m.election
	if v.phase != phasePromoting || e.Term != v.term || e.Target != v.candidate {
		return
	}
	switch e.Outcome {
	case OutcomeDone:
		m.completeElection(now)
	case OutcomeRefused:
		m.abandonElection(now)
	case OutcomeUnknown:
		v.outcomeUnknown = true
		m.probeAllNow(now)
	}
}

// resolvePromotion uses the status of the candidate to handle a Promote whose
// outcome is unknown. The call is repeated unless the candidate has promised
// another term since.
func (m *Machine) resolvePromotion(now time.Time, s topo.Status) {
	v := &m.election
	if v.phase != phasePromoting || !v.outcomeUnknown || s.Target != v.candidate {
		return
	}
	v.outcomeUnknown = false
	if s.Term != v.term {
		m.abandonElection(now)
		return
	}
	m.emit(Promote{Target: v.candidate, Term: v.term, Members: m.memberConfigs()})
}

// completeElection records the confirmed promotion and tells the other members
// to follow the new primary.
func (m *Machine) completeElection(now time.Time) {
	term, primary := m.election.term, m.election.candidate
	m.learnPrimary(now, term, primary, true)
	for _, r := range m.members {
		if r.ID != primary && !r.oldConnFailed {
			m.requestFollow(now, r)
		}
	}
	m.probeAllNow(now)
}

// requestFollow tells a member to follow the known primary.
func (m *Machine) requestFollow(now time.Time, r *memberState) {
	p := m.member(m.primary)
	if p == nil {
		return
	}
	r.nextFollow = now.Add(followRetryInterval)
	m.emit(Follow{Target: r.ID, Term: m.term, Primary: p.ID, Address: p.Address})
}

// needsFollow reports whether a database has to be told to follow the primary.
// One with a term above the primary's would refuse.
func (m *Machine) needsFollow(s topo.Status) bool {
	if s.Target == m.primary || m.primary == "" || s.Term > m.term {
		return false
	}
	return s.Term < m.term || s.Primary != m.primary
}

// requestMissingFollows tells databases that missed the promotion, such as a
// former primary that returns, to follow the primary. The delay increases with
// the rank, so that watchers of lower rank act first.
func (m *Machine) requestMissingFollows(now time.Time) {
	delay := probePeriod + time.Duration(m.rank)*rankDelay
	for _, r := range m.members {
		if !r.hasRecentStatus(now) || now.Before(r.nextFollow) || !m.needsFollow(r.status) {
			continue
		}
		if hasLasted(r.notFollowingSince, now, delay) {
			m.requestFollow(now, r)
		}
	}
}

func (m *Machine) handleFollowed(now time.Time, e Followed) {
	r := m.member(e.Target)
	if r == nil || e.Term != m.term {
		return
	}
	if e.Outcome == OutcomeUnknown {
		// Repeating Follow with the same term is safe.
		r.nextFollow = now.Add(backoffBase)
	}
}
