package lead

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/wait"
)

// Intervals, timeouts and limits of the monitor.
const (
	// watchInterval is the interval between checks of a group by its watchers, and
	// by any VM while the primary is unknown or fails, or requests wait for it.
	watchInterval = 150 * time.Millisecond
	// idleInterval is the interval of VMs that are not among the watchers.
	idleInterval = time.Second
	// WatcherCount is the number of VMs, the first by Config.Rank, that probe an idle
	// primary; the others probe it only when requests need it.
	WatcherCount = 8
	// minWakeupInterval is the least time between checks that requests cause.
	minWakeupInterval = 30 * time.Millisecond
	// probeConfirmationAge is the age of the last confirmation above which
	// watchers probe the primary.
	probeConfirmationAge = 500 * time.Millisecond
	// probeTimeout bounds the wait for the answer to a probe. It is longer than a
	// round trip between regions plus the wait of a new connection for a slot.
	probeTimeout = 300 * time.Millisecond
	// silenceTimeout is how long a primary must have failed to answer before it
	// counts as lost.
	silenceTimeout = 600 * time.Millisecond
	// minStalledWrites is the number of consecutive writes without an answer
	// after which the replicas are asked whether they receive the primary's log.
	minStalledWrites = 2
	// replicationTimeout is how long an entry may take to reach a replica. It is
	// longer than a round trip between regions.
	replicationTimeout = 250 * time.Millisecond
	// stallFailoverInterval is the least time between failovers because of stalled
	// replication: the replicas may not take the new primary's log either.
	stallFailoverInterval = 5 * time.Second
	// minFailedDials is the number of connections that must have failed to open
	// before a primary counts as lost.
	minFailedDials = 2
	// missingTimeout is how long the primary must have been missing from the list
	// of databases before it is replaced.
	missingTimeout = 300 * time.Millisecond
	// noPrimaryTimeout is how long a group must have been without a known primary
	// before a database is promoted.
	noPrimaryTimeout = 1500 * time.Millisecond
	// rankDelay is the delay per rank, up to maxRank, that keeps VMs from handling
	// the same failure at once.
	rankDelay = 120 * time.Millisecond
	maxRank   = 5
	// retryDelay is the delay after a failed or refuted failover attempt.
	retryDelay = 250 * time.Millisecond
	// longRetryDelay is the delay after an attempt that found another VM's claim,
	// or no successor. It is longer, because each attempt costs calls to the store.
	longRetryDelay = 800 * time.Millisecond
)

// reason tells why a group needs another primary; it is empty if it does not.
type reason string

const (
	reasonSilent    reason = "silent"
	reasonStalled   reason = "stalled"
	reasonLeaving   reason = "leaving"
	reasonMissing   reason = "gone"
	reasonNoPrimary reason = "none"
	reasonEvacuated reason = "evacuated"
	// reasonUnsettled means that the primary works, but an earlier promotion call may still
	// be carried out. The group does not get another primary then.
	reasonUnsettled reason = "unsettled"
)

// monitorGroup checks one group until ctx ends.
func (mon *Monitor) monitorGroup(ctx context.Context, st *groupState) {
	t := time.NewTimer(watchInterval)
	defer t.Stop()
	var noPrimarySince, retryAt, checkedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-st.wakeup:
			if !wait.For(ctx, time.Until(checkedAt.Add(minWakeupInterval))) {
				return
			}
		}
		watching := mon.cfg.Rank(st.id) < WatcherCount
		checkedAt = time.Now()
		mon.checkPrimary(st, &noPrimarySince, watching)
		t.Reset(st.checkInterval(watching || !noPrimarySince.IsZero()))
		why := mon.failoverReason(st, noPrimarySince)
		if why == "" || time.Now().Before(retryAt) {
			continue
		}
		retryAt = time.Now().Add(mon.attemptFailover(ctx, st, why, noPrimarySince))
	}
}

// checkInterval returns the time to the next check. It is short while the primary
// fails or requests wait for it.
func (st *groupState) checkInterval(watching bool) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	if watching || st.waiters > 0 || !st.failingSince.IsZero() {
		return watchInterval
	}
	return idleInterval
}

// checkPrimary probes the primary, or all databases while the primary is unknown.
// It sets noPrimarySince to when the group was first found without a primary, or
// to zero while it has one. An idle primary is probed only if watching is set; VMs
// that are not among the group's watchers leave that to them.
func (mon *Monitor) checkPrimary(st *groupState, noPrimarySince *time.Time, watching bool) {
	id, ok := mon.cfg.Roster.Primary(st.id)
	if ok {
		*noPrimarySince = time.Time{}
		st.mu.Lock()
		needsProbe := watching && time.Since(st.confirmedAt) > probeConfirmationAge || !st.failingSince.IsZero() || st.waiters > 0 || st.probeRequested
		st.probeRequested = false
		st.mu.Unlock()
		if m, known := mon.cfg.Roster.Member(st.id, id); known && needsProbe {
			mon.probe(st, &m)
			if mon.cfg.Unfenced {
				mon.RequestConfirmation(st.id, id, mon.cfg.Clock())
			}
		}
		if _, ok = mon.cfg.Roster.Primary(st.id); ok {
			if st.unreachable() {
				// Another VM may have had another database promoted.
				mon.probeAllExcept(st, id)
			}
			return
		}
	}
	if noPrimarySince.IsZero() {
		*noPrimarySince = time.Now()
	}
	mon.probeAllExcept(st, "")
}

// probeAllExcept probes the group's listed databases but one, at the same time.
func (mon *Monitor) probeAllExcept(st *groupState, except ident.Target) {
	var wg sync.WaitGroup
	now := time.Now()
	for _, m := range mon.cfg.Roster.AllMembers(st.id) {
		if m.ID != except && m.MissingSince.IsZero() && m.Reachable(now) {
			wg.Go(func() { mon.probe(st, &m) })
		}
	}
	wg.Wait()
}

// probe asks a database whether it is the primary, and records the outcome.
func (mon *Monitor) probe(st *groupState, m *roster.Member) {
	code, err := mon.tryBegin(st, m)
	primary, _ := mon.cfg.Roster.Primary(st.id)
	switch {
	case err == nil && code == dbop.ReadOnly:
		mon.Depose(st.id, m.ID)
	case err != nil && primary == m.ID:
		st.recordFailure(err)
	}
}

// tryBegin asks a database to begin a read-write transaction. A database that
// accepts it is confirmed as the primary.
func (mon *Monitor) tryBegin(st *groupState, m *roster.Member) (dbop.Code, error) {
	a, sent, err := mon.askBegin(m, probeTimeout)
	if err == nil && a.Code == dbop.OK {
		mon.Confirm(st.id, m.ID, a.Position, sent)
	}
	return a.Code, err
}

// leads reports whether a database accepts the start of a read-write transaction.
func (mon *Monitor) leads(st *groupState, m *roster.Member) bool {
	code, err := mon.tryBegin(st, m)
	return err == nil && code == dbop.OK
}

// askBegin begins and rolls back a read-write transaction, which takes no slot. It
// returns the answer to the start and when that was sent, by Config.Clock. timeout bounds
// the wait for the answer.
func (mon *Monitor) askBegin(m *roster.Member, timeout time.Duration) (a dbop.Answer, sent time.Time, err error) {
	unknown := dbop.Answer{Code: dbop.Unknown}
	deadline := time.Now().Add(probeTimeout)
	conn, err := mon.cfg.Pools.Get(deadline, m, "", 0)
	if err != nil {
		return unknown, sent, err
	}
	sent = mon.cfg.Clock()
	answers, err := conn.Do(time.Now().Add(timeout), dbop.Statement{Kind: dbop.Begin}, dbop.Statement{Kind: dbop.Rollback})
	if err != nil {
		conn.Release(false)
		mon.cfg.Pools.CloseIdleIfSilent(m, conn.SentAt())
		return unknown, sent, err
	}
	conn.Release(true)
	return answers[0], sent, nil
}

// recordFailure records an error that indicates the loss of the primary. A pool
// without a free connection, or a database without a free slot, does not.
func (st *groupState) recordFailure(err error) {
	var e *dbpool.Error
	if !errors.As(err, &e) || e.Kind == dbpool.KindWaitTimeout || e.Kind == dbpool.KindStartTimeout || e.Kind == dbpool.KindRefused && e.Code != dbop.WrongTarget {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.loseTrust()
	if st.failingSince.IsZero() {
		st.failingSince = time.Now()
	}
	if e.Kind == dbpool.KindUnreachable || e.Kind == dbpool.KindRefused {
		st.failedDials++
	}
	st.wake()
}

// failoverReason returns why the group needs another primary, or "".
func (mon *Monitor) failoverReason(st *groupState, noPrimarySince time.Time) reason {
	now := time.Now()
	id, ok := mon.cfg.Roster.Primary(st.id)
	if !ok {
		if !noPrimarySince.IsZero() && now.Sub(noPrimarySince) > noPrimaryTimeout && len(mon.cfg.Roster.AllMembers(st.id)) > 0 {
			return reasonNoPrimary
		}
		return ""
	}
	m, known := mon.cfg.Roster.Member(st.id, id)
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case !known:
		return reasonMissing // only another VM has named it
	case !m.MissingSince.IsZero() && now.Sub(m.MissingSince) > missingTimeout:
		return reasonMissing
	case m.Leaving:
		return reasonLeaving
	case mon.canEvacuate(&m):
		return reasonEvacuated
	case st.failedDials >= minFailedDials && now.Sub(st.failingSince) > silenceTimeout:
		return reasonSilent
	case st.stalledWrites >= minStalledWrites && st.primary == id && now.Sub(st.stallFailoverAt) > stallFailoverInterval:
		return reasonStalled
	case st.hasOpenCall():
		return reasonUnsettled
	}
	return ""
}

// replicationStalled reports whether no replica receives the primary's log: after
// replicationTimeout, replicas answer but none has an entry that the primary had.
// Stalled writes alone don't show this, as they may time out because of the
// primary's load.
func (mon *Monitor) replicationStalled(ctx context.Context, st *groupState, id ident.Target) bool {
	m, ok := mon.cfg.Roster.Member(st.id, id)
	if !ok {
		return false
	}
	if !mon.leads(st, &m) {
		return false
	}
	pos, _ := st.positions.Latest()
	if !wait.For(ctx, replicationTimeout) {
		return false
	}
	anyAnswered := false
	for _, r := range mon.controlAll(dbop.Statement{Kind: dbop.Status}, mon.cfg.Roster.AllMembers(st.id)) {
		if r.answered && r.member.ID != id {
			anyAnswered = true
			if !r.status.Received.Less(pos) {
				return false
			}
		}
	}
	return anyAnswered
}

// attemptFailover checks that the group still needs another primary, fails it
// over, and returns the delay before the next attempt.
func (mon *Monitor) attemptFailover(ctx context.Context, st *groupState, why reason, noPrimarySince time.Time) time.Duration {
	rank := min(mon.cfg.Rank(st.id), maxRank)
	if rank > 0 && !wait.For(ctx, time.Duration(rank)*rankDelay) {
		return retryDelay
	}
	if !mon.begin() {
		return retryDelay
	}
	defer mon.end()
	mon.checkPrimary(st, &noPrimarySince, true)
	if mon.failoverReason(st, noPrimarySince) != why {
		return 0
	}
	if why == reasonUnsettled {
		switch settled, claimed := mon.isSettled(ctx, st); {
		case settled:
			return 0
		case claimed:
			return longRetryDelay
		}
	}
	old := mon.cfg.Roster.LastPrimary(st.id)
	confirmed := false
	if why == reasonSilent {
		confirmed, _ = mon.confirmedByPeer(ctx, st.id, old)
	}
	if confirmed || why == reasonStalled && !mon.replicationStalled(ctx, st, old) {
		st.resetStalledWrites()
		mon.logRefuted(st.id, old)
		return retryDelay
	}
	if why == reasonStalled {
		st.mu.Lock()
		st.stallFailoverAt = time.Now()
		st.mu.Unlock()
	}
	if why != reasonUnsettled {
		mon.logSuspected(st.id, old, why)
	}
	if err := mon.failOver(ctx, st, old, why); err != nil {
		mon.logAbandoned(st.id, err)
		var e *Error
		switch {
		case !errors.As(err, &e):
		case e.Kind == KindOtherPrimary:
			mon.learnPrimary(st, old, e.Target)
		case e.Kind == KindPrimaryWorks && e.Target != old:
			// This VM does not reach it, but must not replace it.
			mon.cfg.Roster.ConfirmPrimary(st.id, e.Target)
		}
		if errors.As(err, &e) && (e.Kind == KindClaimed || e.Kind == KindNoSuccessor || e.Kind == KindRestored || e.Kind == KindCommitsMissing) {
			return longRetryDelay
		}
		return retryDelay
	}
	return 0
}

// learnPrimary makes the VM probe a database that reported being the primary, in place
// of the one that was to be replaced.
func (mon *Monitor) learnPrimary(st *groupState, old, current ident.Target) {
	mon.Depose(st.id, old)
	if m, ok := mon.cfg.Roster.Member(st.id, current); ok {
		mon.probe(st, &m)
	}
}

// resetStalledWrites clears the count of writes without an answer.
func (st *groupState) resetStalledWrites() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stalledWrites = 0
}

// confirmedByPeer reports whether another VM has recently confirmed the primary. Then the
// fault is between this VM and the primary. Otherwise after is that of Peers.
func (mon *Monitor) confirmedByPeer(ctx context.Context, g ident.Group, id ident.Target) (confirmed bool, after ident.Position) {
	if mon.cfg.Peers == nil {
		return false, after
	}
	return mon.cfg.Peers.ConfirmsPrimary(ctx, g, id)
}
