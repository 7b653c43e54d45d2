package lead

import (
	"sync"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/posn"
	"chervilspan.example/pkg/store"
)

// groupState is the state of the monitor for one group.
type groupState struct {
	id        ident.Group
	positions posn.Tracker
	wakeup    chan struct{}

	mu sync.Mutex
	// confirmedAt is when primary was last confirmed as the primary.
	confirmedAt time.Time
	primary     ident.Target
	// failingSince is when the primary first failed to answer since then, and
	// failedDials the number of connections that could not be opened.
	failingSince time.Time
	failedDials  int
	// stalledWrites counts writes without an answer since the last write that
	// got one.
	stalledWrites int
	// stallFailoverAt is when stalled writes last caused a failover attempt.
	stallFailoverAt time.Time
	// changed is closed when a primary is next confirmed; waiters is the number
	// of callers that wait for it.
	changed chan struct{}
	waiters int
	// round is the running round of questions to all databases, and proof the last
	// time as of which a primary is known not to have been replaced. Both are used
	// only with Config.Unfenced.
	round *round
	proof proof
	// reported is what a database last answered as a primary, without proof.
	reported report
	// questions has the databases to which a question of a round is unanswered.
	questions map[ident.Target]bool
	// probeRequested is true if a statement has gone unanswered since the primary
	// was last probed.
	probeRequested bool
	// knownSet is the group's in-sync set as this VM last read or wrote it, nil if it has
	// to be read again; syncedWith has the databases that were listed then. syncing is
	// set while it is being changed, syncAt the earliest time of the next change.
	knownSet   *storedSet
	syncedWith listed
	syncing    bool
	// setChanged is set when the set may have changed since it was last read.
	setChanged bool
	// noSet is set when there was no in-sync set in the store, or it could not be read.
	noSet  bool
	syncAt time.Time
	// unknown has since when databases of the in-sync set are known of which this VM has
	// seen no entry.
	unknown map[ident.Target]time.Time
	// openToken is the token of the last promotion call of this VM that may still be carried
	// out, 0 if there is none. openCallSeen is set if the last check found one of another VM.
	openToken    store.Revision
	openCallSeen bool
	// trust is the trust in the primary, and trustLosses counts how often it ended. check is
	// the last check; heldSince is since when commits are held back, zero if they are not.
	trust       trust
	trustLosses int
	check       *trustCheck
	heldSince   time.Time
	// acknowledged is what this VM knows of the commits of the present primary.
	acknowledged acknowledged
}

// recordPrimary records that a database acted as the primary, at a time by Config.Clock,
// and wakes the callers that wait for one.
func (st *groupState) recordPrimary(id ident.Target, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.extendTrust(id, now)
	if st.primary != id {
		st.stalledWrites, st.acknowledged = 0, acknowledged{}
	}
	if st.primary != id || !st.failingSince.IsZero() {
		st.dropKnownSet() // another VM may have begun a failover
	}
	st.primary, st.confirmedAt = id, time.Now()
	st.failingSince, st.failedDials = time.Time{}, 0
	st.wakeWaiters()
}

// wakeWaiters wakes the callers that wait for a primary or a position. The caller holds
// st.mu.
func (st *groupState) wakeWaiters() {
	if st.changed != nil {
		close(st.changed)
		st.changed = nil
	}
}

// confirmationSignal returns a channel that is closed when a primary is next
// confirmed.
func (st *groupState) confirmationSignal() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.changed == nil {
		st.changed = make(chan struct{})
	}
	return st.changed
}

// wake starts the next check of the group early.
func (st *groupState) wake() {
	select {
	case st.wakeup <- struct{}{}:
	default:
	}
}

// unreachable reports whether connections to the primary have recently failed to
// open. A single failure is not enough: the database's queue of connections may
// have been full, as after a restart of all VMs.
func (st *groupState) unreachable() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.failedDials >= minFailedDials
}
