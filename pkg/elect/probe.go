package elect

import (
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// probeAll asks for the probes that are due.
func (m *Machine) probeAll(now time.Time) {
	for _, r := range m.rows {
		if m.Policy == PolicyEvidence {
			m.probeNew(now, r)
		}
		due := r.old.next
		if m.relaxed(now, r) {
			due = r.old.relaxed
		}
		if !r.old.open && !now.Before(due) {
			wait := m.period()
			r.old = flight{open: true, sent: now, next: now.Add(wait), relaxed: now.Add(m.factor(r) * wait)}
			m.emit(Probe{Target: r.ID})
		}
	}
}

// factor returns how many periods pass between probes of r while the primary
// is healthy.
func (m *Machine) factor(r *row) time.Duration {
	switch {
	case r.ID != m.primary:
		return replicaFactor
	case m.rank > 0:
		return reserveFactor
	}
	return 1
}

// relaxed reports whether r may be probed less often: the primary is healthy,
// and r is the primary or follows it.
func (m *Machine) relaxed(now time.Time, r *row) bool {
	if m.Policy != PolicyEvidence || !m.healthy(now) {
		return false
	}
	if r.ID == m.primary {
		return true
	}
	s := r.status
	follows := s.Role == topo.RoleReplica && s.Term == m.term && s.Primary == m.primary && s.ContactAge >= 0
	return !r.seenAt.IsZero() && r.silent.IsZero() && follows && !r.Leaving && !s.Leaving
}

// healthy reports whether the primary answers, commits, and is to stay. A probe
// that is overdue is enough for false.
func (m *Machine) healthy(now time.Time) bool {
	p := m.row(m.primary)
	if p == nil || now.Sub(p.seenAt) > relaxedStatus || !p.silent.IsZero() || !leads(p.status) || p.Leaving || p.status.Leaving {
		return false
	}
	quiet := m.stalled.IsZero() && m.ahead.IsZero() && m.absent.IsZero()
	return quiet && m.working && m.open == ReasonNone && m.former == nil && m.vote.phase == phaseNone
}

// probeNew tries a new connection when the existing one is overdue, because
// open connections can go silent while new ones work.
func (m *Machine) probeNew(now time.Time, r *row) {
	late := r.old.open && now.Sub(r.old.sent) >= overdue
	if late && r.silent.IsZero() {
		r.silent = r.old.sent
	}
	if !late && !r.oldFailed || r.new.open || now.Before(r.new.next) {
		return
	}
	r.new = flight{open: true, sent: now, next: now.Add(m.period())}
	m.emit(Probe{Target: r.ID, NewConn: true})
}

func (m *Machine) period() time.Duration {
	p := probePeriod
	if m.open != ReasonNone {
		p = urgentPeriod
	}
	// Jitter of 20% keeps the watchers of many groups apart.
	return p*9/10 + m.jitter(p/5)
}

// hurry makes all probes due.
func (m *Machine) hurry(now time.Time) {
	for _, r := range m.rows {
		r.old.next, r.old.relaxed = now, now
	}
	m.probeAll(now)
}

func (m *Machine) probeFailed(e ProbeFailed) {
	r := m.row(e.Target)
	if r == nil {
		return
	}
	if e.NewConn {
		r.new.open = false
		r.newFailed = true
		return
	}
	r.old.open = false
	r.oldFailed = true
	if r.silent.IsZero() {
		r.silent = r.old.sent
	}
}

func (m *Machine) answered(now time.Time, e ProbeAnswered) {
	r := m.row(e.Status.Target)
	if r == nil {
		return
	}
	if e.NewConn {
		r.new.open = false
	} else {
		r.old.open = false
	}
	m.observe(now, r, e.Status)
}

// observe takes a status, which also proves that its database is reachable.
func (m *Machine) observe(now time.Time, r *row, s topo.Status) {
	quorum := r.status.Quorum
	r.status, r.seenAt = s, now
	r.silent, r.oldFailed, r.newFailed = time.Time{}, false, false
	since(&r.never, s.ContactAge < 0, now)
	if s.Term > m.seen {
		m.seen = s.Term
		m.overtaken(now, s.Term)
	}
	if leads(s) {
		m.learn(now, s.Term, s.Target, false)
	}
	if s.Target == m.primary {
		waiting := leads(s) && s.Quorum.Less(s.Log) && s.Quorum == quorum
		since(&m.stalled, waiting, now)
		m.working = m.working || leads(s) && s.Term == m.term && s.Quorum.Term == m.term
	}
	m.promoteAnswered(now, s)
	since(&r.stray, m.strays(s), now)
}

// overtaken backs off when another watcher has raised the term while this one
// was about to.
func (m *Machine) overtaken(now time.Time, term ident.Term) {
	if m.vote.phase == phaseNone && !m.due.IsZero() && term > m.term {
		m.backoff(now)
	}
}

// leads reports whether s is that of a primary which can still commit: one that
// has promised a term above that of its own entries can't.
func leads(s topo.Status) bool {
	return s.Role == topo.RolePrimary && s.Log.Term == s.Term
}

// since sets t to now when cond has become true, and clears it when cond is
// false.
func since(t *time.Time, cond bool, now time.Time) {
	switch {
	case !cond:
		*t = time.Time{}
	case t.IsZero():
		*t = now
	}
}

// lasted reports whether a condition that began at t has lasted for d.
func lasted(t, now time.Time, d time.Duration) bool {
	return !t.IsZero() && now.Sub(t) >= d
}

// recent reports whether the member's status is new enough to be evidence.
func (r *row) recent(now time.Time) bool {
	return !r.seenAt.IsZero() && now.Sub(r.seenAt) <= freshStatus
}
