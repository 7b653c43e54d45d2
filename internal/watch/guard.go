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

// guard runs the failover of one group.
type guard struct {
	w  *Watcher
	id ident.Group

	mu      sync.Mutex
	m       elect.Machine
	rank    int
	members []elect.Member
	conns   map[ident.Target]*link
	closed  bool
	// suspected is when the suspicion in view began.
	suspected time.Time
	hurried   time.Time
}

// link is a connection to a target at an address.
type link struct {
	address string
	conn    Conn
}

func newGuard(w *Watcher, id ident.Group, seed uint64) *guard {
	return &guard{
		w: w, id: id, rank: -1, conns: map[ident.Target]*link{},
		m: elect.Machine{Policy: w.cfg.Policy, Rand: rand.NewPCG(seed, w.cfg.Seed)},
	}
}

func (g *guard) setRank(rank int) {
	g.mu.Lock()
	changed := g.rank != rank
	g.rank = rank
	g.mu.Unlock()
	if changed {
		g.step(elect.Ranked{Rank: rank})
	}
}

// close ends the guard and its connections. Running calls finish first.
func (g *guard) close() {
	g.mu.Lock()
	g.closed = true
	conns := g.conns
	g.conns = nil
	g.mu.Unlock()
	for _, l := range conns {
		l.conn.Close()
	}
}

// tick takes what the table knows and lets time pass.
func (g *guard) tick() {
	t, ok := g.w.cfg.Table.Group(g.id)
	if !ok {
		return
	}
	if members := g.w.members(&t); g.reconfigure(members) {
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
		out[i] = elect.Member{ID: r.ID, Address: r.Config.Address, Region: w.region(r.Config.Zone), Leaving: r.Config.Leaving}
	}
	return out
}

func (g *guard) reconfigure(members []elect.Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(members, g.members) {
		return false
	}
	g.members = members
	return true
}

// hurry probes at once, at most once a period however many errors are seen.
func (g *guard) hurry() {
	now := time.Now()
	g.mu.Lock()
	due := now.Sub(g.hurried) >= elect.Resolution
	if due {
		g.hurried = now
	}
	g.mu.Unlock()
	if due {
		g.step(elect.ErrorsReported{})
	}
}

func (g *guard) step(e elect.Event) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	actions := g.m.Step(time.Now(), e)
	g.mu.Unlock()
	for _, a := range actions {
		g.carry(a)
	}
}

// carry starts an action.
func (g *guard) carry(a elect.Action) {
	switch a := a.(type) {
	case elect.Probe:
		if a.NewConn {
			g.call(func() { g.probeNew(a.Target) })
			return
		}
		g.call(func() { g.probe(a.Target) })
	case elect.RaiseTerm:
		g.call(func() { g.raise(a) })
	case elect.Promote:
		g.call(func() { g.promote(a) })
	case elect.Follow:
		g.call(func() { g.follow(a) })
	case elect.PrimaryLearned:
		g.learned(a)
	case elect.Transition:
		g.noted(a)
	}
}

func (g *guard) call(f func()) { g.w.submit(g.w.calls, f) }

// conn returns the connection to a member at its present address, nil when the
// guard has ended or the member has gone.
func (g *guard) conn(id ident.Target) Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.members, func(m elect.Member) bool { return m.ID == id })
	if g.closed || i < 0 {
		return nil
	}
	address := g.members[i].Address
	l := g.conns[id]
	if l != nil && l.address == address {
		return l.conn
	}
	if l != nil {
		g.w.discard(l.conn)
	}
	l = &link{address: address, conn: g.w.cfg.Dial(g.id, id, address)}
	g.conns[id] = l
	return l.conn
}

// discard closes a connection without waiting for its running call, except
// after the Watcher has stopped: then all calls have been cancelled.
func (w *Watcher) discard(c Conn) {
	if !w.submit(w.reads, c.Close) {
		c.Close()
	}
}

var errGone = errors.New("the member has gone")

// with runs f on the connection to a member under a timeout.
func (g *guard) with(id ident.Target, timeout time.Duration, f func(context.Context, Conn) error) error {
	c := g.conn(id)
	if c == nil {
		return errGone
	}
	ctx, cancel := context.WithTimeout(g.w.base, timeout)
	defer cancel()
	return f(ctx, c)
}

func (g *guard) probe(id ident.Target) {
	var s topo.Status
	err := g.with(id, elect.ProbeTimeout, func(ctx context.Context, c Conn) (err error) {
		s, err = c.Status(ctx)
		return err
	})
	g.probed(id, s, false, err)
}

// probeNew tries a new connection, which replaces the existing one when the
// target answers on it.
func (g *guard) probeNew(id ident.Target) {
	g.mu.Lock()
	i := slices.IndexFunc(g.members, func(m elect.Member) bool { return m.ID == id })
	if g.closed || i < 0 {
		g.mu.Unlock()
		return
	}
	address := g.members[i].Address
	g.mu.Unlock()
	c := g.w.cfg.Dial(g.id, id, address)
	ctx, cancel := context.WithTimeout(g.w.base, elect.NewProbeTimeout)
	defer cancel()
	s, err := c.Status(ctx)
	if err != nil || !g.replace(id, address, c) {
		c.Close()
	}
	g.probed(id, s, true, err)
}

func (g *guard) replace(id ident.Target, address string, c Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	if old := g.conns[id]; old != nil {
		g.w.discard(old.conn)
	}
	g.conns[id] = &link{address: address, conn: c}
	return true
}

// probed hands the end of a probe to the table and the machine. The table
// counts a target as unreachable when a new connection failed too.
func (g *guard) probed(id ident.Target, s topo.Status, fresh bool, err error) {
	if err == nil {
		g.w.cfg.Table.Observe(g.id, s, time.Now())
		g.step(elect.ProbeAnswered{Status: s, NewConn: fresh})
		return
	}
	if g.w.base.Err() != nil {
		return
	}
	g.w.metrics.probeFailures.Inc(1)
	var e *dbctl.Error
	if errors.As(err, &e) && e.Kind == dbctl.KindProtocol {
		evlog.At(g.w.cfg.Log, evlog.ControlProtocol).Str("group", string(g.id)).Str("target", string(id)).Err(err).Send()
	}
	if fresh || g.w.cfg.Policy == elect.PolicyTimeout {
		g.w.cfg.Table.RecordFailure(g.id, id, time.Now())
	}
	g.step(elect.ProbeFailed{Target: id, NewConn: fresh})
}

func (g *guard) raise(a elect.RaiseTerm) {
	var s topo.Status
	err := g.with(a.Target, elect.CallTimeout, func(ctx context.Context, c Conn) (err error) {
		s, err = c.RaiseTerm(ctx, a.Term)
		return err
	})
	if err == nil {
		g.w.cfg.Table.Observe(g.id, s, time.Now())
	}
	g.step(elect.TermRaised{Target: a.Target, Term: a.Term, Outcome: elect.OutcomeOf(err), Status: s})
}

func (g *guard) promote(a elect.Promote) {
	err := g.with(a.Target, elect.CallTimeout, func(ctx context.Context, c Conn) error {
		return c.Promote(ctx, a.Term, a.Members)
	})
	g.step(elect.Promoted{Target: a.Target, Term: a.Term, Outcome: elect.OutcomeOf(err)})
}

func (g *guard) follow(a elect.Follow) {
	err := g.with(a.Target, elect.CallTimeout, func(ctx context.Context, c Conn) error {
		return c.Follow(ctx, a.Term, a.Primary, a.Address)
	})
	g.step(elect.Followed{Target: a.Target, Term: a.Term, Outcome: elect.OutcomeOf(err)})
}

func (g *guard) learned(a elect.PrimaryLearned) {
	h := topo.Hint{Group: g.id, Term: a.Term, Primary: a.Primary}
	g.w.cfg.Table.Learn(h)
	e := evlog.PrimaryLearned
	if a.Elected {
		e = evlog.PrimaryElected
		g.w.metrics.promotions.Inc(1)
		g.w.noteHint(h)
		g.mu.Lock()
		if !g.suspected.IsZero() {
			g.w.metrics.gap.Record(time.Since(g.suspected))
		}
		g.mu.Unlock()
	}
	evlog.At(g.w.cfg.Log, e).Str("group", string(g.id)).Uint64("term", uint64(a.Term)).Str("primary", string(a.Primary)).Send()
}

func (g *guard) noted(a elect.Transition) {
	var e evlog.Event
	switch a.Kind {
	case elect.TransitionSuspected:
		e = evlog.PrimarySuspected
		g.w.metrics.suspicions.Inc(1)
		g.mu.Lock()
		g.suspected = time.Now()
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
