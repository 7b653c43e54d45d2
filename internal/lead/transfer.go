package lead

import (
	"context"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/wait"
)

// catchUpTimeout bounds the wait until a successor has received the entries that
// another database already has. It covers a few round trips between regions.
const catchUpTimeout = 500 * time.Millisecond

// replaceWorking returns the successor of a primary that answers, and demotes the
// primary before the promotion: a database that joins the group after the fences could
// acknowledge its commits until the promotion takes effect.
func (f *failover) replaceWorking(ctx context.Context, primary *reply, replies []reply) (best roster.Member, err error) {
	switch settled, err := f.settle(ctx, primary, replies); {
	case err != nil:
		return best, err
	case f.why == reasonUnsettled && !settled:
		f.st.setOpenToken(0) // another VM has settled it
		return best, f.error("status", KindSettled, primary.member.ID)
	case settled && (f.why == reasonStalled || f.why == reasonUnsettled):
		return best, f.error("status", KindSettled, primary.member.ID)
	}
	id, all := enoughAnswered(replies)
	planned := f.why == reasonLeaving || f.why == reasonMissing || f.why == reasonEvacuated
	if planned {
		if best, err = f.awaitSuccessor(ctx, primary, replies); err != nil {
			return best, err
		}
	}
	switch {
	case planned && all:
		err = f.fenceForTransfer(ctx, best, replies)
	case planned && f.mon.cfg.Unfenced && missingCount(replies) > 1:
		// After the demotion, the primary's answer would not be enough for a promotion.
		return best, f.error("status", KindNoAnswer, id)
	case planned:
		return f.prepareDemoted(ctx, primary, replies)
	case all:
		best, err = f.fenceAll(answeredReplicas(replies), nextTerm(replies))
	default:
		err = f.error("status", KindNoAnswer, id)
	}
	if err != nil {
		return best, err
	}
	if err := f.demote(primary, nextTerm(replies)); err != nil {
		return best, err
	}
	return f.includeUnfenced(ctx, replies, best)
}

// demote demotes the primary, which must confirm it.
func (f *failover) demote(primary *reply, term ident.Term) error {
	r := f.mon.control(dbop.Statement{Kind: dbop.Demote, Term: term}, &primary.member)
	if !r.answered || r.status.Primary {
		return f.error("demote", KindNoAnswer, f.old)
	}
	f.demoted = true
	return nil
}

// includeUnfenced reads the list and asks the replicas again after the primary was demoted.
// Databases that have joined the group or restarted since they were asked, or whose fence a
// late statement has lifted, may have acknowledged commits until then, so they are fenced,
// and the successor is chosen among them and the one chosen before.
func (f *failover) includeUnfenced(ctx context.Context, replies []reply, best roster.Member) (roster.Member, error) {
	term := nextTerm(replies)
	var again []reply
	var wg sync.WaitGroup
	wg.Go(func() { again = f.mon.controlAll(dbop.Statement{Kind: dbop.Status}, answeredReplicas(replies)) })
	err := f.mon.refreshList(ctx, f.st.id)
	wg.Wait()
	if err != nil {
		return best, err
	}
	unfenced := f.joinedSince(replies)
	for _, r := range again {
		switch {
		case !r.answered:
			return best, f.error("status", KindNoAnswer, r.member.ID)
		case r.status.FenceTerm < term:
			unfenced = append(unfenced, r.member)
		}
	}
	if len(unfenced) == 0 {
		return best, nil
	}
	candidates := slices.DeleteFunc(slices.Clone(f.answers), func(r reply) bool { return r.member.ID != best.ID })
	fenced, err := f.fence(unfenced, term)
	if err != nil {
		return best, err
	}
	best, _ = mostAdvanced(append(candidates, fenced...), f.mon.placement(f.st.id))
	return best, nil
}

// joinedSince returns the databases that were not asked.
func (f *failover) joinedSince(replies []reply) []roster.Member {
	return slices.DeleteFunc(f.members(), func(m roster.Member) bool {
		return slices.ContainsFunc(replies, func(r reply) bool { return r.member.ID == m.ID })
	})
}

// awaitSuccessor returns the successor of a primary that still works, but is leaving or
// missing from the list. It stays in service and has the log that the primary had when
// it was asked; without such a replica nothing changes.
func (f *failover) awaitSuccessor(ctx context.Context, primary *reply, replies []reply) (roster.Member, error) {
	best, ok := f.mon.awaitPosition(ctx, f.st.id, f.successors(replies), primary.status.Received)
	if !ok {
		return best, f.error("catch up", KindNoSuccessor, best.ID)
	}
	return best, nil
}

// fenceForTransfer fences all replicas, the successor last, so that it goes on receiving
// what the others acknowledged before their fence.
func (f *failover) fenceForTransfer(ctx context.Context, best roster.Member, replies []reply) error {
	others := slices.DeleteFunc(answeredReplicas(replies), func(m roster.Member) bool { return m.ID == best.ID })
	term := nextTerm(replies)
	fenced, err := f.fence(others, term)
	if err != nil {
		return err
	}
	if _, ok := f.mon.awaitPosition(ctx, f.st.id, []roster.Member{best}, highestReceived(fenced)); !ok {
		return f.error("catch up", KindNoSuccessor, best.ID)
	}
	_, err = f.fence([]roster.Member{best}, term)
	return err
}

// prepareDemoted chooses the successor of a working primary while a replica does not
// answer. The primary is demoted first: from then on it acknowledges no commit, and
// its log has every acknowledged commit. It may itself be the successor.
func (f *failover) prepareDemoted(ctx context.Context, primary *reply, replies []reply) (best roster.Member, err error) {
	if err := f.demote(primary, nextTerm(replies)); err != nil {
		return best, err
	}
	if err := f.mon.refreshList(ctx, f.st.id); err != nil {
		return best, err
	}
	if replies, err = f.collectStatuses(); err != nil {
		return best, err
	}
	if id, ok := enoughAnswered(replies); !ok && f.mon.cfg.Unfenced {
		return best, f.error("status", KindNoAnswer, id)
	}
	if !hasAnswered(replies, f.old) {
		return best, f.error("status", KindNoAnswer, f.old)
	}
	return f.fenceAll(answeredReplicas(replies), nextTerm(replies))
}

// awaitPosition waits until a database has received the log up to a position, and
// returns the preferred one of those that have. ok is false if there is none within
// catchUpTimeout.
func (mon *Monitor) awaitPosition(ctx context.Context, g ident.Group, ms []roster.Member, pos ident.Position) (best roster.Member, ok bool) {
	end := time.Now().Add(catchUpTimeout)
	for {
		var current []reply
		for _, r := range mon.controlAll(dbop.Statement{Kind: dbop.Status}, ms) {
			if r.answered && !r.status.Received.Less(pos) {
				current = append(current, r)
			}
		}
		if best, ok = bestPlaced(current, mon.placement(g)); ok {
			return best, true
		}
		if !time.Now().Before(end) || !wait.For(ctx, pollInterval) {
			return best, false
		}
	}
}
