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
	// claimTTL is the length of a claim. A VM that dies with one delays its
	// successor by as much.
	claimTTL = 6 * time.Second
	// claimMargin is left of a claim when the last call is sent: the time of the
	// call, and that until the database leads. A successor that decides before it
	// leads would not see it, and could roll back what it acknowledges.
	claimMargin = 3 * time.Second
	// callTimeout bounds a call to the store or the platform.
	callTimeout = time.Second
	// controlTimeout bounds the answer of one database.
	controlTimeout = 400 * time.Millisecond
	// leadTimeout bounds the wait for the promoted database to lead.
	leadTimeout = 3 * time.Second
	leadPoll    = 50 * time.Millisecond
)

// claim is the value of the store key of a decision.
type claim struct {
	VM   ident.VM     `json:"vm"`
	From ident.Target `json:"from"`
}

// decision is a claim that this VM holds.
type decision struct {
	lease store.LeaseID
	token store.Revision
	// until is the end of the claim, by Config.Clock.
	until time.Time
	// called tells that a promotion was asked for.
	called bool
}

// valid reports whether a call may still be sent at now.
func (d *decision) valid(now time.Time) bool { return now.Before(d.until.Add(-claimMargin)) }

// takeover replaces the primary. Without an error the new primary leads.
func (l *Monitor) takeover(ctx context.Context, st *state, old ident.Target, why reason) error {
	if err := l.refresh(ctx, st.id); err != nil {
		return err
	}
	d, err := l.claim(ctx, st.id, old)
	if err != nil {
		return err
	}
	defer l.release(d)
	best, fenced, err := l.fence(st, old, why, d)
	if err != nil {
		if !d.called {
			l.unfence(fenced)
		}
		return err
	}
	if err := l.promote(ctx, st.id, best, d); err != nil {
		if !d.called {
			l.unfence(fenced)
		}
		return err
	}
	l.cfg.Roster.DeposePrimary(st.id, old, time.Now())
	l.awaitLead(ctx, st, best)
	l.logElected(st.id, best.ID, old, d.token)
	return nil
}

// refresh makes sure that every database of a group is known.
func (l *Monitor) refresh(ctx context.Context, g ident.Group) error {
	if l.cfg.RefreshList != nil && l.cfg.Roster.ListComplete(time.Now()) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := l.cfg.RefreshList(ctx); err != nil {
			return &Error{Op: "list", Kind: KindStore, Group: g, Err: err}
		}
	}
	if !l.cfg.Roster.ListComplete(time.Now()) {
		return &Error{Op: "check", Kind: KindListIncomplete, Group: g}
	}
	return nil
}

// claim takes the right to decide about a group.
func (l *Monitor) claim(ctx context.Context, g ident.Group, old ident.Target) (*decision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := l.cfg.Clock()
	lease, err := l.cfg.Store.GrantLease(ctx, claimTTL)
	if err != nil {
		return nil, &Error{Op: "claim", Kind: KindStore, Group: g, Err: err}
	}
	d := &decision{lease: lease, until: sent.Add(claimTTL)}
	value, err := json.Marshal(claim{l.cfg.VM, old})
	if err != nil {
		return nil, &Error{Op: "claim", Kind: KindStore, Group: g, Err: err}
	}
	res, err := store.Swap(ctx, l.cfg.Store, store.Write{Key: "failover/" + string(g), Value: value, Lease: lease})
	if err != nil {
		l.release(d)
		return nil, &Error{Op: "claim", Kind: KindStore, Group: g, Err: err}
	}
	if !res.Done {
		l.release(d)
		return nil, &Error{Op: "claim", Kind: KindClaimed, Group: g}
	}
	d.token = res.Current.Revision
	return d, nil
}

// release ends a claim. When the call fails, the claim ends with its lease.
func (l *Monitor) release(d *decision) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := l.cfg.Store.RevokeLease(ctx, d.lease); err != nil {
			l.logStore(err)
		}
	}()
}

// statuses asks every database of the group. When a replica does not answer and
// the primary is to be replaced while it works, the primary is demoted: from
// then on it acknowledges nothing, and its own log has every acknowledged commit.
func (l *Monitor) statuses(st *state, old ident.Target, why reason) ([]reply, error) {
	replies := l.controlAll(dbop.Statement{Kind: dbop.Status}, l.cfg.Roster.AllMembers(st.id))
	if id, ok := leads(replies, old); ok {
		return nil, &Error{Op: "status", Kind: KindOtherPrimary, Group: st.id, Target: id}
	}
	id, ok := unheard(replies)
	if ok {
		return replies, nil
	}
	if m, works := working(replies, old); works && (why == reasonLeaving || why == reasonGone) {
		if s, demoted := l.control(dbop.Statement{Kind: dbop.Demote, Term: nextTerm(replies)}, &m); demoted && !s.Primary {
			replies = l.controlAll(dbop.Statement{Kind: dbop.Status}, l.cfg.Roster.AllMembers(st.id))
			id, ok = unheard(replies)
			// Without the demoted one's log the others' need not be complete.
			ok = ok && answered(replies, old)
		}
	}
	if !ok {
		return nil, &Error{Op: "status", Kind: KindNoAnswer, Group: st.id, Target: id}
	}
	return replies, nil
}

// fence stops every replica from taking log entries of the present term, and
// returns the one to promote and those that were fenced.
func (l *Monitor) fence(st *state, old ident.Target, why reason, d *decision) (best roster.Member, fenced []roster.Member, err error) {
	replies, err := l.statuses(st, old, why)
	if err != nil {
		return best, nil, err
	}
	replicas := replicasOf(replies)
	replies = l.controlAll(dbop.Statement{Kind: dbop.Fence, Term: nextTerm(replies)}, replicas)
	for _, r := range replies {
		if !r.heard {
			return best, replicas, &Error{Op: "fence", Kind: KindNoAnswer, Group: st.id, Target: r.member.ID}
		}
	}
	best, ok := highest(replies, l.cfg.RegionOf, l.cfg.HomeRegion)
	if !ok {
		return best, replicas, &Error{Op: "fence", Kind: KindNoAnswer, Group: st.id}
	}
	if !d.valid(l.cfg.Clock()) {
		return best, replicas, &Error{Op: "fence", Kind: KindClaimExpired, Group: st.id}
	}
	return best, replicas, nil
}

// controlAll sends a statement to each member at the same time.
func (l *Monitor) controlAll(st dbop.Statement, ms []roster.Member) []reply {
	out := make([]reply, len(ms))
	var wg sync.WaitGroup
	for i := range ms {
		wg.Go(func() {
			out[i] = reply{member: ms[i]}
			out[i].status, out[i].heard = l.control(st, &ms[i])
		})
	}
	wg.Wait()
	return out
}

// control sends a statement to one database. It takes a slot there, so a busy
// database is asked again.
func (l *Monitor) control(st dbop.Statement, m *roster.Member) (dbpool.Status, bool) {
	end := time.Now().Add(2 * controlTimeout)
	for time.Now().Before(end) {
		conn, err := l.cfg.Pools.GetLocal(time.Now().Add(controlTimeout), m, "", 0)
		if err != nil {
			if !waits(err) {
				return dbpool.Status{}, false
			}
			continue
		}
		s, a, err := conn.Control(time.Now().Add(controlTimeout), st)
		conn.Release(err == nil)
		switch {
		case err != nil:
			l.cfg.Pools.CloseIdleIfSilent(m, conn.SentAt())
		case a.Code == dbop.OK:
			return s, true
		}
		time.Sleep(leadPoll)
	}
	return dbpool.Status{}, false
}

// waits reports whether a connection could not be had for want of room only.
func waits(err error) bool {
	var e *dbpool.Error
	return errors.As(err, &e) && (e.Kind == dbpool.KindWaitTimeout || e.Code == dbop.TooMany || e.Code == dbop.Busy)
}

// promote asks the platform until it answers or the claim may have ended.
func (l *Monitor) promote(ctx context.Context, g ident.Group, m roster.Member, d *decision) error {
	for d.valid(l.cfg.Clock()) {
		d.called = true
		call, cancel := context.WithTimeout(ctx, callTimeout)
		v, err := l.cfg.Promoter.Promote(call, g, m.ID, d.token)
		cancel()
		switch {
		case err == nil && v == Promoted:
			return nil
		case err == nil:
			return &Error{Op: "promote", Kind: KindRefused, Group: g, Target: m.ID}
		}
		l.logCall(g, m.ID, err)
		if !wait.For(ctx, retryPause) {
			break
		}
	}
	return &Error{Op: "promote", Kind: KindClaimExpired, Group: g, Target: m.ID}
}

// awaitLead waits until the promoted database leads.
func (l *Monitor) awaitLead(ctx context.Context, st *state, m roster.Member) {
	end := time.Now().Add(leadTimeout)
	for time.Now().Before(end) {
		code, err := l.ask(st, &m)
		if err == nil && code == dbop.OK {
			return
		}
		if !wait.For(ctx, leadPoll) {
			return
		}
	}
}

// unfence lets replicas go on after a promotion that was not asked for.
func (l *Monitor) unfence(ms []roster.Member) {
	if len(ms) > 0 {
		l.controlAll(dbop.Statement{Kind: dbop.Unfence}, ms)
	}
}
