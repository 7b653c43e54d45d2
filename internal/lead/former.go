package lead

import (
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/rindex"
	"chervilspan.example/pkg/roster"
)

// presume records that a database acted as a primary. That alone neither proves that
// it is the only one, nor replaces another presumed primary that still answers.
func (mon *Monitor) presume(st *groupState, id ident.Target, pos ident.Position, sent time.Time) {
	now := time.Now()
	if !pos.IsZero() {
		st.mu.Lock()
		if sent.After(st.reported.sent) || st.reported.id != id {
			st.reported = report{id, pos, sent}
		}
		st.mu.Unlock()
	}
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
	st.recordPrimary(id, mon.cfg.Clock())
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
		st.recordPrimary(current.member.ID, mon.cfg.Clock())
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
