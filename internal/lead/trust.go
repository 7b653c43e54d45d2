package lead

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
)

const (
	// trustTimeout is how long a VM trusts a primary that it has not heard from. A VM that
	// has the claim asks the others, which answer for a primary that they trust.
	trustTimeout = peerConfirmationAge
	// recheckDelay is the least time between checks of a primary that is not trusted.
	recheckDelay = 100 * time.Millisecond
)

// trust is the knowledge that no promotion under way replaces a primary unnoticed. It
// begins with a check and ends when the VM has lost contact with the primary: another VM
// may have begun a failover, whose fences do not cover databases that join or restart
// later. Commits that these acknowledge would be lost.
type trust struct {
	id ident.Target
	// heardAt is when the database last acted as the primary, by Config.Clock.
	heardAt time.Time
}

// trustCheck is a check, whose result all who wait for it share.
type trustCheck struct {
	id      ident.Target
	done    chan struct{}
	trusted bool
	// endedAt is by Config.Clock, zero while the check is in progress.
	endedAt time.Time
}

// answers reports whether the check answers a question about a database: it is in progress,
// or has held commits there back a moment ago. The caller holds groupState.mu.
func (c *trustCheck) answers(id ident.Target, now time.Time) bool {
	return c.endedAt.IsZero() || !c.trusted && c.id == id && now.Sub(c.endedAt) < recheckDelay
}

// trusts reports whether a database is trusted as the primary. The caller holds st.mu.
func (st *groupState) trusts(id ident.Target, now time.Time) bool {
	return st.trust.id == id && now.Sub(st.trust.heardAt) <= trustTimeout
}

// extendTrust records that a database acted as the primary, which ends the trust in
// another one. The caller holds st.mu.
func (st *groupState) extendTrust(id ident.Target, now time.Time) {
	switch {
	case st.trusts(id, now):
		st.trust.heardAt = now
	case st.trust.id != "" && st.trust.id != id:
		st.loseTrust()
	}
}

// loseTrust ends the trust in the primary. The caller holds st.mu.
func (st *groupState) loseTrust() {
	st.trust = trust{}
	st.trustLosses++
}

// AllowCommit implements dbpool.Commits.
func (mon *Monitor) AllowCommit(deadline time.Time, m *roster.Member) bool {
	if !mon.keepsSet(m.Group) {
		return true
	}
	st := mon.groupState(m.Group)
	c := mon.startCheck(st, m.ID)
	if c == nil {
		return true
	}
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-c.done:
		return c.trusted && c.id == m.ID
	case <-t.C:
		return false
	}
}

// ConfirmCommit implements dbpool.Commits. Contact that was lost since the commit was sent
// may mean that the database has been replaced.
func (mon *Monitor) ConfirmCommit(deadline time.Time, m *roster.Member, after ident.Position) bool {
	if !mon.keepsSet(m.Group) {
		return true
	}
	st := mon.groupState(m.Group)
	st.mu.Lock()
	trusted := st.trusts(m.ID, mon.cfg.Clock())
	st.mu.Unlock()
	if !trusted && !(mon.AllowCommit(deadline, m) && mon.leads(st, m)) {
		return false
	}
	mon.Confirm(m.Group, m.ID, ident.Position{}, time.Time{})
	st.recordAcknowledged(after)
	return true
}

// startCheck returns the check whose result says whether a database is trusted, or nil if
// it is.
func (mon *Monitor) startCheck(st *groupState, id ident.Target) *trustCheck {
	now := mon.cfg.Clock()
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.trusts(id, now) {
		return nil
	}
	if c := st.check; c != nil && c.answers(id, now) {
		return c
	}
	c := &trustCheck{id: id, done: make(chan struct{})}
	losses := st.trustLosses
	st.check = c
	go func() {
		replaced, open := mon.isReplaced(st, id)
		st.mu.Lock()
		defer st.mu.Unlock()
		c.endedAt = mon.cfg.Clock()
		// Contact that was lost meanwhile may have been lost after the store was read.
		if c.trusted = !replaced && losses == st.trustLosses; c.trusted {
			st.trust = trust{id, c.endedAt}
		}
		mon.recordCheck(st, c, open)
		close(c.done)
	}()
	return c
}

// recordCheck logs when commits are first held back, and when they are allowed again. The
// caller holds st.mu.
func (mon *Monitor) recordCheck(st *groupState, c *trustCheck, open bool) {
	st.openCallSeen = open
	if open {
		st.wake() // so that the call is settled
	}
	switch {
	case !c.trusted && st.heldSince.IsZero():
		st.heldSince = time.Now()
		mon.logCommitsHeld(st.id, c.id)
	case c.trusted && !st.heldSince.IsZero():
		mon.logCommitsReleased(st.id, c.id, time.Since(st.heldSince))
		st.heldSince = time.Time{}
	}
}

// isReplaced reports whether a promotion under way may replace a database that acts as the
// primary, and whether a recorded call may. While the store does not answer, the fences of
// the replicas tell.
func (mon *Monitor) isReplaced(st *groupState, id ident.Target) (replaced, open bool) {
	held, set, err := mon.readDecision(context.Background(), st.id)
	if err != nil {
		return !mon.hasReceivingReplica(st.id, id), false
	}
	return mayReplace(held, set.Call, id), set.Call != nil && set.Call.Target != id
}

// readDecision reads the claim to a group, nil if nobody holds it, and its in-sync set.
func (mon *Monitor) readDecision(ctx context.Context, g ident.Group) (held *claim, set storedSet, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var claimErr error
	var wg sync.WaitGroup
	wg.Go(func() { held, claimErr = mon.readClaim(ctx, g) })
	set, err = mon.readSet(ctx, g)
	wg.Wait()
	return held, set, errors.Join(claimErr, err)
}

// mayReplace reports whether the holder of a claim, if any, or the last open call may
// replace a database that acts as the primary. A call that names the database and has
// made it the primary voids all earlier ones.
func mayReplace(held *claim, call *sentCall, id ident.Target) bool {
	promoted := call != nil && call.Target == id && call.From != id
	switch {
	case call != nil && !promoted:
		return true
	case held == nil:
		return false
	}
	return !promoted || held.From == id
}

// readClaim returns the claim to a group, or nil if nobody holds it.
func (mon *Monitor) readClaim(ctx context.Context, g ident.Group) (*claim, error) {
	e, err := store.Read(ctx, mon.cfg.Store, claimKey(g))
	if err != nil {
		return nil, &Error{Op: "read claim", Kind: KindStore, Group: g, Err: err}
	}
	if e.Revision == 0 {
		return nil, nil //nolint:nilnil // documented
	}
	c := &claim{}
	if err := json.Unmarshal(e.Value, c); err != nil {
		return nil, &Error{Op: "read claim", Kind: KindStore, Group: g, Err: err}
	}
	return c, nil
}

// hasReceivingReplica reports whether a database is the primary, and replicas answer of
// which none is fenced above its term.
func (mon *Monitor) hasReceivingReplica(g ident.Group, id ident.Target) bool {
	replies := mon.controlAll(dbop.Statement{Kind: dbop.Status}, mon.cfg.Roster.AllMembers(g))
	primary, ok := primaryOf(replies)
	if !ok || primary.member.ID != id {
		return false
	}
	return len(answeredReplicas(replies)) > 0 && len(leftFenced(replies, &primary)) == 0
}
