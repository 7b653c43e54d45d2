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

const (
	// catchUpTimeout bounds the wait until a successor has received the entries that the
	// primary already has. It covers a few round trips between regions.
	catchUpTimeout = 500 * time.Millisecond
	// maxHandOvers is the number of times that one attempt demotes a primary. Before the
	// second one the replicas have the whole log, as no VM sends commits in between.
	maxHandOvers = 2
)

// replaceWorking returns the successor of a primary that answers. The primary is demoted
// before the promotion: a database that joins the group after the fences could acknowledge
// its commits until the promotion takes effect.
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
	switch {
	case f.isPlanned() && f.mon.cfg.Unfenced && missingCount(replies) > 1:
		// A database that does not answer may lead a later term.
		return best, f.error("status", KindNoAnswer, id)
	case f.isPlanned():
		return f.handOver(ctx, primary, replies)
	case !all:
		return best, f.error("status", KindNoAnswer, id)
	}
	if best, err = f.fenceAll(answeredReplicas(replies), nextTerm(replies)); err != nil {
		return best, err
	}
	if err := f.demote(primary, nextTerm(replies)); err != nil {
		return best, err
	}
	return f.includeUnfenced(ctx, replies, best)
}

// isPlanned reports whether the primary is replaced although it gets commits acknowledged.
// It is replaced only by a database that has its whole log, and goes on otherwise.
func (f *failover) isPlanned() bool {
	return f.why == reasonLeaving || f.why == reasonMissing || f.why == reasonEvacuated
}

// handOver demotes a primary that works and returns a database that has its whole log. The
// position at which the primary was demoted is final: whichever databases had received its
// commits, listed or not, none above that position was acknowledged. The replicas go on
// receiving the log until then. If none has all of it, the primary itself is returned, which
// then leads the next term.
func (f *failover) handOver(ctx context.Context, primary *reply, replies []reply) (best roster.Member, err error) {
	successors := f.successors(replies)
	if _, ok := f.mon.awaitPosition(ctx, f.st.id, successors, primary.status.Received, catchUpTimeout); !ok {
		return best, f.error("catch up", KindNoSuccessor, f.old)
	}
	if !f.mon.allowsCall(f.claim) {
		return best, f.error("demote", KindClaimExpired, f.old)
	}
	term := nextTerm(replies)
	if err := f.demote(primary, term); err != nil {
		return best, err
	}
	f.hasFinalLog = true // whoever is returned
	best, ok := f.mon.awaitPosition(ctx, f.st.id, successors, f.final, replicationTimeout)
	if !ok {
		if best, ok = f.joinedSuccessor(ctx, successors, replies); !ok {
			return primary.member, nil
		}
	}
	// The primary may crash and be back as the primary before the promotion takes effect.
	replicas := answeredReplicas(replies)
	if !slices.ContainsFunc(replicas, func(m roster.Member) bool { return m.ID == best.ID }) {
		replicas = append(replicas, best)
	}
	if _, err := f.fence(replicas, term); err != nil {
		return best, err
	}
	if f.receivedBy(best.ID).Less(f.final) {
		return primary.member, nil // it has restarted without its log
	}
	return best, nil
}

// joinedSuccessor reads the list and returns a successor, or a database that has joined the
// group since the others were asked, which has the final log.
func (f *failover) joinedSuccessor(ctx context.Context, successors []roster.Member, replies []reply) (roster.Member, bool) {
	if f.mon.refreshList(ctx, f.st.id) == nil {
		successors = append(slices.Clone(successors), f.joinedSince(replies)...)
	}
	f.answers = f.mon.controlAll(dbop.Statement{Kind: dbop.Status}, successors)
	current := slices.DeleteFunc(slices.Clone(f.answers), func(r reply) bool { return !r.answered || r.status.Received.Less(f.final) })
	return bestPlaced(current, f.mon.placement(f.st.id))
}

// demote demotes the primary, which must confirm it, and records the end of its log.
func (f *failover) demote(primary *reply, term ident.Term) error {
	r := f.mon.control(dbop.Statement{Kind: dbop.Demote, Term: term}, &primary.member)
	if !r.answered || r.status.Primary {
		return f.error("demote", KindNoAnswer, f.old)
	}
	f.demoted, f.final = true, r.status.Received
	return nil
}

// retryHandOver prepares another hand-over after the demoted primary has been made the
// primary again, since no other database had its whole log. The other VMs go on holding
// commits back while this one has the claim, so that the replicas receive all of the log.
func (f *failover) retryHandOver(ctx context.Context) error {
	f.claim.promotionSent = false // it has taken effect, which ended the fences
	f.fenced, f.answers, f.demoted, f.hasFinalLog = nil, nil, false, false
	if f.handOvers++; f.handOvers >= maxHandOvers || !f.isPlanned() {
		return f.error("catch up", KindNoSuccessor, f.old)
	}
	return f.mon.extendClaim(ctx, f.st.id, f.claim)
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

// awaitPosition waits until a database has received the log up to a position, and returns
// the preferred one of those that have. ok is false if there is none within the timeout.
func (mon *Monitor) awaitPosition(ctx context.Context, g ident.Group, ms []roster.Member, pos ident.Position, timeout time.Duration) (best roster.Member, ok bool) {
	end := time.Now().Add(timeout)
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
