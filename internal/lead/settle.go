package lead

import (
	"context"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/wait"
)

// promotionDelay covers the time from the acceptance of a promotion call to its effect,
// some hundred milliseconds. An earlier call may have been accepted just before the one
// for the present primary.
const promotionDelay = 800 * time.Millisecond

// settle ends what an earlier failover has left behind while the primary works: replicas
// that were fenced and receive nothing from it. That failover may also have sent a
// promotion call that is still to be carried out, against whose effect the fences protect.
// A call for the present primary, which changes nothing, has the platform refuse it. Only
// then are the fences lifted. settled is false if there was nothing to end.
func (f *failover) settle(ctx context.Context, primary *reply, replies []reply) (settled bool, err error) {
	left := leftFenced(replies, primary)
	if len(left) == 0 {
		return false, nil
	}
	if err := f.mon.requestPromotion(ctx, f.st.id, primary.member, f.claim); err != nil {
		return false, err
	}
	f.claim.promotionSent = false // it was answered
	if !wait.For(ctx, promotionDelay) || !f.mon.leads(f.st, &primary.member) {
		return false, f.error("settle", KindNoAnswer, primary.member.ID)
	}
	if !f.liftFences(left) {
		return false, f.error("unfence", KindClaimExpired, "")
	}
	f.mon.logFencesLifted(f.st.id, left)
	for i := range replies {
		replies[i].status.FenceTerm = 0 // later fences need not be above the former ones
	}
	return true, nil
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
