package lead

import (
	"context"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// acknowledged is what a VM knows of the acknowledged commits of a group: there is one above
// a position. The position was reported on the commit's connection before the commit was
// sent, so it is a lower bound, which entries without an acknowledgement do not raise.
type acknowledged struct {
	after ident.Position
	// missingSince is since when no database that answers has all of those commits.
	missingSince time.Time
}

// recordAcknowledged records that a commit above a position was acknowledged.
func (st *groupState) recordAcknowledged(after ident.Position) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.acknowledged.after = st.acknowledged.after.Max(after)
}

// AcknowledgedAfter returns a position above which this VM knows of an acknowledged commit
// of the group, zero if it knows of none. Other VMs ask before they replace a primary.
func (mon *Monitor) AcknowledgedAfter(g ident.Group) ident.Position {
	st := mon.groupState(g)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.acknowledged.after
}

// RecordDemoted records that another VM has demoted a database. What that one acknowledged
// before, and whose answer is on its way, may be lost: it is passed on only after a check.
func (mon *Monitor) RecordDemoted(g ident.Group, id ident.Target) {
	st := mon.groupState(g)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.trust.id == id {
		st.loseTrust()
	}
}

// confirmedByPeer reports whether another VM has recently confirmed the primary, and keeps
// what the others know of acknowledged commits.
func (f *failover) confirmedByPeer(ctx context.Context, id ident.Target) bool {
	confirmed, after := f.mon.confirmedByPeer(ctx, f.st.id, id)
	f.reportedMu.Lock()
	defer f.reportedMu.Unlock()
	f.reported, f.peersAsked = f.reported.Max(after), true
	return confirmed
}

// acknowledgedAfter returns a position above which a VM that answers knows of an acknowledged
// commit. The others are asked unless they have been for a database that did not answer; what
// a demoted primary has acknowledged meanwhile counts too.
func (f *failover) acknowledgedAfter(ctx context.Context) ident.Position {
	after, asked := f.reportedAfter()
	var demoted ident.Target
	if f.demoted {
		demoted = f.old
		f.mon.RecordDemoted(f.st.id, demoted)
	}
	if f.mon.cfg.Peers != nil && (f.demoted || !asked) {
		after = after.Max(f.mon.cfg.Peers.AcknowledgedAfter(ctx, f.st.id, demoted))
	}
	return after.Max(f.mon.AcknowledgedAfter(f.st.id))
}

// reportedAfter returns what other VMs have reported so far, and whether they were asked.
func (f *failover) reportedAfter() (after ident.Position, asked bool) {
	f.reportedMu.Lock()
	defer f.reportedMu.Unlock()
	return f.reported, f.peersAsked
}

// requireAcknowledged returns the database to promote: the one chosen, unless it lacks a
// commit that a VM has seen acknowledged by a database which is neither listed nor in the
// in-sync set. A demoted primary then leads again. If the primary does not answer, nothing is
// promoted until a database with the commit does, for at most lostTimeout.
func (f *failover) requireAcknowledged(ctx context.Context, chosen roster.Member) (roster.Member, error) {
	if f.hasFinalLog || !f.mon.keepsSet(f.st.id) {
		return chosen, nil
	}
	after, received := f.acknowledgedAfter(ctx), f.receivedBy(chosen.ID)
	missing := !after.IsZero() && !after.Less(received)
	since := f.st.recordMissing(missing, time.Now())
	if !missing {
		return chosen, nil
	}
	f.logCommitsMissing(chosen.ID, received, after)
	switch m, ok := f.mon.cfg.Roster.Member(f.st.id, f.old); {
	case f.demoted && ok:
		f.hasFinalLog = true
		return m, nil
	case time.Since(since) >= lostTimeout:
		return chosen, nil
	}
	return chosen, f.error("choose", KindCommitsMissing, chosen.ID)
}

// recordMissing records whether acknowledged commits are missing, and returns since when.
func (st *groupState) recordMissing(missing bool, now time.Time) time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case !missing:
		st.acknowledged.missingSince = time.Time{}
	case st.acknowledged.missingSince.IsZero():
		st.acknowledged.missingSince = now
	}
	return st.acknowledged.missingSince
}

// receivedBy returns the position that a database last answered to its fence.
func (f *failover) receivedBy(id ident.Target) (pos ident.Position) {
	for _, r := range f.answers {
		if r.member.ID == id {
			pos = r.status.Received
		}
	}
	return pos
}
