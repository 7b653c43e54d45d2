package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilspan.example/internal/dbctl"
	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// groupMonitor runs the election state machine of one group and carries out its
// actions.
type groupMonitor struct {
	w  *Watcher
	id ident.Group

	mu      sync.Mutex
	machine elect.Machine
	rank    int
	members []elect.Member
	conns   map[ident.Target]*targetConn
	closed  bool
	// suspectedAt is the start of the latest suspicion.
	suspectedAt time.Time
	// probeRequestedAt is the time of the latest probe because of errors.
	probeRequestedAt time.Time
}

// targetConn is a connection to a target, with the address it was dialled for.
type targetConn struct {
	address string
	conn    Conn
}

func newGroupMonitor(w *Watcher, id ident.Group, seed uint64) *groupMonitor {
	return &groupMonitor{
		w: w, id: id, rank: -1, conns: map[ident.Target]*targetConn{},
		machine: elect.Machine{Policy: w.cfg.Policy, Rand: rand.NewPCG(seed, w.cfg.Seed)},
	}
}

func (g *groupMonitor) setRank(rank int) {
	g.mu.Lock()
	changed := g.rank != rank
	g.rank = rank
	g.mu.Unlock()
	if changed {
		g.step(elect.Ranked{Rank: rank})
	}
}

// close stops the groupMonitor and closes its connections. Running calls finish
// first.
func (g *groupMonitor) close() {
	g.mu.Lock()
	g.closed = true
	conns := g.conns
	g.conns = nil
	g.mu.Unlock()
	for _, tc := range conns {
		tc.conn.Close()
	}
}

// tick passes the table's members and primary to the state machine, then a
// clock tick.
func (g *groupMonitor) tick() {
	t, ok := g.w.cfg.Table.Group(g.id)
	if !ok {
		return
	}
	if members := g.w.members(&t); g.setMembers(members) {
		g.step(elect.Configured{Members: members})
	}
	if t.Primary != "" {
		g.step(elect.Hinted{Term: t.Term, Primary: t.Primary})
	}
	g.step(elect.Tick{})
}

func (w *Watcher) members(t *topo.Group) []elect.Member {
	out := make([]elect.Member, len(t.Targets))
	for i, r := range t.Targets {
		out[i] = elect.Member{ID: r.ID, Address: r.Config.Address, Region: w.regionOf(r.Config.Zone), Leaving: r.Config.Leaving}
	}
	return out
}

// setMembers reports whether the members have changed.
func (g *groupMonitor) setMembers(members []elect.Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(members, g.members) {
		return false
	}
	g.members = members
	return true
}

// requestProbe makes the state machine probe at once, at most once per
// elect.Resolution however many errors are seen.
func (g *groupMonitor) requestProbe() {
	now := time.Now()
	g.mu.Lock()
	allowed := now.Sub(g.probeRequestedAt) >= elect.Resolution
	if allowed {
		g.probeRequestedAt = now
	}
	g.mu.Unlock()
	if allowed {
		g.step(elect.ErrorsReported{})
	}
}

func (g *groupMonitor) step(e elect.Event) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	actions := g.machine.Step(time.Now(), e)
	g.mu.Unlock()
	for _, a := range actions {
		g.startAction(a)
	}
}

// startAction starts an action of the state machine; calls run in the pool.
func (g *groupMonitor) startAction(a elect.Action) {
	switch a := a.(type) {
	case elect.Probe:
		if a.NewConn {
			g.submitCall(func() { g.probeNewConn(a.Target) })
			return
		}
		g.submitCall(func() { g.probe(a.Target) })
	case elect.RaiseTerm:
		g.submitCall(func() { g.raiseTerm(a) })
	case elect.Promote:
		g.submitCall(func() { g.promote(a) })
	case elect.Follow:
		g.submitCall(func() { g.follow(a) })
	case elect.PrimaryLearned:
		g.publishPrimary(a)
	case elect.Transition:
		g.reportTransition(a)
	}
}

func (g *groupMonitor) submitCall(f func()) { g.w.submit(g.w.failoverPool, f) }

// conn returns the connection to a member at its current address, nil when the
// groupMonitor is closed or the target is no longer a member.
func (g *groupMonitor) conn(id ident.Target) Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.members, func(m elect.Member) bool { return m.ID == id })
	if g.closed || i < 0 {
		return nil
	}
	address := g.members[i].Address
	tc := g.conns[id]
	if tc != nil && tc.address == address {
		return tc.conn
	}
	if tc != nil {
		g.w.closeAsync(tc.conn)
	}
	tc = &targetConn{address: address, conn: g.w.cfg.Dial(g.id, id, address)}
	g.conns[id] = tc
	return tc.conn
}

// closeAsync closes a connection without waiting for its running call. After the
// Watcher has stopped it does wait, but then all calls have been cancelled.
func (w *Watcher) closeAsync(c Conn) {
	if !w.submit(w.readPool, c.Close) {
		c.Close()
	}
}

var errNotMember = errors.New("the target is not a member of the group")

// withConn runs f with a timeout on the connection to a member.
func (g *groupMonitor) withConn(id ident.Target, timeout time.Duration, f func(context.Context, Conn) error) error {
	c := g.conn(id)
	if c == nil {
		return errNotMember
	}
	ctx, cancel := context.WithTimeout(g.w.baseCtx, timeout)
	defer cancel()
	return f(ctx, c)
}

func (g *groupMonitor) probe(id ident.Target) {
	var s topo.Status
	err := g.withConn(id, elect.ProbeTimeout, func(ctx context.Context, c Conn) (err error) {
		s, err = c.Status(ctx)
		return err
	})
	g.handleProbeResult(id, s, false, err)
}

// probeNewConn probes on a new connection, which replaces the existing one when
// the target answers on it.
func (g *groupMonitor) probeNewConn(id ident.Target) {
	g.mu.Lock()
	i := slices.IndexFunc(g.members, func(m elect.Member) bool { return m.ID == id })
	if g.closed || i < 0 {
		g.mu.Unlock()
		return
	}
	address := g.members[i].Address
	g.mu.Unlock()
	c := g.w.cfg.Dial(g.id, id, address)
	ctx, cancel := context.WithTimeout(g.w.baseCtx, elect.NewProbeTimeout)
	defer cancel()
	s, err := c.Status(ctx)
	if err != nil || !g.replaceConn(id, address, c) {
		c.Close()
	}
	g.handleProbeResult(id, s, true, err)
}

func (g *groupMonitor) replaceConn(id ident.Target, address string, c Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	if old := g.conns[id]; old != nil {
		g.w.closeAsync(old.conn)
	}
	g.conns[id] = &targetConn{address: address, conn: c}
	return true
}

// handleProbeResult records the result of a probe in the table and passes it to
// the state machine. A failed probe on the existing connection may only mean that
// the connection is broken, so the table counts the target as failed when a new
// connection has failed too, or at once with elect.PolicyTimeout.
func (g *groupMonitor) handleProbeResult(id ident.Target, s topo.Status, newConn bool, err error) {
	if err == nil {
		g.w.cfg.Table.RecordStatus(g.id, s, time.Now())
		g.step(elect.ProbeAnswered{Status: s, NewConn: newConn})
		return
	}
	if g.w.baseCtx.Err() != nil {
		return
	}
	g.w.metrics.probeFailures.Inc(1)
	var e *dbctl.Error
	if errors.As(err, &e) && e.Kind == dbctl.KindProtocol {
		evlog.At(g.w.cfg.Log, evlog.ControlProtocol).Str("group", string(g.id)).Str("target", string(id)).Err(err).Send()
	}
	if newConn || g.w.cfg.Policy == elect.PolicyTimeout {
		g.w.cfg.Table.RecordFailure(g.id, id, time.Now())
	}
	g.step(elect.ProbeFailed{Target: id, NewConn: newConn})
}

func (g *groupMonitor) raiseTerm(a elect.RaiseTerm) {
	var s topo.Status
	err := g.withConn(a.Target, elect.CallTimeout, func(ctx context.Context, c Conn) (err error) {
		s, err = c.RaiseTerm(ctx, a.Term)
		return err
	})
	if err == nil {
		g.w.cfg.Table.RecordStatus(g.id, s, time.Now())
	}
	g.step(elect.TermRaised{Target: a.Target, Term: a.Term, Outcome: elect.OutcomeOf(err), Status: s})
}

func (g *groupMonitor) promote(a elect.Promote) {
	err := g.withConn(a.Target, elect.CallTimeout, func(ctx context.Context, c Conn) error {
		return c.Promote(ctx, a.Term, a.Members)
	})
	g.step(elect.Promoted{Target: a.Target, Term: a.Term, Outcome: elect.OutcomeOf(err)})
}

func (g *groupMonitor) follow(a elect.Follow) {
	err := g.withConn(a.Target, elect.CallTimeout, func(ctx context.Context, c Conn) error {
		return c.Follow(ctx, a.Term, a.Primary, a.Address)
	})
	g.step(elect.Followed{Target: a.Target, Term: a.Term, Outcome: elect.OutcomeOf(err)})
}

func (g *groupMonitor) publishPrimary(a elect.PrimaryLearned) {
	h := topo.Hint{Group: g.id, Term: a.Term, Primary: a.Primary}
	g.w.cfg.Table.Learn(h)
	e := evlog.PrimaryLearned
	if a.Elected {
		e = evlog.PrimaryElected
		g.w.metrics.promotions.Inc(1)
		g.w.queueHint(h)
		g.mu.Lock()
		if !g.suspectedAt.IsZero() {
			g.w.metrics.gap.Record(time.Since(g.suspectedAt))
		}
		g.mu.Unlock()
	}
	evlog.At(g.w.cfg.Log, e).Str("group", string(g.id)).Uint64("term", uint64(a.Term)).Str("primary", string(a.Primary)).Send()
}

func (g *groupMonitor) reportTransition(a elect.Transition) {
	var e evlog.Event
	switch a.Kind {
	case elect.TransitionSuspected:
		e = evlog.PrimarySuspected
		g.w.metrics.suspicions.Inc(1)
		g.mu.Lock()
		g.suspectedAt = time.Now()
		g.mu.Unlock()
	case elect.TransitionRefuted:
		e = evlog.SuspicionRefuted
	case elect.TransitionElectionStarted:
		e = evlog.ElectionStarted
		g.w.metrics.elections.Inc(1)
	case elect.TransitionElectionAbandoned:
		e = evlog.ElectionAbandoned
		g.w.metrics.abandoned.Inc(1)
	default:
		return
	}
	evlog.At(g.w.cfg.Log, e).Str("group", string(g.id)).Uint64("term", uint64(a.Term)).Stringer("reason", a.Reason).Send()
}
