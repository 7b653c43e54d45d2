package wire

import (
	"context"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"chervilspan.example/internal/conns"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
)

// txn is a transaction with the connection that belongs to it.
type txn struct {
	// conn is nil when the connection was lost.
	conn    *conns.Conn
	release func()
	target  ident.Target
	replica bool
	// explicit transactions began by statement; the others end at Sync.
	explicit bool
	// executed tells whether a statement ran, and wrote whether one that may
	// write did.
	executed bool
	wrote    bool
	// failed tells that the proxy refused a statement, so that the transaction
	// must be rolled back although the target does not know.
	failed bool
	// unsynced tells that extended messages were sent without Sync.
	unsynced bool
	// keyed tells that the transaction records the idempotency key, and
	// replayed is where the log ended when the key was found committed.
	keyed    bool
	replayed ident.Position
}

// first runs a unit on a connection that has no transaction yet.
func (s *session) first(ctx context.Context, u *unit, tx *txn, p *plan) *miss {
	m := s.run(ctx, u, tx, p.read)
	if m != nil {
		s.give(tx) // closes a connection on which anything is outstanding
		return s.relax(m, u, p)
	}
	return s.after(ctx, u, tx)
}

// relax makes a read that turned out to write go to the primary.
func (s *session) relax(m *miss, u *unit, p *plan) *miss {
	if m.err.Code != codeReadOnly || !p.read {
		return m
	}
	if s.grant.ReadOnly {
		m.again = false
		m.err = refuse("route", codeReadOnly, "the route is read-only", nil)
		return m
	}
	p.read, p.queue, p.rounds = false, nil, 0
	u.writes, u.reads = true, false
	return m
}

// run sends a unit and queues the answer. It returns a miss when the answer is
// not to reach the caller.
func (s *session) run(ctx context.Context, u *unit, tx *txn, read bool) *miss {
	c := tx.conn
	if !s.setRunning(ctx, c) {
		return &miss{err: refuse("run", codeCancelled, "cancelled on request before it ran", nil)}
	}
	defer s.clearRunning(c)
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	if u.taints {
		c.CloseOnPut()
	}
	defer s.watch(u, tx)()
	if s.keyed(u) {
		return s.runKeyed(u, tx)
	}
	s.prepareConn(u, tx, read)
	a, m := s.exchange(u, tx)
	if m != nil {
		return m
	}
	return s.judge(u, tx, a)
}

// watch ends the wait for a target that will not answer before the deadline.
func (s *session) watch(u *unit, tx *txn) (stop func()) {
	switch {
	case u.reads && !u.begins && s.tx == nil:
		return s.srv.cfg.Pools.WatchRead(tx.conn)
	case !tx.replica:
		return s.srv.cfg.Pools.WatchWrite(tx.conn)
	}
	return s.srv.cfg.Pools.WatchPath(tx.conn)
}

// prepareConn sets the session's floor on the connection of a new transaction.
func (s *session) prepareConn(u *unit, tx *txn, read bool) {
	switch {
	case tx.executed || tx.explicit || tx.unsynced:
	case read && s.grant.MaxAge > 0:
		tx.conn.Start(s.floor.Floor(), s.grant.MaxAge)
	case read || u.onlyBegins() || !u.writes:
		tx.conn.Start(s.floor.Floor(), 0)
	default:
		tx.conn.StartWrite()
	}
}

// exchange sends a unit and relays the answer. A miss means that the
// connection failed.
func (s *session) exchange(u *unit, tx *txn) (answer, *miss) {
	u.parsed, u.failed = 0, false
	tx.conn.ClearPositionReported()
	steps := s.send(tx.conn, u)
	if err := tx.conn.Flush(); err != nil {
		return answer{}, s.broken(u, tx, err)
	}
	a, err := s.relay(tx.conn, u, steps)
	if err != nil {
		return a, s.broken(u, tx, err)
	}
	tx.executed = tx.executed || u.executes > 0
	tx.wrote = tx.wrote || u.writes && !u.onlyBegins()
	tx.unsynced = u.end == endFlush
	u.failed = a.refused != nil
	return a, nil
}

// broken says what is known of a unit whose connection failed.
func (s *session) broken(u *unit, tx *txn, err error) *miss {
	o := retry.OutcomeOf(err)
	writes := u.writes && !u.onlyBegins() || tx.wrote
	ends := u.end != endFlush && !tx.explicit || u.commits
	var refused *pgconn.PgError
	switch {
	case o == retry.NotRun && !tx.explicit && !tx.executed:
		return &miss{err: lost("send", "the target could not be reached", o, err), again: true}
	case o == retry.NotRun:
		return &miss{err: lost("send", "the connection of the transaction was lost and it is rolled back", o, err)}
	case writes && ends:
		return &miss{err: lost("run", "the target was lost while the statement ran", retry.Unknown, err), again: s.key != "" && s.keyed(u), reached: true}
	case tx.explicit || tx.executed || writes:
		// Without a COMMIT the target rolls the transaction back.
		return &miss{err: lost("run", "the connection of the transaction was lost and it is rolled back", retry.NotRun, err), reached: true}
	case errors.As(err, &refused):
		return &miss{err: refuse("run", codeNotReady, "the target is stopping", err), again: true, reached: true}
	}
	// A read has no effect, so it may run again elsewhere.
	return &miss{err: lost("run", "the target was lost while the statement ran", retry.Unknown, err), again: true, reached: true}
}

// judge decides whether a complete answer is passed on. A refusal by the state
// of the target is not: another target can answer.
func (s *session) judge(u *unit, tx *txn, a answer) *miss {
	if a.refused == nil {
		return nil
	}
	switch a.refused.Code {
	case "0A000", codeNoStatement:
		// A statement prepared on the connection no longer fits its tables.
		tx.conn.CloseOnPut()
	}
	if tx.replica && schemaError(a.refused.Code) && s.grant.MaxAge == 0 && tx.conn.Position().Less(s.floor.Floor()) {
		err := &Error{Op: "run", Kind: KindRefused, Code: a.refused.Code, Text: a.refused.Message, Outcome: retry.NotRun, Err: a.refused}
		return &miss{err: err, again: true, reached: true, moved: true}
	}
	if !stateRefusal(a.refused.Code) || u.control && !u.onlyBegins() {
		return nil
	}
	if a.refused.Code == targetSuperseded || a.refused.Code == codeReadOnly && s.isPrimary(tx.target) {
		s.srv.cfg.Control.Suspect(s.grant.Group)
	}
	code, text := codeNotReady, "no target of the database group can run the statement now"
	if a.refused.Code == codeReadOnly {
		code, text = codeReadOnly, "the target takes no writes"
	}
	return &miss{err: refuse("run", code, text, a.refused), again: true, reached: true, moved: true}
}

// schemaError reports whether a code says that something does not exist. A
// replica behind the floor may say so at Parse, before it looks at the floor.
func schemaError(code string) bool { return strings.HasPrefix(code, "42") && code != codeSyntax }

// stateRefusal reports whether a code says that the target refused a statement
// because of its own state, before running it or by rolling it back.
func stateRefusal(code string) bool {
	switch code {
	case targetBehind, targetSuperseded, targetTooOld, targetRebuild, targetStarting, codeReadOnly:
		return true
	}
	return false
}

// after takes note of a unit that a target answered, ends the transaction or
// keeps it, and waits until a commit is safe.
func (s *session) after(ctx context.Context, u *unit, tx *txn) *miss {
	c := tx.conn
	if u.executes > 0 && !tx.explicit && !tx.wrote {
		s.srv.meter.read(s.grant, !tx.replica)
	}
	if c.Outstanding() > 0 || u.end == endFlush || c.Status() != conns.StatusIdle {
		tx.explicit = tx.explicit || u.end != endFlush && c.Status() != conns.StatusIdle || u.begins && !u.failed
		s.tx = tx
		if e := s.onceExplicit(u, tx); e != nil {
			return &miss{err: e}
		}
		return nil
	}
	return s.ended(ctx, u, tx, !u.failed || u.control)
}

// ended takes back the connection of a transaction that has ended.
func (s *session) ended(ctx context.Context, u *unit, tx *txn, committed bool) *miss {
	// A transaction that changed nothing has no position to wait for.
	pos, wrote := tx.conn.Position(), tx.wrote && committed && tx.conn.PositionReported()
	if !tx.replayed.IsZero() {
		pos, wrote = tx.replayed, true
	}
	s.give(tx)
	s.tx = nil
	clear(s.portals)
	if !wrote {
		if tx.explicit {
			s.key = ""
		}
		s.floor.RecordRead(pos, s.grant.MaxAge)
		return nil
	}
	if e := s.confirm(ctx, pos); e != nil {
		return &miss{err: e, again: e.Outcome == retry.NotRun && !u.control && !tx.explicit, reached: true}
	}
	s.key = ""
	s.floor.RecordWrite(pos)
	return nil
}

// give returns the connection of a transaction and its slot.
func (s *session) give(tx *txn) {
	if tx.conn != nil {
		s.srv.cfg.Pools.Put(tx.conn)
		tx.conn = nil
		tx.release()
	}
}

// abandon ends an open transaction by closing its connection, which rolls it
// back.
func (s *session) abandon() {
	if s.tx == nil {
		return
	}
	if s.tx.conn != nil {
		s.tx.conn.CloseOnPut()
		s.give(s.tx)
	}
	s.tx = nil
	clear(s.portals)
}

// inside runs a unit in the open transaction.
func (s *session) inside(ctx context.Context, u *unit) *Error {
	tx := s.tx
	switch {
	case (tx.failed || tx.conn == nil) && !s.revives(u):
		return s.insideFailed(ctx, u)
	case u.empty() && !tx.unsynced:
		return nil
	case u.local() && !u.empty() && (u.simple != nil || !tx.unsynced):
		s.answerLocal(u)
		return nil
	case s.grant.ReadOnly && u.writes:
		return refuse("route", codeReadOnly, "the route is read-only", nil)
	case !tx.explicit && !tx.executed && u.writes && tx.replica:
		if e := s.leave(ctx); e != nil {
			return e
		}
		return s.outside(ctx, u)
	}
	if e := s.admit(ctx, u); e != nil {
		return e
	}
	return s.continueTx(ctx, u, tx)
}

// revives reports whether a unit takes the transaction back to a savepoint.
func (s *session) revives(u *unit) bool {
	if s.tx.conn == nil || s.tx.unsynced || !u.rollTo || u.executes != 1 {
		return false
	}
	s.tx.failed = false
	return true
}

// continueTx runs a unit on the transaction's connection.
func (s *session) continueTx(ctx context.Context, u *unit, tx *txn) *Error {
	if !s.setRunning(ctx, tx.conn) {
		return refuse("run", codeCancelled, "cancelled on request before it ran", nil)
	}
	deadline, _ := ctx.Deadline()
	tx.conn.SetDeadline(deadline)
	if u.taints {
		tx.conn.CloseOnPut()
	}
	stop := s.watch(u, tx)
	a, m := s.exchange(u, tx)
	stop()
	s.clearRunning(tx.conn)
	if m != nil {
		return s.loseTx(u, m)
	}
	if e := s.refusedInside(tx, a); e != nil {
		return e
	}
	if tx.conn.Outstanding() > 0 || u.end == endFlush || tx.conn.Status() != conns.StatusIdle {
		tx.explicit = tx.explicit || u.end != endFlush || u.begins && !u.failed
		return s.onceExplicit(u, tx)
	}
	committed := a.committed()
	if !tx.explicit {
		committed = !u.failed
	}
	if m := s.ended(ctx, u, tx, committed); m != nil {
		return m.err
	}
	return nil
}
