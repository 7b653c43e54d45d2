package lead

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/posn"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
)

// PromotionResult is the platform's answer to a promotion.
type PromotionResult uint8

// Verdicts.
const (
	// Promoted means that the database will lead, or leads already.
	Promoted PromotionResult = iota + 1
	// Refused means that a higher token was seen, or that the database does not
	// run. The token must not be used again.
	Refused
)

// Promoter asks the platform to make a database the primary of its group. An
// error means that no answer came: the call may be carried out later.
type Promoter interface {
	Promote(ctx context.Context, g ident.Group, id ident.Target, token store.Revision) (PromotionResult, error)
}

// Peers asks other VMs. Reaches reports whether one of them had a sign of the
// database's lead lately.
type Peers interface {
	ConfirmsPrimary(ctx context.Context, g ident.Group, id ident.Target) bool
}

// Config has the parts of Leads. Peers and Rank may be nil.
type Config struct {
	VM       ident.VM
	Roster   *roster.Table
	Pools    *dbpool.Pools
	Store    store.Store
	Promoter Promoter
	Peers    Peers
	// Refresh, unless nil, reads the list of databases before a decision.
	RefreshList func(context.Context) error
	// Rank returns how many VMs are to act before this one on a group.
	Rank func(ident.Group) int
	// Region returns the region of a zone; Home is the one that is preferred
	// for primaries.
	RegionOf   func(ident.Zone) ident.Region
	HomeRegion ident.Region
	// Clock tells the time by which claims and positions count; nil stands for
	// the runtime's clock. Machines that can be suspended need one that counts
	// the suspension.
	Clock func() time.Time
	Log   zerolog.Logger
}

// Monitor knows the primaries of groups. Its methods may be called from several
// goroutines.
type Monitor struct {
	cfg Config

	mu     sync.Mutex
	groups map[ident.Group]*state
	ctx    context.Context
	wg     sync.WaitGroup
}

// state is what is known of one group.
type state struct {
	id    ident.Group
	track posn.Tracker
	kick  chan struct{}

	mu sync.Mutex
	// confirmed is when the lead of leader was last shown.
	confirmed time.Time
	leader    ident.Target
	// failing is when the primary first failed to answer since then, and dials
	// the number of connections that could not be made.
	failing time.Time
	dials   int
	// stalls counts writes without an answer since the last one with one.
	stalls int
	// starvedAt is when a decision was last taken because of them.
	starvedAt time.Time
	// changed is closed at the next sign of a lead; waiting is the number of
	// callers that need one.
	changed chan struct{}
	waiting int
	// doubted tells that a caller had no answer since the primary was last asked.
	doubted bool
}

// New returns Leads without groups.
func New(cfg Config) *Monitor {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Rank == nil {
		cfg.Rank = func(ident.Group) int { return 0 }
	}
	if cfg.RegionOf == nil {
		cfg.RegionOf = func(ident.Zone) ident.Region { return "" }
	}
	return &Monitor{cfg: cfg, groups: map[ident.Group]*state{}}
}

// Run watches groups until ctx ends. Watch adds groups.
func (l *Monitor) Run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	for _, st := range l.groups {
		l.start(st)
	}
	l.mu.Unlock()
	<-ctx.Done()
	l.wg.Wait()
}

// Watch adds the groups that are not watched yet.
func (l *Monitor) Watch(groups []ident.Group) {
	for _, g := range groups {
		l.state(g)
	}
}

func (l *Monitor) state(g ident.Group) *state {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.groups[g]
	if st == nil {
		st = &state{id: g, kick: make(chan struct{}, 1)}
		l.groups[g] = st
		if l.ctx != nil {
			l.start(st)
		}
	}
	return st
}

// start runs a group's monitor. The caller holds l.mu.
func (l *Monitor) start(st *state) {
	if l.ctx.Err() != nil {
		return
	}
	ctx := l.ctx
	l.wg.Go(func() { l.monitor(ctx, st) })
}

// Await implements engine.Leads.
func (l *Monitor) Await(deadline time.Time, g ident.Group) (roster.Member, bool) {
	st := l.state(g)
	for {
		changed, moved := st.waiter(), l.cfg.Roster.Changed()
		if id, ok := l.cfg.Roster.Primary(g); ok && !st.down() {
			return l.cfg.Roster.Member(g, id)
		}
		if !st.await(deadline, changed, moved) {
			return roster.Member{}, false
		}
	}
}

// await has the primary asked, and waits for one of the channels. It returns
// false after the deadline.
func (st *state) await(deadline time.Time, changed, moved <-chan struct{}) bool {
	d := time.Until(deadline)
	if d <= 0 {
		return false
	}
	st.wait(1)
	defer st.wait(-1)
	st.wake()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-moved:
	case <-t.C:
	}
	return true
}

func (st *state) wait(n int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.waiting += n
}

// coverWait bounds the wait for a position. It is above a round trip between
// regions and a new connection; the caller then asks the primary itself.
const coverWait = 400 * time.Millisecond

// CoveringPosition implements engine.Leads. It gives up after coverWait.
func (l *Monitor) CoveringPosition(deadline time.Time, g ident.Group, since time.Time) (ident.Position, bool) {
	st := l.state(g)
	if by := time.Now().Add(coverWait); by.Before(deadline) {
		deadline = by
	}
	for {
		changed := st.waiter()
		if pos, ok := st.track.Covering(since); ok {
			return pos, true
		}
		if !st.await(deadline, changed, nil) {
			return ident.Position{}, false
		}
	}
}

// Confirm implements engine.Leads. A zero position confirms only the lead.
func (l *Monitor) Confirm(g ident.Group, id ident.Target, pos ident.Position, sent time.Time) {
	st := l.state(g)
	if !pos.IsZero() {
		st.track.Confirm(pos, sent)
	}
	if l.cfg.Roster.ConfirmPrimary(g, id) {
		l.logLearned(g, id, pos)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.leader != id {
		st.stalls = 0
	}
	st.leader, st.confirmed = id, time.Now()
	st.failing, st.dials = time.Time{}, 0
	if st.changed != nil {
		close(st.changed)
		st.changed = nil
	}
}

// Depose implements engine.Leads.
func (l *Monitor) Depose(g ident.Group, id ident.Target) {
	if l.cfg.Roster.DeposePrimary(g, id, time.Now()) {
		l.logDeposed(g, id)
	}
	l.state(g).wake()
}

// ReportUnanswered implements engine.Leads.
func (l *Monitor) ReportUnanswered(g ident.Group, id ident.Target) {
	if leader, ok := l.cfg.Roster.Primary(g); !ok || leader != id {
		return
	}
	st := l.state(g)
	st.mu.Lock()
	st.doubted = true
	st.mu.Unlock()
	st.wake()
}

// ReportStalledWrite implements engine.Leads.
func (l *Monitor) ReportStalledWrite(g ident.Group, id ident.Target) {
	st := l.state(g)
	st.mu.Lock()
	if st.leader == id {
		st.stalls++
	}
	st.doubted = true
	st.mu.Unlock()
	st.wake()
}

// ReportWrite implements engine.Leads.
func (l *Monitor) ReportWrite(g ident.Group, id ident.Target) {
	st := l.state(g)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.leader == id {
		st.stalls = 0
	}
}

// freshLead is the age up to which a sign of a lead counts for other VMs.
const freshLead = 800 * time.Millisecond

// ConfirmedPrimary returns the database whose lead was shown within freshLead, or "".
func (l *Monitor) ConfirmedPrimary(g ident.Group) ident.Target {
	st := l.state(g)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.failing.IsZero() && time.Since(st.confirmed) < freshLead {
		return st.leader
	}
	return ""
}

func (st *state) waiter() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.changed == nil {
		st.changed = make(chan struct{})
	}
	return st.changed
}

func (st *state) wake() {
	select {
	case st.kick <- struct{}{}:
	default:
	}
}

// down reports whether connections to the primary could not be made lately. One
// alone may have met a full queue of connections, as after a restart of all VMs.
func (st *state) down() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.dials >= dialsNeeded
}
