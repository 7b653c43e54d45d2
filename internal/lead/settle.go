package lead

import (
	"context"
	"errors"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

// promotionDelay covers the time from the acceptance of a promotion call to its effect,
// some hundred milliseconds. An earlier call may have been accepted just before the one
// for the present primary.
const promotionDelay = 800 * time.Millisecond

// fenceAboveCall is how far above the highest term replicas are fenced while an earlier
// promotion call is open. The database that it names would lead the next term, and must
// get no commit acknowledged by them.
const fenceAboveCall = 2

// settle ends what an earlier failover has left behind while the primary works: replicas
// that were fenced and receive nothing from it. That failover may also have sent a
// promotion call that is still to be carried out, against whose effect the fences protect.
// A call for the present primary, which changes nothing, has the platform refuse it. Only
// then are the fences lifted. settled is false if there was nothing to end. Where calls are
// not recorded, fences that were left stand for one.
func (f *failover) settle(ctx context.Context, primary *reply, replies []reply) (settled bool, err error) {
	left := leftFenced(replies, primary)
	open := f.hasOpenCall()
	if len(left) == 0 && !open {
		return false, nil
	}
	if open {
		// A replica that has restarted or joined since is not fenced. What it acknowledges
		// would be lost if the earlier call were carried out before this one.
		left = answeredReplicas(replies)
		if _, err := f.fence(left, highestTerm(replies)+fenceAboveCall); err != nil {
			return false, err
		}
	}
	if open || !f.mon.keepsSet(f.st.id) {
		if err := f.supersedeCalls(ctx, primary); err != nil {
			return false, err
		}
	}
	if !f.liftFences(left) {
		return false, f.error("unfence", KindClaimExpired, "")
	}
	f.fenced = nil
	f.recordSettled(ctx)
	f.mon.logFencesLifted(f.st.id, left)
	for i := range replies {
		replies[i].status.FenceTerm = 0 // later fences need not be above the former ones
	}
	return true, nil
}

// supersedeCalls makes the platform refuse all earlier promotion calls, by one for the
// present primary, and waits until one that was accepted just before would have taken effect.
// The call is recorded like others: the primary may be replaced before it is carried out.
func (f *failover) supersedeCalls(ctx context.Context, primary *reply) error {
	if err := f.recordCall(ctx, primary.member.ID); err != nil {
		return err
	}
	if err := f.requestPromotion(ctx, primary.member, nil); err != nil {
		return err
	}
	if f.claim.unanswered {
		return f.error("settle", KindNoAnswer, primary.member.ID)
	}
	f.claim.promotionSent = false // it was answered
	if !wait.For(ctx, promotionDelay) || !f.mon.leads(f.st, &primary.member) {
		return f.error("settle", KindNoAnswer, primary.member.ID)
	}
	return nil
}

// leftFenced returns the replicas that accept no entries of the primary's term.
func leftFenced(replies []reply, primary *reply) []roster.Member {
	var out []roster.Member
	for _, r := range replies {
		if r.answered && !r.status.Primary && r.status.FenceTerm > primary.status.Term {
			out = append(out, r.member)
		}
	}
	return out
}

// liftFences lets replicas accept entries again. It reports false if the claim may expire
// too soon, or if a replica gave no answer: the statement may still be carried out, and
// the claim has to last until then.
func (f *failover) liftFences(ms []roster.Member) bool {
	if !f.mon.allowsCall(f.claim) {
		return false
	}
	for _, r := range f.mon.controlAll(dbop.Statement{Kind: dbop.Unfence}, ms) {
		if r.outstanding {
			f.claim.unfenceUnanswered = true
		}
	}
	return !f.claim.unfenceUnanswered
}

// liftStale lifts the fences of replicas that are fenced above the term of the database
// that has just been promoted: those that an earlier failover had set.
func (f *failover) liftStale(promoted roster.Member) {
	replies := f.mon.controlAll(dbop.Statement{Kind: dbop.Status}, f.members())
	primary, ok := primaryOf(replies)
	if !ok || primary.member.ID != promoted.ID {
		return
	}
	if left := leftFenced(replies, &primary); len(left) > 0 && f.liftFences(left) {
		f.mon.logFencesLifted(f.st.id, left)
	}
}

// recordCall writes to the store which database this attempt wants to lead, before it sends
// the call: if the call gets no answer, other VMs learn of it there.
func (f *failover) recordCall(ctx context.Context, id ident.Target) error {
	if !f.mon.keepsSet(f.st.id) {
		return nil
	}
	if err := f.changeSet(ctx, f.hasFinalLog, func(s inSyncSet) inSyncSet {
		s.Call = &sentCall{Token: f.claim.token, Target: id, From: f.old}
		return s
	}); err != nil {
		return err
	}
	f.st.setOpenToken(f.claim.token)
	if !f.mon.allowsCall(f.claim) {
		return f.error("record call", KindClaimExpired, id)
	}
	return nil
}

// changeSet changes the in-sync set. If another VM has changed it meanwhile, the change is
// made again. If there are databases in it that this attempt has not asked, that is so only
// with anyMembers.
func (f *failover) changeSet(ctx context.Context, anyMembers bool, change func(inSyncSet) inSyncSet) error {
	s, err := f.mon.writeSet(ctx, f.st.id, f.set, change(f.set.inSyncSet))
	var e *Error
	if errors.As(err, &e) && e.Kind == KindConflict {
		var current storedSet
		if current, err = f.mon.readSet(ctx, f.st.id); err != nil {
			return err
		}
		if !anyMembers && !f.set.covers(listed{targets: current.Targets}) {
			return e
		}
		s, err = f.mon.writeSet(ctx, f.st.id, current, change(current.inSyncSet))
	}
	if err == nil {
		f.set = s
	}
	return err
}

// recordSettled writes to the store that no earlier promotion call is open. If that
// fails, or a call with the last token is open, the group is settled once more.
func (f *failover) recordSettled(ctx context.Context) {
	if f.claim.unanswered {
		return
	}
	if f.set.Call != nil {
		if err := f.changeSet(ctx, true, func(s inSyncSet) inSyncSet {
			if s.Call != nil && s.Call.Token <= f.claim.token {
				s.Call = nil
			}
			s.Accepted = max(s.Accepted, f.claim.accepted)
			return s
		}); err != nil {
			f.mon.logInSyncFailed(f.st.id, err)
			return
		}
	}
	f.st.setOpenToken(0)
}

// hasOpenCall reports whether an earlier promotion call may still be carried out, or one of
// this attempt.
func (f *failover) hasOpenCall() bool {
	f.st.mu.Lock()
	defer f.st.mu.Unlock()
	return f.set.Call != nil || f.st.openToken > f.set.Accepted
}

// setOpenToken records the token of a promotion call of this VM that may still be carried
// out, or 0. The in-sync set is read again by the VM that keeps it.
func (st *groupState) setOpenToken(token store.Revision) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.openToken, st.openCallSeen = token, false
	st.dropKnownSet()
}

// hasOpenCall reports whether a promotion call may still be carried out, as far as this VM
// knows. The caller holds st.mu.
func (st *groupState) hasOpenCall() bool {
	return st.openToken != 0 || st.openCallSeen || st.knownSet != nil && st.knownSet.Call != nil
}

// isSettled reports whether no promotion call is open according to the store, or another VM
// decides: an attempt to settle the group would be of no use.
func (mon *Monitor) isSettled(ctx context.Context, st *groupState) (settled, claimed bool) {
	held, set, err := mon.readDecision(ctx, st.id)
	if err != nil {
		return false, false
	}
	st.mu.Lock()
	open := set.Call != nil || st.openToken > set.Accepted
	st.mu.Unlock()
	if !open {
		st.setOpenToken(0)
	}
	return !open, held != nil
}
