package elect

import (
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// sendDueProbes emits the probes that are due.
func (m *Machine) sendDueProbes(now time.Time) {
	for _, r := range m.members {
		if m.Policy == PolicyEvidence {
			m.probeNewConn(now, r)
		}
		due := r.oldConn.nextAt
		if m.isRelaxed(now, r) {
			due = r.oldConn.relaxedNextAt
		}
		if !r.oldConn.inFlight && !now.Before(due) {
			wait := m.nextPeriod()
			r.oldConn = probeState{inFlight: true, sentAt: now, nextAt: now.Add(wait), relaxedNextAt: now.Add(m.periodFactor(r) * wait)}
			m.emit(Probe{Target: r.ID})
		}
	}
}

// periodFactor returns how many periods pass between probes of r while the
// primary is healthy.
func (m *Machine) periodFactor(r *memberState) time.Duration {
	switch {
	case r.ID != m.primary:
		return replicaFactor
	case m.rank > 0:
		return standbyFactor
	}
	return 1
}

// isRelaxed reports whether r may be probed less often, because the primary is
// healthy and r is the primary or follows it.
func (m *Machine) isRelaxed(now time.Time, r *memberState) bool {
	if m.Policy != PolicyEvidence || !m.isPrimaryHealthy(now) {
		return false
	}
	if r.ID == m.primary {
		return true
	}
	s := r.status
	follows := s.Role == topo.RoleReplica && s.Term == m.term && s.Primary == m.primary && s.ContactAge >= 0
	return !r.statusAt.IsZero() && r.silentSince.IsZero() && follows && !r.Leaving && !s.Leaving
}

// isPrimaryHealthy reports whether the primary answers, commits and is not
// leaving. A single overdue probe makes it false.
func (m *Machine) isPrimaryHealthy(now time.Time) bool {
	p := m.member(m.primary)
	if p == nil || now.Sub(p.statusAt) > healthyStatusAge || !p.silentSince.IsZero() || !canCommit(p.status) || p.Leaving || p.status.Leaving {
		return false
	}
	undisturbed := m.stalledSince.IsZero() && m.aheadSince.IsZero() && m.absentSince.IsZero()
	return undisturbed && m.primaryCommitted && m.suspicion == ReasonNone && m.formerMembers == nil && m.election.phase == phaseNone
}

// probeNewConn tries a new connection when the answer on the existing one is
// overdue, because open connections can go silent while new ones work.
func (m *Machine) probeNewConn(now time.Time, r *memberState) {
	overdue := r.oldConn.inFlight && now.Sub(r.oldConn.sentAt) >= probeOverdue
	if overdue && r.silentSince.IsZero() {
		r.silentSince = r.oldConn.sentAt
	}
	if !overdue && !r.oldConnFailed || r.newConn.inFlight || now.Before(r.newConn.nextAt) {
		return
	}
	r.newConn = probeState{inFlight: true, sentAt: now, nextAt: now.Add(m.nextPeriod())}
	m.emit(Probe{Target: r.ID, NewConn: true})
}

func (m *Machine) nextPeriod() time.Duration {
	p := probePeriod
	if m.suspicion != ReasonNone {
		p = urgentPeriod
	}
	// Jitter of 20% prevents watchers of many groups from probing in step.
	return p*9/10 + m.jitter(p/5)
}

// probeAllNow makes all probes due and emits those that are not in flight.
func (m *Machine) probeAllNow(now time.Time) {
	for _, r := range m.members {
		r.oldConn.nextAt, r.oldConn.relaxedNextAt = now, now
	}
	m.sendDueProbes(now)
}

func (m *Machine) handleProbeFailed(e ProbeFailed) {
	r := m.member(e.Target)
	if r == nil {
		return
	}
	if e.NewConn {
		r.newConn.inFlight = false
		r.newConnFailed = true
		return
	}
	r.oldConn.inFlight = false
	r.oldConnFailed = true
	if r.silentSince.IsZero() {
		r.silentSince = r.oldConn.sentAt
	}
}

func (m *Machine) handleProbeAnswered(now time.Time, e ProbeAnswered) {
	r := m.member(e.Status.Target)
	if r == nil {
		return
	}
	if e.NewConn {
		r.newConn.inFlight = false
	} else {
		r.oldConn.inFlight = false
	}
	m.observe(now, r, e.Status)
}

// observe records a status, which also proves that the database is reachable.
func (m *Machine) observe(now time.Time, r *memberState, s topo.Status) {
	prevQuorum := r.status.Quorum
	r.status, r.statusAt = s, now
	r.silentSince, r.oldConnFailed, r.newConnFailed = time.Time{}, false, false
	updateSince(&r.noContactSince, s.ContactAge < 0, now)
	if s.Term > m.highestTerm {
		m.highestTerm = s.Term
		m.backOffOnHigherTerm(now, s.Term)
	}
	if canCommit(s) {
		m.learnPrimary(now, s.Term, s.Target, false)
	}
	if s.Target == m.primary {
		noProgress := canCommit(s) && s.Quorum.Less(s.Log) && s.Quorum == prevQuorum
		updateSince(&m.stalledSince, noProgress, now)
		m.primaryCommitted = m.primaryCommitted || canCommit(s) && s.Term == m.term && s.Quorum.Term == m.term
	}
	m.resolvePromotion(now, s)
	updateSince(&r.notFollowingSince, m.needsFollow(s), now)
}

// backOffOnHigherTerm backs off when another watcher has raised the term while
// this one was waiting to start an election.
func (m *Machine) backOffOnHigherTerm(now time.Time, term ident.Term) {
	if m.election.phase == phaseNone && !m.electionDue.IsZero() && term > m.term {
		m.backOff(now)
	}
}

// canCommit reports whether s is the status of a primary that can still commit.
// One that has promised a term above that of its last entry can't.
func canCommit(s topo.Status) bool {
	return s.Role == topo.RolePrimary && s.Log.Term == s.Term
}

// updateSince sets since to now when cond becomes true, and clears it when cond
// is false.
func updateSince(since *time.Time, cond bool, now time.Time) {
	switch {
	case !cond:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// hasLasted reports whether a condition that has held since the given time,
// zero for none, has held for at least d.
func hasLasted(since, now time.Time, d time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= d
}

// hasRecentStatus reports whether the member's status is recent enough to count
// as evidence.
func (r *memberState) hasRecentStatus(now time.Time) bool {
	return !r.statusAt.IsZero() && now.Sub(r.statusAt) <= evidenceMaxAge
}
