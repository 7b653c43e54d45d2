package lead

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

const (
	// claimTTL is the lifetime of a claim. A VM that crashes while it holds one
	// delays its successor by as much.
	claimTTL = 6 * time.Second
	// claimMargin is the least remaining lifetime of a claim when a promotion call
	// is sent. It covers the call and the time until the database is the primary.
	// A successor that acts before then would not see the new primary, and could
	// roll back commits that it acknowledges.
	claimMargin = 3 * time.Second
	// callTimeout bounds a call to the store or the platform.
	callTimeout = time.Second
	// controlTimeout bounds the wait for one database's answer.
	controlTimeout = 400 * time.Millisecond
	// promotionTimeout bounds the wait until the promoted database is the primary.
	promotionTimeout = 3 * time.Second
	pollInterval     = 50 * time.Millisecond
)

// claim is the stored value of a claim.
type claim struct {
	VM   ident.VM     `json:"vm"`
	From ident.Target `json:"from"`
}

// heldClaim is a claim that this VM holds.
type heldClaim struct {
	lease store.LeaseID
	token store.Revision
	// expiresAt is the end of the claim, by Config.Clock.
	expiresAt time.Time
	// promotionSent is true once a promotion call may have been sent.
	promotionSent bool
}

// allowsCall reports whether a promotion call may still be sent at now.
func (c *heldClaim) allowsCall(now time.Time) bool { return now.Before(c.expiresAt.Add(-claimMargin)) }

// failOver replaces the primary. If it returns nil, the platform has accepted the
// promotion.
func (mon *Monitor) failOver(ctx context.Context, st *groupState, old ident.Target, why reason) error {
	if err := mon.refreshList(ctx, st.id); err != nil {
		return err
	}
	c, err := mon.acquireClaim(ctx, st.id, old)
	if err != nil {
		return err
	}
	defer mon.releaseClaim(c)
	best, fenced, err := mon.fenceReplicas(st, old, why, c)
	if err != nil {
		if !c.promotionSent {
			mon.unfenceReplicas(fenced)
		}
		return err
	}
	if err := mon.requestPromotion(ctx, st.id, best, c); err != nil {
		if !c.promotionSent {
			mon.unfenceReplicas(fenced)
		}
		return err
	}
	mon.cfg.Roster.DeposePrimary(st.id, old, time.Now())
	mon.awaitPromoted(ctx, st, best)
	mon.logElected(st.id, best.ID, old, c.token)
	return nil
}

// refreshList makes sure that every database of a group is known.
func (mon *Monitor) refreshList(ctx context.Context, g ident.Group) error {
	if mon.cfg.RefreshList != nil && mon.cfg.Roster.ListComplete(time.Now()) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := mon.cfg.RefreshList(ctx); err != nil {
			return &Error{Op: "list", Kind: KindStore, Group: g, Err: err}
		}
	}
	if !mon.cfg.Roster.ListComplete(time.Now()) {
		return &Error{Op: "check", Kind: KindListIncomplete, Group: g}
	}
	return nil
}

// acquireClaim creates this VM's claim to a group.
func (mon *Monitor) acquireClaim(ctx context.Context, g ident.Group, old ident.Target) (*heldClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := mon.cfg.Clock()
	lease, err := mon.cfg.Store.GrantLease(ctx, claimTTL)
	if err != nil {
		return nil, &Error{Op: "claim", Kind: KindStore, Group: g, Err: err}
	}
	c := &heldClaim{lease: lease, expiresAt: sent.Add(claimTTL)}
	value, err := json.Marshal(claim{mon.cfg.VM, old})
	if err != nil {
		return nil, &Error{Op: "claim", Kind: KindStore, Group: g, Err: err}
	}
	res, err := store.Swap(ctx, mon.cfg.Store, store.Write{Key: "failover/" + string(g), Value: value, Lease: lease})
	if err != nil {
		mon.releaseClaim(c)
		return nil, &Error{Op: "claim", Kind: KindStore, Group: g, Err: err}
	}
	if !res.Done {
		mon.releaseClaim(c)
		return nil, &Error{Op: "claim", Kind: KindClaimed, Group: g}
	}
	c.token = res.Current.Revision
	return c, nil
}

// releaseClaim ends a claim. If the call fails, the claim ends with its lease.
func (mon *Monitor) releaseClaim(c *heldClaim) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := mon.cfg.Store.RevokeLease(ctx, c.lease); err != nil {
			mon.logClaimUnreleased(err)
		}
	}()
}

// collectStatuses asks every database of the group for its status. If a replica
// does not answer and the primary is to be replaced although it works, the primary
// is demoted: from then on it acknowledges no commit, and its log holds every
// acknowledged commit.
func (mon *Monitor) collectStatuses(st *groupState, old ident.Target, why reason) ([]reply, error) {
	replies := mon.controlAll(dbop.Statement{Kind: dbop.Status}, mon.cfg.Roster.AllMembers(st.id))
	if id, ok := otherPrimary(replies, old); ok {
		return nil, &Error{Op: "status", Kind: KindOtherPrimary, Group: st.id, Target: id}
	}
	id, ok := enoughAnswered(replies)
	if ok {
		return replies, nil
	}
	if m, works := answeringPrimary(replies, old); works && (why == reasonLeaving || why == reasonMissing) {
		if s, demoted := mon.control(dbop.Statement{Kind: dbop.Demote, Term: nextTerm(replies)}, &m); demoted && !s.Primary {
			replies = mon.controlAll(dbop.Statement{Kind: dbop.Status}, mon.cfg.Roster.AllMembers(st.id))
			id, ok = enoughAnswered(replies)
			// Without the demoted database's log, those of the others may lack
			// acknowledged commits.
			ok = ok && hasAnswered(replies, old)
		}
	}
	if !ok {
		return nil, &Error{Op: "status", Kind: KindNoAnswer, Group: st.id, Target: id}
	}
	return replies, nil
}

// fenceReplicas stops every replica from accepting log entries of the current
// term, and returns the one to promote and those that were fenced. With an error,
// some of the latter may not be fenced.
func (mon *Monitor) fenceReplicas(st *groupState, old ident.Target, why reason, c *heldClaim) (best roster.Member, fenced []roster.Member, err error) {
	replies, err := mon.collectStatuses(st, old, why)
	if err != nil {
		return best, nil, err
	}
	replicas := answeredReplicas(replies)
	replies = mon.controlAll(dbop.Statement{Kind: dbop.Fence, Term: nextTerm(replies)}, replicas)
	for _, r := range replies {
		if !r.answered {
			return best, replicas, &Error{Op: "fence", Kind: KindNoAnswer, Group: st.id, Target: r.member.ID}
		}
	}
	best, ok := mostAdvanced(replies, mon.cfg.RegionOf, mon.cfg.HomeRegion)
	if !ok {
		return best, replicas, &Error{Op: "fence", Kind: KindNoAnswer, Group: st.id}
	}
	if !c.allowsCall(mon.cfg.Clock()) {
		return best, replicas, &Error{Op: "fence", Kind: KindClaimExpired, Group: st.id}
	}
	return best, replicas, nil
}

// controlAll sends a statement to each member at the same time.
func (mon *Monitor) controlAll(st dbop.Statement, ms []roster.Member) []reply {
	out := make([]reply, len(ms))
	var wg sync.WaitGroup
	for i := range ms {
		wg.Go(func() {
			out[i] = reply{member: ms[i]}
			out[i].status, out[i].answered = mon.control(st, &ms[i])
		})
	}
	wg.Wait()
	return out
}

// control sends a statement to one database. The statement takes a slot there, so
// it is repeated while the database is busy.
func (mon *Monitor) control(st dbop.Statement, m *roster.Member) (dbpool.Status, bool) {
	end := time.Now().Add(2 * controlTimeout)
	for time.Now().Before(end) {
		conn, err := mon.cfg.Pools.GetLocal(time.Now().Add(controlTimeout), m, "", 0)
		if err != nil {
			if !isBusy(err) {
				return dbpool.Status{}, false
			}
			continue
		}
		s, a, err := conn.Control(time.Now().Add(controlTimeout), st)
		conn.Release(err == nil)
		switch {
		case err != nil:
			mon.cfg.Pools.CloseIdleIfSilent(m, conn.SentAt())
		case a.Code == dbop.OK:
			return s, true
		}
		time.Sleep(pollInterval)
	}
	return dbpool.Status{}, false
}

// isBusy reports whether a connection could not be had only because the pool or
// the database had none free.
func isBusy(err error) bool {
	var e *dbpool.Error
	return errors.As(err, &e) && (e.Kind == dbpool.KindWaitTimeout || e.Code == dbop.TooMany || e.Code == dbop.Busy)
}

// requestPromotion calls the platform until it answers or the claim may end too
// soon for another call.
func (mon *Monitor) requestPromotion(ctx context.Context, g ident.Group, m roster.Member, c *heldClaim) error {
	for c.allowsCall(mon.cfg.Clock()) {
		c.promotionSent = true
		call, cancel := context.WithTimeout(ctx, callTimeout)
		v, err := mon.cfg.Promoter.Promote(call, g, m.ID, c.token)
		cancel()
		switch {
		case err == nil && v == Promoted:
			return nil
		case err == nil:
			return &Error{Op: "promote", Kind: KindRefused, Group: g, Target: m.ID}
		}
		mon.logPromotionUnanswered(g, m.ID, err)
		if !wait.For(ctx, retryDelay) {
			break
		}
	}
	return &Error{Op: "promote", Kind: KindClaimExpired, Group: g, Target: m.ID}
}

// awaitPromoted waits until the promoted database is the primary, at most for
// promotionTimeout.
func (mon *Monitor) awaitPromoted(ctx context.Context, st *groupState, m roster.Member) {
	end := time.Now().Add(promotionTimeout)
	for time.Now().Before(end) {
		code, err := mon.tryBegin(st, &m)
		if err == nil && code == dbop.OK {
			return
		}
		if !wait.For(ctx, pollInterval) {
			return
		}
	}
}

// unfenceReplicas lets replicas accept entries again after a failover that ended
// before any promotion call was sent.
func (mon *Monitor) unfenceReplicas(ms []roster.Member) {
	if len(ms) > 0 {
		mon.controlAll(dbop.Statement{Kind: dbop.Unfence}, ms)
	}
}
