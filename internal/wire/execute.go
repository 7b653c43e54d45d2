package wire

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"chervilspan.example/internal/conns"
	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
	"chervilspan.example/pkg/sessn"
)

// execute runs a unit and queues its answer. An error ends the session.
func (s *session) execute(u *unit) error {
	if e := s.checkKey(); e != nil {
		if e.Fatal {
			return e
		}
		if !s.rollBackUnder(u) {
			s.forget(u)
			s.fail(e)
			return s.out.err
		}
	}
	start := time.Now()
	ctx, stop := s.startUnit(start.Add(s.deadline()))
	defer stop()
	s.out.begin()
	e := s.dispatch(ctx, u)
	s.skipping = s.skipping || u.failed
	if u.failed || e != nil {
		s.forget(u)
	}
	if u.executes > 0 {
		s.srv.meter.statement(s.grant, outcomeOf(e), time.Since(start))
	}
	if e == nil {
		return s.out.err
	}
	if s.tx == nil && u.writes {
		s.key = ""
	}
	if e.Outcome == retry.Unknown {
		evlog.At(s.srv.cfg.Log, evlog.OutcomeUnknown).Str("workspace", string(s.grant.Workspace)).Str("reason", e.Text).Send()
	}
	if e.Fatal {
		return e
	}
	s.fail(e)
	return s.out.err
}

// deadline returns how long a unit may wait and run.
func (s *session) deadline() time.Duration {
	if s.grant.RequestTimeout <= 0 {
		return defaultDeadline
	}
	return s.grant.RequestTimeout
}

func outcomeOf(e *Error) retry.Outcome {
	if e == nil {
		return retry.Done
	}
	return e.Outcome
}

func (s *session) dispatch(ctx context.Context, u *unit) *Error {
	switch {
	case s.tx != nil:
		return s.inside(ctx, u)
	case u.empty():
		return nil
	case u.local():
		s.answerLocal(u)
		return nil
	}
	return s.outside(ctx, u)
}

// startUnit lets cancel requests reach the unit until stop is called.
func (s *session) startUnit(deadline time.Time) (ctx context.Context, stop func()) {
	ctx, timeout := context.WithDeadline(s.srv.ctx, deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.stopUnit = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.stopUnit = nil
		s.mu.Unlock()
		cancel(nil)
		timeout()
	}
}

// admit takes the right to run the unit's statements. The end of a transaction
// needs none, so that a transaction can always be ended.
func (s *session) admit(ctx context.Context, u *unit) *Error {
	for range u.executes {
		if err := s.srv.cfg.Limiter.Admit(ctx, s.grant.Workspace); err != nil {
			return fromLimit(ctx, "admit", err)
		}
	}
	return nil
}

// attach takes the group's position as the floor of a session without one.
func (s *session) attach(ctx context.Context) *Error {
	if !s.floor.NeedsFloor(s.grant.MaxAge) {
		return nil
	}
	p, err := s.srv.cfg.Control.Floor(ctx, s.grant.Group)
	if err != nil {
		return refuse("attach", sqlState(err, codeNotReady), "no majority of the database group can be reached", err)
	}
	s.floor.Attach(p)
	return nil
}

// miss says why a target did not answer a unit.
type miss struct {
	err *Error
	// again tells that another attempt is safe and may help.
	again bool
	// reached tells that something was sent to the target, which counts
	// towards its retry budget.
	reached bool
	// moved tells that the target refused by its state, such as a replica
	// behind the floor, and another target can answer at once.
	moved bool
}

// outside runs a unit outside a transaction: on one target after the other
// until one answers.
func (s *session) outside(ctx context.Context, u *unit) *Error {
	if s.grant.ReadOnly && u.writes && !u.onlyBegins() {
		return refuse("route", codeReadOnly, "the route is read-only", nil)
	}
	if !s.keyFits(u) {
		return refuse("once", codeUnsupported, "an idempotency key needs BEGIN in a message of its own, or one unit up to Sync of less than 32 KiB", nil)
	}
	if e := s.admit(ctx, u); e != nil {
		return e
	}
	if e := s.attach(ctx); e != nil {
		return e
	}
	p := plan{s: s, u: u, read: s.onReplica(u)}
	for {
		target, e := p.next(ctx)
		if e != nil {
			return p.final(e)
		}
		m := s.attempt(ctx, u, target, &p)
		if m == nil {
			return nil
		}
		if m.err.Outcome == retry.Unknown {
			p.unknown = m.err
		}
		if !m.again || s.out.sent || s.out.err != nil || !p.pay(ctx, m) {
			return p.final(m.err)
		}
		s.out.drop()
		p.last = m
	}
}

// onReplica reports whether a unit may run on a replica. Extended statements
// before Sync stay on the primary, because a later one may write.
func (s *session) onReplica(u *unit) bool {
	if s.grant.ReadOnly {
		return true
	}
	return u.reads && (u.end != endFlush || u.executes == 0)
}

// plan chooses the targets of a unit.
type plan struct {
	s *session
	u *unit
	// read tells that replicas may run the unit.
	read  bool
	queue []ident.Target
	// rounds counts how often the queue was filled.
	rounds int
	target ident.Target
	tried  bool
	last   *miss
	// unknown is the error of an attempt of unknown outcome.
	unknown *Error
}

// final returns the error of the whole unit. After an attempt of unknown
// outcome a later one that was not run does not make the unit not run.
func (p *plan) final(e *Error) *Error {
	if p.unknown != nil && e.Outcome == retry.NotRun {
		return p.unknown
	}
	return e
}

// waits spreads the attempts of a unit that waits for a target, such as a new
// primary. The cap adds to the time without writes after a failover.
var waits = retry.Backoff{Base: 5 * time.Millisecond, Cap: 100 * time.Millisecond}

// next returns the next target to try. It waits before it starts over, for
// instance for a new primary.
func (p *plan) next(ctx context.Context) (ident.Target, *Error) {
	for len(p.queue) == 0 {
		if p.rounds > 0 {
			delay := waits.Delay(p.rounds-1, rand.Float64())
			select {
			case <-time.After(delay):
			case <-ctx.Done():
				return "", p.expired(ctx)
			}
		}
		p.rounds++
		p.queue = p.candidates()
	}
	if ctx.Err() != nil {
		return "", p.expired(ctx)
	}
	p.target, p.queue = p.queue[0], p.queue[1:]
	return p.target, nil
}

func (p *plan) candidates() []ident.Target {
	s := p.s
	g, ok := s.srv.cfg.Groups.Group(s.grant.Group)
	if !ok {
		return nil
	}
	if !p.read {
		if g.Primary == "" {
			s.srv.cfg.Control.Suspect(g.ID)
			return nil
		}
		return []ident.Target{g.Primary}
	}
	return sessn.Candidates(sessn.ReadRequest{
		Group: g, Floor: s.floor.Floor(), MaxAge: s.grant.MaxAge, Location: s.srv.cfg.Location, RegionOf: s.srv.cfg.RegionOf,
		LoadOf: func(t ident.Target) sessn.Load { return s.srv.cfg.Pools.Load(g.ID, t) },
		Random: rand.Float64, Now: time.Now(),
	})
}

// expired returns the error of a unit whose time is over before a target
// answered.
func (p *plan) expired(ctx context.Context) *Error {
	if errors.Is(context.Cause(ctx), errCancelled) {
		return refuse("wait", codeCancelled, "cancelled on request while waiting", nil)
	}
	if p.last != nil {
		return p.last.err
	}
	return refuse("wait", codeNotReady, "the database group has no target for this statement", nil)
}

// pay waits until the budget lets another attempt follow; it reports false when
// the time is over. A read that a target refused by its state goes on to each
// other target once: a replica known to be behind is passed over, which bounds
// such refusals.
func (p *plan) pay(ctx context.Context, m *miss) bool {
	if !m.reached || m.moved && p.read && p.rounds <= 1 {
		return true
	}
	budget := p.s.srv.cfg.Pools.Budget(p.s.grant.Group, p.target)
	for !budget.Allow(time.Now()) {
		select {
		case <-time.After(waits.Cap):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// count notes a first attempt at a target.
func (p *plan) count() {
	if !p.tried {
		p.tried = true
		p.s.srv.cfg.Pools.Budget(p.s.grant.Group, p.target).Request(time.Now())
	}
}

// attempt runs a unit on a target. It returns nil when the answer is queued.
func (s *session) attempt(ctx context.Context, u *unit, target ident.Target, p *plan) *miss {
	wait, stop := ctx, func() {}
	if !p.read {
		wait, stop = s.srv.cfg.Pools.WhilePrimary(ctx, s.grant.Group, target)
	}
	defer stop()
	release, err := s.srv.cfg.Limiter.Acquire(wait, target, s.grant.Workspace, s.grant.Weight)
	if err != nil {
		if m := replaced(wait); m != nil {
			return m
		}
		return &miss{err: fromLimit(ctx, "acquire", err), again: len(p.queue) > 0}
	}
	c, err := s.srv.cfg.Pools.Get(wait, s.grant.Group, target, s.grant.Database)
	stop()
	if err != nil {
		release()
		if m := replaced(wait); m != nil {
			return m
		}
		if errors.Is(context.Cause(ctx), errCancelled) {
			return &miss{err: fromLimit(ctx, "connect", err)}
		}
		return &miss{err: unreachable(err), again: !conns.Is(err, conns.KindClosed)}
	}
	tx := &txn{conn: c, release: release, target: target, replica: p.read && !s.isPrimary(target)}
	p.count()
	return s.first(ctx, u, tx, p)
}

// replaced returns the miss of a write that waited for a primary until another
// one was known, so that it goes on there; nil when that is not the reason.
func replaced(wait context.Context) *miss {
	err := context.Cause(wait)
	if !conns.Is(err, conns.KindSuperseded) {
		return nil
	}
	return &miss{err: refuse("wait", codeNotReady, "the primary was replaced while the statement waited for it", err), again: true}
}

// unreachable says why there is no connection to a target.
func unreachable(err error) *Error {
	if conns.Is(err, conns.KindWaitTimeout) {
		return refuse("connect", codeQueue, "no connection to the target came free", err)
	}
	return refuse("connect", codeNotReady, "the target can't be reached", err)
}

func (s *session) isPrimary(t ident.Target) bool {
	g, _ := s.srv.cfg.Groups.Group(s.grant.Group)
	return g.Primary == t
}

// confirm returns nil when the commit at pos is safe: a majority of the group
// has it, or the group's commits are acknowledged by the primary alone. After
// the loss of the primary the new one is asked.
func (s *session) confirm(ctx context.Context, pos ident.Position) *Error {
	g, _ := s.srv.cfg.Groups.Group(s.grant.Group)
	if g.Ack == catal.AckPrimary {
		return nil
	}
	err := s.srv.cfg.Pools.WaitForQuorum(ctx, s.grant.Group, pos)
	if err == nil {
		return nil
	}
	if !conns.Is(err, conns.KindSuperseded) {
		s.srv.cfg.Control.Suspect(s.grant.Group)
		return lost("confirm", "no majority of the database group confirmed the commit in time", retry.Unknown, err)
	}
	has, err := s.srv.cfg.Control.Has(ctx, s.grant.Group, pos, pos.Term)
	switch {
	case err != nil:
		return lost("confirm", "the primary was replaced and the new one could not be asked", retry.Unknown, err)
	case !has:
		return lost("confirm", "the primary was replaced before a majority had the commit", retry.NotRun, nil)
	}
	return nil
}
