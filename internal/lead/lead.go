package lead

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
)

// PromotionResult is the platform's answer to a promotion call.
type PromotionResult uint8

// Results of promotion calls.
const (
	// Promoted means that the database will become the primary, or is it already.
	Promoted PromotionResult = iota + 1
	// Refused means that the platform has seen a higher token, or that the
	// database is not running. The token must not be used again.
	Refused
)

// Promoter asks the platform to make a database the primary of its group. An
// error means that there was no answer: the call may still be carried out later.
type Promoter interface {
	Promote(ctx context.Context, g ident.Group, id ident.Target, token store.Revision) (PromotionResult, error)
}

// Peers queries other VMs.
type Peers interface {
	// ConfirmsPrimary reports whether one of them has recently confirmed that the database
	// is the primary. If none has, after is the highest Monitor.AcknowledgedAfter of those
	// that answered.
	ConfirmsPrimary(ctx context.Context, g ident.Group, id ident.Target) (confirmed bool, after ident.Position)
	// AcknowledgedAfter returns the highest Monitor.AcknowledgedAfter of those that answered.
	// It tells them first that a database was demoted, unless that is "".
	AcknowledgedAfter(ctx context.Context, g ident.Group, demoted ident.Target) ident.Position
}

// Epochs reports whether claims under leases of a lifetime may be made in an epoch of the
// store, in which their keys then must have been written.
type Epochs interface {
	Settled(ctx context.Context, lifetime time.Duration) (store.Epoch, bool, error)
}

// Config configures a Monitor. Peers, Rank and RegionOf may be nil.
type Config struct {
	VM     ident.VM
	Roster *roster.Table
	Pools  *dbpool.Pools
	Store  store.Store
	// Epochs, unless nil, reports when groups may be claimed after the store was
	// restored from an older copy.
	Epochs   Epochs
	Promoter Promoter
	Peers    Peers
	// RefreshList, unless nil, reads the list of databases before a failover.
	RefreshList func(context.Context) error
	// Rank returns the number of VMs that are to handle a group before this one.
	Rank func(ident.Group) int
	// RegionOf returns the region of a zone; HomeRegion is the preferred region
	// for primaries.
	RegionOf   func(ident.Zone) ident.Region
	HomeRegion ident.Region
	// RoutesAllowing, unless nil, returns how many routes of a group allow databases in a
	// zone. Of the candidates that lose no commit, one with the most is promoted.
	RoutesAllowing func(ident.Group, ident.Zone) int
	// Evacuated, unless nil, reports whether a zone is being evacuated. A primary there is
	// replaced like a leaving one, if a database elsewhere can be promoted.
	Evacuated func(ident.Zone) bool
	// Unfenced is set where the platform does not end a primary's work when it
	// promotes another database. A replaced primary then goes on until it is demoted
	// or hears of the new one, and its own answers do not show that it is the primary.
	Unfenced bool
	// SyncReplicas returns the number of replicas that must have received a commit of
	// a group before it is acknowledged; nil means one.
	SyncReplicas func(ident.Group) int
	// Clock is used for the expiry of claims and the age of positions; nil means
	// time.Now. Machines that can be suspended need a clock that advances during
	// the suspension.
	Clock func() time.Time
	Log   zerolog.Logger
}

// Monitor tracks the primaries of groups and fails over those that are lost. Its
// methods may be called from several goroutines.
type Monitor struct {
	cfg Config

	// retired is set by Retire; running counts the work that a planned stop waits for.
	retired atomic.Bool
	running atomic.Int32

	mu     sync.Mutex
	groups map[ident.Group]*groupState
	ctx    context.Context
	wg     sync.WaitGroup
}

// New returns a Monitor without groups.
func New(cfg Config) *Monitor {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Rank == nil {
		cfg.Rank = func(ident.Group) int { return 0 }
	}
	if cfg.SyncReplicas == nil {
		cfg.SyncReplicas = func(ident.Group) int { return 1 }
	}
	if cfg.RegionOf == nil {
		cfg.RegionOf = func(ident.Zone) ident.Region { return "" }
	}
	return &Monitor{cfg: cfg, groups: map[ident.Group]*groupState{}}
}

// Run monitors the groups that Watch adds until ctx ends.
func (mon *Monitor) Run(ctx context.Context) {
	mon.mu.Lock()
	mon.ctx = ctx
	for _, st := range mon.groups {
		mon.startMonitoring(st)
	}
	mon.mu.Unlock()
	mon.runInSync(ctx)
	mon.wg.Wait()
}

// Watch adds the groups that are not monitored yet.
func (mon *Monitor) Watch(groups []ident.Group) {
	for _, g := range groups {
		mon.groupState(g)
	}
}

func (mon *Monitor) groupState(g ident.Group) *groupState {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	st := mon.groups[g]
	if st == nil {
		st = &groupState{id: g, wakeup: make(chan struct{}, 1)}
		mon.groups[g] = st
		if mon.ctx != nil {
			mon.startMonitoring(st)
		}
	}
	return st
}

// startMonitoring starts a group's goroutine. The caller holds mon.mu.
func (mon *Monitor) startMonitoring(st *groupState) {
	if mon.ctx.Err() != nil {
		return
	}
	ctx := mon.ctx
	mon.wg.Go(func() { mon.monitorGroup(ctx, st) })
}

// Await implements engine.Primaries.
func (mon *Monitor) Await(deadline time.Time, g ident.Group) (roster.Member, bool) {
	st := mon.groupState(g)
	for {
		changed, rosterChanged := st.confirmationSignal(), mon.cfg.Roster.Changed()
		if id, ok := mon.cfg.Roster.Primary(g); ok && !st.unreachable() {
			return mon.cfg.Roster.Member(g, id)
		}
		if !st.probeAndWait(deadline, changed, rosterChanged) {
			return roster.Member{}, false
		}
	}
}

// probeAndWait requests a probe of the primary, and waits for one of the
// channels. It returns false after the deadline.
func (st *groupState) probeAndWait(deadline time.Time, changed, rosterChanged <-chan struct{}) bool {
	d := time.Until(deadline)
	if d <= 0 {
		return false
	}
	st.addWaiters(1)
	defer st.addWaiters(-1)
	st.wake()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-rosterChanged:
	case <-t.C:
	}
	return true
}

func (st *groupState) addWaiters(n int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.waiters += n
}

// positionTimeout bounds the wait for a position. It is longer than a round trip
// between regions plus opening a connection. Afterwards the caller asks the
// primary itself.
const positionTimeout = 400 * time.Millisecond

// CoveringPosition implements engine.Primaries. It gives up after positionTimeout.
func (mon *Monitor) CoveringPosition(deadline time.Time, g ident.Group, since time.Time) (ident.Position, bool) {
	st := mon.groupState(g)
	if by := time.Now().Add(positionTimeout); by.Before(deadline) {
		deadline = by
	}
	for {
		changed := st.confirmationSignal()
		if pos, ok := st.positions.Covering(since); ok {
			mon.refreshConfirmation(st, since)
			return pos, true
		}
		if id, ok := mon.cfg.Roster.Primary(g); ok && mon.cfg.Unfenced {
			mon.requestPosition(st, id, since)
		}
		if !st.probeAndWait(deadline, changed, nil) {
			return ident.Position{}, false
		}
	}
}

// Confirm implements engine.Primaries. A zero position confirms only that the
// database is the primary.
func (mon *Monitor) Confirm(g ident.Group, id ident.Target, pos ident.Position, sent time.Time) {
	st := mon.groupState(g)
	if mon.cfg.Unfenced {
		mon.presume(st, id, pos, sent)
		return
	}
	if !pos.IsZero() {
		st.positions.Confirm(pos, sent)
	}
	if mon.cfg.Roster.ConfirmPrimary(g, id) {
		mon.logLearned(g, id, pos)
	}
	st.recordPrimary(id, mon.cfg.Clock())
}

// Depose implements engine.Primaries.
func (mon *Monitor) Depose(g ident.Group, id ident.Target) {
	if mon.cfg.Roster.DeposePrimary(g, id, time.Now()) {
		mon.logDeposed(g, id)
	}
	st := mon.groupState(g)
	st.mu.Lock()
	st.loseTrust()
	st.mu.Unlock()
	st.wake()
}

// ReportUnanswered implements engine.Primaries.
func (mon *Monitor) ReportUnanswered(g ident.Group, id ident.Target) {
	if primary, ok := mon.cfg.Roster.Primary(g); !ok || primary != id {
		return
	}
	st := mon.groupState(g)
	st.mu.Lock()
	st.probeRequested = true
	st.mu.Unlock()
	st.wake()
}

// ReportStalledWrite implements engine.Primaries.
func (mon *Monitor) ReportStalledWrite(g ident.Group, id ident.Target) {
	st := mon.groupState(g)
	st.mu.Lock()
	if st.primary == id {
		st.stalledWrites++
	}
	st.probeRequested = true
	st.mu.Unlock()
	st.wake()
}

// ReportWrite implements engine.Primaries.
func (mon *Monitor) ReportWrite(g ident.Group, id ident.Target) {
	st := mon.groupState(g)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.primary == id {
		st.stalledWrites = 0
	}
}

// peerConfirmationAge is the age up to which a confirmation of a primary is
// reported to other VMs.
const peerConfirmationAge = 800 * time.Millisecond

// ConfirmedPrimary returns the database that was confirmed as the primary within
// peerConfirmationAge, or that is trusted, or "". Other VMs ask before they replace a
// primary: a check in progress of any other database than the answer may have read the
// store before their claim was made, and does not count.
func (mon *Monitor) ConfirmedPrimary(g ident.Group) (id ident.Target) {
	st := mon.groupState(g)
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case st.failingSince.IsZero() && time.Since(st.confirmedAt) < peerConfirmationAge:
		id = st.primary
	case st.trusts(st.trust.id, mon.cfg.Clock()):
		id = st.trust.id
	}
	if st.check != nil && st.check.id != id {
		st.trustLosses++
	}
	return id
}
