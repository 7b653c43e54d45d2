package lead

import (
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/rindex"
	"chervilspan.example/pkg/roster"
)

// roundRetryDelay is the delay before another round after one that showed neither
// that the primary is current nor that it is replaced.
const roundRetryDelay = 30 * time.Millisecond

// proof says that a database had not been replaced as the primary at a time, by
// Config.Clock.
type proof struct {
	id ident.Target
	at time.Time
}

// round asks all databases of a group whether a presumed primary is still the only
// one. All reads that began before its start share the result.
type round struct {
	id        ident.Target
	startedAt time.Time
	// done is closed when verdict is set.
	done    chan struct{}
	verdict rindex.Verdict
}

// RequestConfirmation implements engine.Primaries.
func (mon *Monitor) RequestConfirmation(g ident.Group, id ident.Target, since time.Time) {
	if mon.cfg.Unfenced {
		mon.currentRound(mon.groupState(g), id, since)
	}
}

// AwaitConfirmation implements engine.Primaries.
func (mon *Monitor) AwaitConfirmation(deadline time.Time, g ident.Group, id ident.Target, since time.Time) bool {
	if !mon.cfg.Unfenced {
		return true
	}
	st := mon.groupState(g)
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	for {
		r := mon.currentRound(st, id, since)
		if r == nil {
			return true
		}
		select {
		case <-r.done:
		case <-t.C:
			return false
		}
		if r.id != id || r.startedAt.Before(since) {
			continue
		}
		if r.verdict == rindex.Superseded || time.Until(deadline) < roundRetryDelay {
			return r.verdict == rindex.Confirmed
		}
		if r.verdict == rindex.Unknown {
			time.Sleep(roundRetryDelay)
		}
	}
}

// currentRound returns the running round, after starting one if there is none. It
// returns nil if a database is known to have been the primary at since or later.
func (mon *Monitor) currentRound(st *groupState, id ident.Target, since time.Time) *round {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.proof.id == id && !st.proof.at.Before(since) {
		return nil
	}
	if st.round == nil {
		st.round = &round{id: id, startedAt: mon.cfg.Clock(), done: make(chan struct{})}
		go mon.runRound(st, st.round)
	}
	return st.round
}

// RecordConfirmation implements engine.Primaries.
func (mon *Monitor) RecordConfirmation(g ident.Group, id ident.Target, pos ident.Position, sent time.Time) {
	if !mon.cfg.Unfenced {
		return
	}
	st := mon.groupState(g)
	st.mu.Lock()
	if st.proof.id != id || sent.After(st.proof.at) {
		st.proof = proof{id, sent}
	}
	st.mu.Unlock()
	if !pos.IsZero() {
		st.positions.Confirm(pos, sent)
	}
	st.recordPrimary(id)
}

// runRound runs a round and records its result. If a VM lends the connection to the
// presumed primary, that VM asks the other databases for all its borrowers.
func (mon *Monitor) runRound(st *groupState, r *round) {
	own, answers := mon.askLender(st, r.id)
	if own.Code == dbop.Unknown {
		own, answers = mon.askAll(st, r.id)
	}
	verdict := rindex.Unknown
	switch {
	case own.Code == dbop.OK && own.Confirmed:
		verdict = rindex.Confirmed
	case own.Code == dbop.OK:
		verdict = rindex.Decide(own.Position, answers, mon.cfg.SyncReplicas(st.id))
	}
	switch {
	case own.Code == dbop.ReadOnly:
		mon.Depose(st.id, r.id)
		verdict = rindex.Superseded
	case verdict == rindex.Superseded, verdict == rindex.Contested:
		verdict = mon.resolve(st, r.id)
	}
	if verdict == rindex.Confirmed {
		mon.RecordConfirmation(st.id, r.id, own.Position, r.startedAt)
	}
	st.mu.Lock()
	r.verdict, st.round = verdict, nil
	st.mu.Unlock()
	close(r.done)
}

// askLender asks the presumed primary alone where another VM lends the connection. The
// code of the answer is Unknown if the others have to be asked too.
func (mon *Monitor) askLender(st *groupState, id ident.Target) (own dbop.Answer, others []rindex.Answer) {
	unknown := dbop.Answer{Code: dbop.Unknown}
	m, ok := mon.cfg.Roster.Member(st.id, id)
	if !ok || !mon.cfg.Pools.Borrows(&m, "") {
		return unknown, nil
	}
	a, _, err := mon.askBegin(&m)
	if err != nil || a.Code == dbop.OK && !a.Confirmed {
		return unknown, nil
	}
	return a, nil
}

// askAll asks all databases of a group to begin a read-write transaction, and those
// that refuse for their status when others are silent. It returns the answer of the
// presumed primary and those of the others. A database that has left as planned is
// not asked: its log is gone.
func (mon *Monitor) askAll(st *groupState, id ident.Target) (own dbop.Answer, others []rindex.Answer) {
	own.Code = dbop.Unknown
	var members []roster.Member
	for _, m := range mon.cfg.Roster.AllMembers(st.id) {
		if m.ID != id && (m.MissingSince.IsZero() || !m.Leaving) {
			members = append(members, m)
		}
	}
	var wg sync.WaitGroup
	if m, ok := mon.cfg.Roster.Member(st.id, id); ok {
		wg.Go(func() { own, _, _ = mon.askBegin(&m) }) // the code tells of an error
	}
	others = make([]rindex.Answer, len(members))
	for i := range members {
		wg.Go(func() { others[i] = mon.askOther(&members[i]) })
	}
	wg.Wait()
	if !rindex.NeedsStatus(others, mon.cfg.SyncReplicas(st.id)) {
		return own, others
	}
	for i := range members {
		if others[i].Answered && !others[i].Primary {
			wg.Go(func() { others[i] = toAnswer(mon.control(dbop.Statement{Kind: dbop.Status}, &members[i])) })
		}
	}
	wg.Wait()
	return own, others
}

// askOther asks a database other than the presumed primary to begin a read-write
// transaction. One that could not be reached a moment ago is not asked.
func (mon *Monitor) askOther(m *roster.Member) rindex.Answer {
	if !m.Reachable(time.Now()) {
		return rindex.Answer{}
	}
	a, _, err := mon.askBegin(m)
	if err != nil || a.Code != dbop.OK && a.Code != dbop.ReadOnly {
		return rindex.Answer{}
	}
	return rindex.Answer{Answered: true, Primary: a.Code == dbop.OK, Position: a.Position}
}

// toAnswer converts a status.
func toAnswer(r reply) rindex.Answer {
	return rindex.Answer{Answered: r.answered, Primary: r.status.Primary, Position: r.status.Received, Received: true}
}

// presume records that a database acted as a primary. That alone neither proves that
// it is the only one, nor replaces another presumed primary that still answers.
func (mon *Monitor) presume(st *groupState, id ident.Target, pos ident.Position) {
	now := time.Now()
	if current, ok := mon.cfg.Roster.Primary(st.id); ok && current != id {
		if !st.unreachable() {
			return
		}
		mon.Depose(st.id, current)
	}
	changed, ok := mon.cfg.Roster.ProposePrimary(st.id, id, now)
	if !ok {
		return
	}
	if changed {
		mon.logLearned(st.id, id, pos)
	}
	st.recordPrimary(id)
}

// resolve asks all databases for their terms, demotes the primaries of lower terms
// than the highest one, and takes the remaining primary for that of the group. It
// returns Superseded if this is not id.
func (mon *Monitor) resolve(st *groupState, id ident.Target) rindex.Verdict {
	replies := mon.controlAll(dbop.Statement{Kind: dbop.Status}, mon.cfg.Roster.AllMembers(st.id))
	mon.demoteOlder(replies)
	current, ok := primaryOf(replies)
	if ok && current.member.ID == id {
		return rindex.Unknown // another round shows whether it is the only one
	}
	mon.Depose(st.id, id)
	if ok {
		if mon.cfg.Roster.ConfirmPrimary(st.id, current.member.ID) {
			mon.logLearned(st.id, current.member.ID, current.status.Received)
		}
		st.recordPrimary(current.member.ID)
	}
	return rindex.Superseded
}

// demoteOlder demotes the primaries of terms below the highest one and replaces their
// replies by what they answered to that.
func (mon *Monitor) demoteOlder(replies []reply) {
	highest := highestTerm(replies)
	var wg sync.WaitGroup
	for i := range replies {
		r := &replies[i]
		if !r.answered || !r.status.Primary || r.status.Term >= highest {
			continue
		}
		wg.Go(func() {
			demoted := mon.control(dbop.Statement{Kind: dbop.Demote, Term: highest}, &r.member)
			mon.logDemoted(r, highest, demoted.answered)
			if demoted.answered {
				*r = demoted
			}
		})
	}
	wg.Wait()
}

// demoteFormer demotes the former primary once another database is the primary.
func (mon *Monitor) demoteFormer(st *groupState, old ident.Target, promoted roster.Member) {
	m, ok := mon.cfg.Roster.Member(st.id, old)
	if !mon.cfg.Unfenced || !ok || old == promoted.ID {
		return
	}
	mon.demoteOlder(mon.controlAll(dbop.Statement{Kind: dbop.Status}, []roster.Member{promoted, m}))
}
