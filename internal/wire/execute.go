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

// execute runs a unit and queues its answer. A returned error ends the session.
func (s *session) execute(u *unit) error {
	if e := s.checkAuthorization(); e != nil {
		if e.Fatal {
			return e
		}
		if !s.rollBackUnchecked(u) {
			s.forgetUnparsed(u)
			s.answerError(e)
			return s.out.err
		}
	}
	start := time.Now()
	ctx, stop := s.unitContext(start.Add(s.requestTimeout()))
	defer stop()
	s.out.beginAnswer()
	e := s.dispatch(ctx, u)
	s.skipping = s.skipping || u.failed
	if u.failed || e != nil {
		s.forgetUnparsed(u)
	}
	if u.executions > 0 {
		s.srv.metrics.recordStatement(s.auth, outcomeOf(e), time.Since(start))
	}
	if e == nil {
		return s.out.err
	}
	if s.tx == nil && u.executesWrite {
		s.idempotencyKey = ""
	}
	if e.Outcome == retry.Unknown {
		evlog.At(s.srv.cfg.Log, evlog.OutcomeUnknown).Str("workspace", string(s.auth.Workspace)).Str("reason", e.Text).Send()
	}
	if e.Fatal {
		return e
	}
	s.answerError(e)
	return s.out.err
}

// requestTimeout returns how long a unit may wait and run.
func (s *session) requestTimeout() time.Duration {
	if s.auth.RequestTimeout <= 0 {
		return defaultRequestTimeout
	}
	return s.auth.RequestTimeout
}

func outcomeOf(e *Error) retry.Outcome {
	if e == nil {
		return retry.Done
	}
	return e.Outcome
}

// dispatch chooses where a unit runs: in the open transaction, in the proxy
// itself, or on a target outside any transaction.
func (s *session) dispatch(ctx context.Context, u *unit) *Error {
	switch {
	case s.tx != nil:
		return s.runInTx(ctx, u)
	case u.isEmpty():
		return nil
	case u.answeredByProxy():
		s.answerLocal(u)
		return nil
	}
	return s.runOutsideTx(ctx, u)
}

// unitContext returns the context of a unit. Until stop is called, a cancel
// request ends the context with errCancelled.
func (s *session) unitContext(deadline time.Time) (ctx context.Context, stop func()) {
	ctx, timeout := context.WithDeadline(s.srv.ctx, deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.cancelUnit = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancelUnit = nil
		s.mu.Unlock()
		cancel(nil)
		timeout()
	}
}

// admit charges each executed statement to the workspace's rate. Statements that
// control a transaction are not charged, so that it can always be ended.
func (s *session) admit(ctx context.Context, u *unit) *Error {
	for range u.executions {
		if err := s.srv.cfg.Limiter.Admit(ctx, s.auth.Workspace); err != nil {
			return limitError(ctx, "admit", err)
		}
	}
	return nil
}

// attachFloor sets the floor of a session that has none to the group's position.
func (s *session) attachFloor(ctx context.Context) *Error {
	if !s.floor.NeedsFloor(s.auth.MaxAge) {
		return nil
	}
	p, err := s.srv.cfg.Control.Floor(ctx, s.auth.Group)
	if err != nil {
		return refusedError("attach", sqlState(err, codeNotReady), "no majority of the database group can be reached", err)
	}
	s.floor.Attach(p)
	return nil
}

// failure describes an attempt whose answer does not reach the caller.
type failure struct {
	err *Error
	// retryable is set when another attempt is safe and may succeed.
	retryable bool
	// sent is set when something was sent to the target; a retry then counts
	// towards the target's retry budget.
	sent bool
	// stateRefusal is set when the target refused because of its own state,
	// such as a replica behind the floor, so that another target may answer at
	// once.
	stateRefusal bool
}

// runOutsideTx runs a unit outside a transaction. It tries one target after the
// other until one answers or no further attempt is possible.
func (s *session) runOutsideTx(ctx context.Context, u *unit) *Error {
	if s.auth.ReadOnly && u.executesWrite && !u.onlyBegins() {
		return refusedError("route", codeReadOnly, "the route is read-only", nil)
	}
	if !s.keyRecordable(u) {
		return refusedError("once", codeUnsupported, "an idempotency key needs BEGIN in a message of its own, or one unit up to Sync of less than 32 KiB", nil)
	}
	if e := s.admit(ctx, u); e != nil {
		return e
	}
	if e := s.attachFloor(ctx); e != nil {
		return e
	}
	p := plan{s: s, u: u, replicaAllowed: s.replicaAllowed(u)}
	for {
		target, e := p.nextTarget(ctx)
		if e != nil {
			return p.finalError(e)
		}
		f := s.attempt(ctx, u, target, &p)
		if f == nil {
			return nil
		}
		if f.err.Outcome == retry.Unknown {
			p.unknownOutcome = f.err
		}
		if !f.retryable || s.out.partSent || s.out.err != nil || !p.awaitRetryBudget(ctx, f) {
			return p.finalError(f.err)
		}
		s.out.discard()
		p.lastFailure = f
	}
}

// replicaAllowed reports whether a unit may run on a replica. Extended statements
// that run before their Sync stay on the primary, because a later one in the same
// transaction may write.
func (s *session) replicaAllowed(u *unit) bool {
	if s.auth.ReadOnly {
		return true
	}
	return u.readOnly && (u.end != endFlush || u.executions == 0)
}

// plan chooses the targets on which a unit is attempted.
type plan struct {
	s *session
	u *unit
	// replicaAllowed is set when replicas may run the unit.
	replicaAllowed bool
	// remaining has the candidates of the round that have not been tried.
	remaining []ident.Target
	// rounds counts how often the list of candidates was built.
	rounds int
	// target is the target of the present attempt.
	target ident.Target
	// counted is set when the first attempt was added to a retry budget.
	counted     bool
	lastFailure *failure
	// unknownOutcome is the error of the last attempt of unknown outcome.
	unknownOutcome *Error
}

// finalError returns the error of the whole unit. An attempt of unknown outcome
// may have taken effect, so a later attempt that was not run does not turn the
// outcome of the unit into "not run".
func (p *plan) finalError(e *Error) *Error {
	if p.unknownOutcome != nil && e.Outcome == retry.NotRun {
		return p.unknownOutcome
	}
	return e
}

// roundBackoff spaces the rounds of a unit that waits for a target, such as a new
// primary. The cap adds to the time without writes after a failover.
var roundBackoff = retry.Backoff{Base: 5 * time.Millisecond, Cap: 100 * time.Millisecond}

// nextTarget returns the next target to try. Once all candidates have been tried
// it waits and lists them anew, for instance until there is a new primary.
func (p *plan) nextTarget(ctx context.Context) (ident.Target, *Error) {
	for len(p.remaining) == 0 {
		if p.rounds > 0 {
			delay := roundBackoff.Delay(p.rounds-1, rand.Float64())
			select {
			case <-time.After(delay):
			case <-ctx.Done():
				return "", p.expiredError(ctx)
			}
		}
		p.rounds++
		p.remaining = p.candidates()
	}
	if ctx.Err() != nil {
		return "", p.expiredError(ctx)
	}
	p.target, p.remaining = p.remaining[0], p.remaining[1:]
	return p.target, nil
}

// candidates returns the targets of a round in the order in which they are tried.
// Without a known primary it asks for a probe and returns none for a write.
func (p *plan) candidates() []ident.Target {
	s := p.s
	g, ok := s.srv.cfg.Groups.Group(s.auth.Group)
	if !ok {
		return nil
	}
	if !p.replicaAllowed {
		if g.Primary == "" {
			s.srv.cfg.Control.Suspect(g.ID)
			return nil
		}
		return []ident.Target{g.Primary}
	}
	return sessn.Candidates(sessn.ReadRequest{
		Group: g, Floor: s.floor.Floor(), MaxAge: s.auth.MaxAge, Location: s.srv.cfg.Location, RegionOf: s.srv.cfg.RegionOf,
		LoadOf: func(t ident.Target) sessn.Load { return s.srv.cfg.Pools.Load(g.ID, t) },
		Random: rand.Float64, Now: time.Now(),
	})
}

// expiredError returns the error of a unit that was cancelled, or whose deadline
// passed, before a target answered.
func (p *plan) expiredError(ctx context.Context) *Error {
	if errors.Is(context.Cause(ctx), errCancelled) {
		return refusedError("wait", codeCancelled, "cancelled on request while waiting", nil)
	}
	if p.lastFailure != nil {
		return p.lastFailure.err
	}
	return refusedError("wait", codeNotReady, "the database group has no target for this statement", nil)
}

// awaitRetryBudget waits until the target's retry budget allows another attempt.
// It reports false when the unit's context ends first. An attempt that sent nothing
// is not charged, nor in the first round a read that a target refused because of
// its state: each other target is tried once and a replica known to be behind is
// skipped, which bounds such refusals.
func (p *plan) awaitRetryBudget(ctx context.Context, f *failure) bool {
	if !f.sent || f.stateRefusal && p.replicaAllowed && p.rounds <= 1 {
		return true
	}
	budget := p.s.srv.cfg.Pools.Budget(p.s.auth.Group, p.target)
	for !budget.Allow(time.Now()) {
		select {
		case <-time.After(roundBackoff.Cap):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// countFirstAttempt adds the unit's first attempt to the retry budget of its
// target.
func (p *plan) countFirstAttempt() {
	if !p.counted {
		p.counted = true
		p.s.srv.cfg.Pools.Budget(p.s.auth.Group, p.target).RecordRequest(time.Now())
	}
}

// attempt runs a unit on a target. It returns nil when the answer is queued.
func (s *session) attempt(ctx context.Context, u *unit, target ident.Target, p *plan) *failure {
	waitCtx, stop := ctx, func() {}
	if !p.replicaAllowed {
		waitCtx, stop = s.srv.cfg.Pools.WhilePrimary(ctx, s.auth.Group, target)
	}
	defer stop()
	release, err := s.srv.cfg.Limiter.Acquire(waitCtx, target, s.auth.Workspace, s.auth.Weight)
	if err != nil {
		if f := supersededFailure(waitCtx); f != nil {
			return f
		}
		return &failure{err: limitError(ctx, "acquire", err), retryable: len(p.remaining) > 0}
	}
	c, err := s.srv.cfg.Pools.Get(waitCtx, s.auth.Group, target, s.auth.Database)
	stop()
	if err != nil {
		release()
		if f := supersededFailure(waitCtx); f != nil {
			return f
		}
		if errors.Is(context.Cause(ctx), errCancelled) {
			return &failure{err: limitError(ctx, "connect", err)}
		}
		return &failure{err: unreachableError(err), retryable: !conns.Is(err, conns.KindClosed)}
	}
	tx := &txn{conn: c, releaseSlot: release, target: target, onReplica: p.replicaAllowed && !s.isPrimary(target)}
	p.countFirstAttempt()
	return s.runFirst(ctx, u, tx, p)
}

// supersededFailure returns a retryable failure when waitCtx ended because the
// primary was replaced, so that the write goes to the new one, and nil otherwise.
func supersededFailure(waitCtx context.Context) *failure {
	err := context.Cause(waitCtx)
	if !conns.Is(err, conns.KindSuperseded) {
		return nil
	}
	return &failure{err: refusedError("wait", codeNotReady, "the primary was replaced while the statement waited for it", err), retryable: true}
}

// unreachableError returns the error of a unit that got no connection to a target.
func unreachableError(err error) *Error {
	if conns.Is(err, conns.KindWaitTimeout) {
		return refusedError("connect", codeTooMany, "no connection to the target came free", err)
	}
	return refusedError("connect", codeNotReady, "the target can't be reached", err)
}

func (s *session) isPrimary(t ident.Target) bool {
	g, _ := s.srv.cfg.Groups.Group(s.auth.Group)
	return g.Primary == t
}

// confirmCommit returns nil when the commit at pos is safe: a majority of the
// group has it, or the group's commits are acknowledged by the primary alone. If
// the primary is replaced during the wait, the new primary is asked whether it has
// the commit.
func (s *session) confirmCommit(ctx context.Context, pos ident.Position) *Error {
	g, _ := s.srv.cfg.Groups.Group(s.auth.Group)
	if g.Ack == catal.AckPrimary {
		return nil
	}
	err := s.srv.cfg.Pools.WaitForQuorum(ctx, s.auth.Group, pos)
	if err == nil {
		return nil
	}
	if !conns.Is(err, conns.KindSuperseded) {
		s.srv.cfg.Control.Suspect(s.auth.Group)
		return lostError("confirm", "no majority of the database group confirmed the commit in time", retry.Unknown, err)
	}
	has, err := s.srv.cfg.Control.Has(ctx, s.auth.Group, pos, pos.Term)
	switch {
	case err != nil:
		return lostError("confirm", "the primary was replaced and the new one could not be asked", retry.Unknown, err)
	case !has:
		return lostError("confirm", "the primary was replaced before a majority had the commit", retry.NotRun, nil)
	}
	return nil
}
