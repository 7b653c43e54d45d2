package lead

import (
	"context"
	"slices"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/wait"
)

// catchUpTimeout bounds the wait until a successor has received the entries that
// another database already has. It covers a few round trips between regions.
const catchUpTimeout = 500 * time.Millisecond

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
