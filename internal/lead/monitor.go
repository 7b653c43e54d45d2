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

// Periods of the monitor.
const (
	tick = 150 * time.Millisecond
	// idleTick is the period of VMs that leave the watch to others.
	idleTick = time.Second
	// watchers is the number of VMs that ask an idle primary for its lead; the
	// others only ask when requests need to know.
	watchers = 8
	// leastTick separates two rounds that callers ask for.
	leastTick = 30 * time.Millisecond
	// quietLead is how long no statement has shown the lead before it is asked
	// for.
	quietLead = 500 * time.Millisecond
	// probeTimeout bounds an answer. It is above a round trip between regions
	// and the wait for a slot by a new connection.
	probeTimeout = 300 * time.Millisecond
	// silentAfter is how long a primary is silent before it counts as lost.
	silentAfter = 600 * time.Millisecond
	// stallsNeeded is the number of writes in a row without an answer after which
	// the replicas are asked whether they get the primary's log.
	stallsNeeded = 2
	// starveTime is how long an entry may take to a replica. It is above the
	// round trip between regions.
	starveTime = 250 * time.Millisecond
	// starveAgain separates two decisions for want of replicas that take the log:
	// another primary may have none either.
	starveAgain = 5 * time.Second
	// dialsNeeded is the number of connections that could not be made before a
	// primary counts as lost.
	dialsNeeded = 2
	// goneAfter is how long the list lacks the primary before it is replaced.
	goneAfter = 300 * time.Millisecond
	// leaderless is how long no database accepts writes before one is promoted.
	leaderless = 1500 * time.Millisecond
	// rankDelay separates the VMs that act on the same failure.
	rankDelay = 120 * time.Millisecond
	maxRank   = 5
	// retryPause is the wait after a promotion that was not possible.
	retryPause = 250 * time.Millisecond
	// claimedPause is the wait while another VM decides. Each look costs calls.
	claimedPause = 800 * time.Millisecond
)

// reason says why a group needs another primary; empty for none.
type reason string

const (
	reasonSilent  reason = "silent"
	reasonStalled reason = "stalled"
	reasonLeaving reason = "leaving"
	reasonGone    reason = "gone"
	reasonNone    reason = "none"
)

// monitor watches one group until ctx ends.
func (l *Monitor) monitor(ctx context.Context, st *state) {
	t := time.NewTimer(tick)
	defer t.Stop()
	var since, held, looked time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-st.kick:
			if !wait.For(ctx, time.Until(looked.Add(leastTick))) {
				return
			}
		}
		watches := l.cfg.Rank(st.id) < watchers
		looked = time.Now()
		l.look(st, &since, watches)
		t.Reset(st.period(watches || !since.IsZero()))
		why := l.need(st, since)
		if why == "" || time.Now().Before(held) {
			continue
		}
		held = time.Now().Add(l.act(ctx, st, why, since))
	}
}

// period is the time to the next look. It is short while something is wrong.
func (st *state) period(watches bool) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	if watches || st.waiting > 0 || !st.failing.IsZero() {
		return tick
	}
	return idleTick
}

// look asks the primary, or all databases while none is known. since is when
// the group was first found without a primary. An idle primary is asked only by
// a VM that watches the group.
func (l *Monitor) look(st *state, since *time.Time, watches bool) {
	id, ok := l.cfg.Roster.Primary(st.id)
	if ok {
		*since = time.Time{}
		st.mu.Lock()
		ask := watches && time.Since(st.confirmed) > quietLead || !st.failing.IsZero() || st.waiting > 0 || st.doubted
		st.doubted = false
		st.mu.Unlock()
		if m, known := l.cfg.Roster.Member(st.id, id); known && ask {
			l.probe(st, &m)
		}
		if _, ok = l.cfg.Roster.Primary(st.id); ok {
			if st.down() {
				// Another VM may have had another database promoted.
				l.locate(st, id)
			}
			return
		}
	}
	if since.IsZero() {
		*since = time.Now()
	}
	l.locate(st, "")
}

// locate asks every database of the group but one.
func (l *Monitor) locate(st *state, but ident.Target) {
	var wg sync.WaitGroup
	now := time.Now()
	for _, m := range l.cfg.Roster.AllMembers(st.id) {
		if m.ID != but && m.MissingSince.IsZero() && m.Reachable(now) {
			wg.Go(func() { l.probe(st, &m) })
		}
	}
	wg.Wait()
}

// probe asks a database whether it has the lead.
func (l *Monitor) probe(st *state, m *roster.Member) {
	code, err := l.ask(st, m)
	leader, _ := l.cfg.Roster.Primary(st.id)
	switch {
	case err == nil && code == dbop.ReadOnly:
		l.Depose(st.id, m.ID)
	case err != nil && leader == m.ID:
		st.noteFailure(err)
	}
}

// ask starts and ends a writing transaction, which takes no slot.
func (l *Monitor) ask(st *state, m *roster.Member) (dbop.Code, error) {
	deadline := time.Now().Add(probeTimeout)
	conn, err := l.cfg.Pools.Get(deadline, m, "", 0)
	if err != nil {
		return dbop.Unknown, err
	}
	sent := l.cfg.Clock()
	answers, err := conn.Do(time.Now().Add(probeTimeout), dbop.Statement{Kind: dbop.Begin}, dbop.Statement{Kind: dbop.Rollback})
	if err != nil {
		conn.Release(false)
		l.cfg.Pools.CloseIdleIfSilent(m, conn.SentAt())
		return dbop.Unknown, err
	}
	conn.Release(true)
	if answers[0].Code == dbop.OK {
		l.Confirm(st.id, m.ID, answers[0].Position, sent)
	}
	return answers[0].Code, nil
}

// noteFailure counts what speaks for the loss of the primary. A pool without a
// free connection, or a database without a free slot, does not.
func (st *state) noteFailure(err error) {
	var e *dbpool.Error
	if !errors.As(err, &e) || e.Kind == dbpool.KindWaitTimeout || e.Kind == dbpool.KindStartTimeout || e.Kind == dbpool.KindRefused && e.Code != dbop.WrongTarget {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.failing.IsZero() {
		st.failing = time.Now()
	}
	if e.Kind == dbpool.KindUnreachable || e.Kind == dbpool.KindRefused {
		st.dials++
	}
	st.wake()
}

// need returns why the group needs another primary.
func (l *Monitor) need(st *state, since time.Time) reason {
	now := time.Now()
	id, ok := l.cfg.Roster.Primary(st.id)
	if !ok {
		if !since.IsZero() && now.Sub(since) > leaderless && len(l.cfg.Roster.AllMembers(st.id)) > 0 {
			return reasonNone
		}
		return ""
	}
	m, _ := l.cfg.Roster.Member(st.id, id)
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case !m.MissingSince.IsZero() && now.Sub(m.MissingSince) > goneAfter:
		return reasonGone
	case m.Leaving:
		return reasonLeaving
	case st.dials >= dialsNeeded && now.Sub(st.failing) > silentAfter:
		return reasonSilent
	case st.stalls >= stallsNeeded && st.leader == id && now.Sub(st.starvedAt) > starveAgain:
		return reasonStalled
	}
	return ""
}

// starved reports whether no replica takes the primary's log: an entry that the
// primary had is still at none of them after starveTime. Writes that time out
// because of the primary's load are no sign of that.
func (l *Monitor) starved(ctx context.Context, st *state, id ident.Target) bool {
	m, ok := l.cfg.Roster.Member(st.id, id)
	if !ok {
		return false
	}
	if code, err := l.ask(st, &m); err != nil || code != dbop.OK {
		return false
	}
	pos, _ := st.track.Latest()
	if !wait.For(ctx, starveTime) {
		return false
	}
	heard := false
	for _, r := range l.controlAll(dbop.Statement{Kind: dbop.Status}, l.cfg.Roster.AllMembers(st.id)) {
		if r.heard && r.member.ID != id {
			heard = true
			if !r.status.Received.Less(pos) {
				return false
			}
		}
	}
	return heard
}

// act has another database promoted, and returns how long to wait before the
// next attempt.
func (l *Monitor) act(ctx context.Context, st *state, why reason, since time.Time) time.Duration {
	rank := min(l.cfg.Rank(st.id), maxRank)
	if rank > 0 && !wait.For(ctx, time.Duration(rank)*rankDelay) {
		return retryPause
	}
	l.look(st, &since, true)
	if l.need(st, since) != why {
		return 0
	}
	old := l.cfg.Roster.LastPrimary(st.id)
	if why == reasonSilent && l.reached(ctx, st.id, old) || why == reasonStalled && !l.starved(ctx, st, old) {
		st.unstall()
		l.logRefuted(st.id, old)
		return retryPause
	}
	if why == reasonStalled {
		st.mu.Lock()
		st.starvedAt = time.Now()
		st.mu.Unlock()
	}
	l.logSuspected(st.id, old, why)
	if err := l.takeover(ctx, st, old, why); err != nil {
		l.logAbandoned(st.id, err)
		var e *Error
		if errors.As(err, &e) && e.Kind == KindClaimed {
			return claimedPause
		}
		return retryPause
	}
	return 0
}

// unstall forgets writes without an answer.
func (st *state) unstall() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stalls = 0
}

// reached reports whether another VM hears from the primary: then the fault is
// between this VM and the primary.
func (l *Monitor) reached(ctx context.Context, g ident.Group, id ident.Target) bool {
	return l.cfg.Peers != nil && l.cfg.Peers.ConfirmsPrimary(ctx, g, id)
}
