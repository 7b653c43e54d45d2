package lead

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/wait"
)

// promotionTimeout bounds the wait until the promoted database is the primary.
const promotionTimeout = 3 * time.Second

// failover is one attempt to replace the primary of a group.
type failover struct {
	mon   *Monitor
	st    *groupState
	old   ident.Target
	why   reason
	claim *heldClaim
	// set is the group's in-sync set, empty if it has none.
	set storedSet
	// fenced has the databases that may be fenced, and answers what those answered that
	// are.
	fenced  []roster.Member
	answers []reply
	// statuses are the last answers of all databases that were asked.
	statuses []reply
	// demoted is set once the primary has confirmed its demotion, and final is the end of
	// its log since then. hasFinalLog is set when the database chosen has all of that log.
	demoted     bool
	final       ident.Position
	hasFinalLog bool
	// handOvers counts how often the primary was demoted and led again.
	handOvers int

	// reported is a position above which a commit was acknowledged, as other VMs have
	// answered; peersAsked is set once they were asked. reportedMu guards both.
	reportedMu sync.Mutex
	reported   ident.Position
	peersAsked bool
}

// failOver replaces the primary. If it returns nil, the promoted database has
// become the primary.
func (mon *Monitor) failOver(ctx context.Context, st *groupState, old ident.Target, why reason) error {
	if err := mon.refreshList(ctx, st.id); err != nil {
		return err
	}
	c, err := mon.acquireClaim(ctx, st.id, old)
	if err != nil {
		return err
	}
	f := &failover{mon: mon, st: st, old: old, why: why, claim: c}
	defer f.end()
	if err := f.readSet(ctx); err != nil {
		return err
	}
	for {
		best, err := f.chooseSuccessor(ctx)
		if err == nil {
			best, err = f.requireAcknowledged(ctx, best)
		}
		if err != nil {
			return err
		}
		if err := f.promote(ctx, best); err != nil {
			return err
		}
		if best.ID != old || !f.demoted {
			return nil
		}
		if err := f.retryHandOver(ctx); err != nil {
			return err
		}
	}
}

// promote makes a database the primary and waits until it leads.
func (f *failover) promote(ctx context.Context, m roster.Member) error {
	if err := f.recordCall(ctx, m.ID); err != nil {
		return err
	}
	if err := f.requestPromotion(ctx, m, func() error { return f.fenceRestarted(m.ID) }); err != nil {
		return err
	}
	f.mon.cfg.Roster.DeposePrimary(f.st.id, f.old, time.Now())
	if !f.mon.awaitPromoted(ctx, f.st, m) {
		return f.error("await", KindNotPromoted, m.ID)
	}
	if m.ID == f.old && f.demoted {
		f.logReinstated()
	} else {
		f.mon.logElected(f.st.id, m.ID, f.old, f.claim.token)
	}
	if !f.demoted {
		f.mon.demoteFormer(f.st, f.old, m)
	}
	f.liftStale(m)
	f.recordSettled(ctx)
	return nil
}

// end lifts the fences if no promotion call is open, and releases the claim. When the
// claim may expire too soon, the replicas stay fenced: another VM may rely on fences of
// its own, and lifts them if the primary works.
func (f *failover) end() {
	if !f.claim.promotionSent && !f.hasOpenCall() && len(f.fenced) > 0 {
		f.liftFences(f.fenced)
	}
	if !f.claim.unfenceUnanswered {
		f.mon.releaseClaim(f.claim)
	}
}

// refreshList reads the list of databases. Where it is not read on demand, it has to be
// complete already.
func (mon *Monitor) refreshList(ctx context.Context, g ident.Group) error {
	if mon.cfg.RefreshList == nil {
		return mon.checkListComplete(g)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := mon.cfg.RefreshList(ctx); err != nil {
		return &Error{Op: "list", Kind: KindStore, Group: g, Err: err}
	}
	return nil
}

// checkListComplete returns an error if the list of databases may lack some that may hold
// acknowledged commits.
func (mon *Monitor) checkListComplete(g ident.Group) error {
	if !mon.cfg.Roster.ListComplete(time.Now()) {
		return &Error{Op: "check", Kind: KindListIncomplete, Group: g}
	}
	return nil
}

// readSet reads the group's in-sync set and adds the listed databases to it.
// While there is none, only the list tells which databases may hold a commit.
func (f *failover) readSet(ctx context.Context) (err error) {
	if !f.mon.keepsSet(f.st.id) {
		return f.mon.checkListComplete(f.st.id)
	}
	if f.set, err = f.mon.readSet(ctx, f.st.id); err != nil {
		return err
	}
	if f.set.revision == 0 {
		if f.set.inSyncSet, err = f.mon.firstSet(f.st.id); err != nil {
			return err
		}
	}
	if present := f.mon.listedTargets(f.st.id); f.set.revision == 0 || !f.set.covers(present) {
		f.set, err = f.mon.writeSet(ctx, f.st.id, f.set, f.set.with(present))
	}
	return err
}

// members returns the databases of the group that a failover has to ask: those that are
// listed, and those that may hold an acknowledged commit.
func (f *failover) members() []roster.Member {
	out := slices.DeleteFunc(f.mon.cfg.Roster.AllMembers(f.st.id), func(m roster.Member) bool {
		return !m.MissingSince.IsZero() && len(f.set.Targets) > 0 && !f.set.has(m.ID)
	})
	for i := range out {
		out[i].Leaving = out[i].Leaving || !out[i].MissingSince.IsZero() && slices.Contains(f.set.Leaving, out[i].ID)
	}
	return out
}

// unaskedMembers returns missing replies for the databases of the in-sync set that are not
// among those asked: this VM had seen no entry of them then.
func (f *failover) unaskedMembers(asked []roster.Member) []reply {
	var out []reply
	for _, id := range f.set.Targets {
		if slices.ContainsFunc(asked, func(m roster.Member) bool { return m.ID == id }) {
			continue
		}
		out = append(out, reply{member: f.mon.setMember(f.st, f.set.inSyncSet, id, time.Now())})
	}
	return out
}

// chooseSuccessor returns the database to promote, after it has made sure that no
// commit which that database lacks can be acknowledged any more.
func (f *failover) chooseSuccessor(ctx context.Context) (best roster.Member, err error) {
	confirmed := make(chan bool, 1)
	go func() { confirmed <- f.why == reasonSilent && f.confirmedByPeer(ctx, f.old) }()
	replies, err := f.collectStatuses()
	if err != nil {
		return best, err
	}
	primary, works := answeringPrimary(replies, f.old)
	if f.why == reasonUnsettled && !works {
		return best, f.error("status", KindNoAnswer, f.old)
	}
	if works {
		return f.replaceWorking(ctx, &primary, replies)
	}
	// The other VMs are asked after the claim was made: one that has contact with the primary
	// since before then may send commits there.
	if <-confirmed {
		return best, f.error("status", KindPrimaryWorks, f.old)
	}
	if id, ok := f.silentPrimary(ctx, replies); ok {
		return best, f.error("status", KindPrimaryWorks, id)
	}
	if id, ok := enoughAnswered(replies); !ok {
		return best, f.error("status", KindNoAnswer, id)
	}
	return f.fenceAll(answeredReplicas(replies), nextTerm(replies))
}

// silentPrimary returns a database that did not answer this VM, but that another VM has
// recently confirmed as the primary. It may be one that this VM had promoted itself
// without seeing it become the primary.
func (f *failover) silentPrimary(ctx context.Context, replies []reply) (id ident.Target, ok bool) {
	var wg sync.WaitGroup
	confirmed := make([]bool, len(replies))
	for i, r := range replies {
		if r.answered || r.member.ID == f.old && f.why == reasonSilent {
			continue // the other VMs were asked already
		}
		wg.Go(func() { confirmed[i] = f.confirmedByPeer(ctx, r.member.ID) })
	}
	wg.Wait()
	if i := slices.Index(confirmed, true); i >= 0 {
		return replies[i].member.ID, true
	}
	return "", false
}

// collectStatuses asks every database of the group for its status.
func (f *failover) collectStatuses() ([]reply, error) {
	members := f.members()
	replies := append(f.mon.controlAll(dbop.Statement{Kind: dbop.Status}, members), f.unaskedMembers(members)...)
	if f.mon.cfg.Unfenced {
		f.mon.demoteOlder(replies)
	}
	f.statuses = replies
	if id, ok := otherPrimary(replies, f.old); ok {
		return nil, f.error("status", KindOtherPrimary, id)
	}
	return replies, nil
}

// fenceAll stops every replica from accepting log entries of the current term, and
// returns the one with the highest position.
func (f *failover) fenceAll(replicas []roster.Member, term ident.Term) (best roster.Member, err error) {
	replies, err := f.fence(replicas, term)
	if err != nil {
		return best, err
	}
	best, ok := mostAdvanced(replies, f.mon.placement(f.st.id))
	if !ok {
		return best, f.error("fence", KindNoAnswer, "")
	}
	return best, nil
}

// fence fences replicas and returns their answers. All have to answer, and a
// promotion must still be allowed afterwards.
func (f *failover) fence(replicas []roster.Member, term ident.Term) ([]reply, error) {
	f.fenced = append(f.fenced, replicas...)
	replies := f.mon.controlAll(dbop.Statement{Kind: dbop.Fence, Term: term}, replicas)
	for _, r := range replies {
		if !r.answered {
			return nil, f.error("fence", KindNoAnswer, r.member.ID)
		}
	}
	f.answers = append(f.answers, replies...)
	if !f.mon.allowsCall(f.claim) {
		return nil, f.error("fence", KindClaimExpired, "")
	}
	return replies, nil
}

func (f *failover) error(op string, k Kind, id ident.Target) error {
	return &Error{Op: op, Kind: k, Group: f.st.id, Target: id}
}

// requestPromotion calls the platform until it answers or the claim may end too
// soon for another call. Unless it is nil, retry is called before each call but the first.
func (f *failover) requestPromotion(ctx context.Context, m roster.Member, retry func() error) error {
	c := f.claim
	for f.mon.allowsCall(c) {
		c.promotionSent = true
		f.st.setOpenToken(c.token)
		f.logPromotionCalled(m.ID)
		call, cancel := context.WithTimeout(ctx, callTimeout)
		v, err := f.mon.cfg.Promoter.Promote(call, f.st.id, m.ID, c.token)
		cancel()
		switch {
		case err == nil && v == Promoted:
			c.accepted = c.token
			return nil
		case err == nil:
			return f.error("promote", KindRefused, m.ID)
		}
		c.unanswered = true
		f.mon.logPromotionUnanswered(f.st.id, m.ID, c.token, err)
		if !wait.For(ctx, retryDelay) {
			break
		}
		if retry != nil {
			if err := retry(); err != nil {
				return err
			}
		}
		if err := f.raiseToken(ctx); err != nil {
			return err
		}
	}
	return f.error("promote", KindClaimExpired, m.ID)
}

// raiseToken gives the claim a higher token after a call that got no answer, so that the
// platform refuses that call once it has accepted the next one. Without an answer of the
// store the call is repeated as it is, and the group is settled later.
func (f *failover) raiseToken(ctx context.Context) error {
	err := f.mon.raiseToken(ctx, f.st.id, f.claim)
	var e *Error
	if errors.As(err, &e) && e.Kind == KindStore {
		return nil
	}
	return err
}

// fenceRestarted makes sure, after a promotion call got no answer, that the database chosen
// still has every acknowledged commit. A primary that is back would have commits acknowledged
// by replicas that have restarted or joined since they were fenced: it is not replaced, and
// such replicas are fenced before it comes back. If the database chosen leads, the call was
// carried out, and a repeated one will say so.
func (f *failover) fenceRestarted(chosen ident.Target) error {
	replies := f.mon.controlAll(dbop.Statement{Kind: dbop.Status}, f.members())
	var unfenced []roster.Member
	for _, r := range replies {
		switch {
		case !r.answered:
		case r.status.Primary && r.member.ID == chosen:
			return nil
		case r.status.Primary:
			return f.error("promote", KindOtherPrimary, r.member.ID)
		case r.status.FenceTerm <= highestTerm(replies):
			unfenced = append(unfenced, r.member)
		}
	}
	if len(unfenced) == 0 {
		return nil
	}
	_, err := f.fence(unfenced, nextTerm(replies))
	return err
}

// awaitPromoted waits until the promoted database is the primary, at most for
// promotionTimeout, and reports whether it is.
func (mon *Monitor) awaitPromoted(ctx context.Context, st *groupState, m roster.Member) bool {
	end := time.Now().Add(promotionTimeout)
	for time.Now().Before(end) {
		if mon.leads(st, &m) {
			return true
		}
		if !wait.For(ctx, pollInterval) {
			return false
		}
	}
	return false
}
