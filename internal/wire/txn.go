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
	conn        *conns.Conn
	releaseSlot func()
	target      ident.Target
	onReplica   bool
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
	keyRecorded      bool
	replayedPosition ident.Position
}

// first runs a unit on a connection that has no transaction yet.
func (s *session) runFirst(ctx context.Context, u *unit, tx *txn, p *plan) *failure {
	f := s.runUnit(ctx, u, tx, p.replicaAllowed)
	if f != nil {
		s.releaseConn(tx) // closes a connection on which anything is outstanding
		return s.redirectToPrimary(f, u, p)
	}
	return s.finishUnit(ctx, u, tx)
}

// relax makes a read that turned out to write go to the primary.
func (s *session) redirectToPrimary(f *failure, u *unit, p *plan) *failure {
	if f.err.Code != codeReadOnly || !p.replicaAllowed {
		return f
	}
	if s.auth.ReadOnly {
		f.retryable = false
		f.err = refusedError("route", codeReadOnly, "the route is read-only", nil)
		return f
	}
	p.replicaAllowed, p.remaining, p.rounds = false, nil, 0
	u.executesWrite, u.readOnly = true, false
	return f
}

// run sends a unit and queues the answer. It returns a miss when the answer is
// not to reach the caller.
func (s *session) runUnit(ctx context.Context, u *unit, tx *txn, read bool) *failure {
	c := tx.conn
	if !s.setRunning(ctx, c) {
		return &failure{err: refusedError("run", codeCancelled, "cancelled on request before it ran", nil)}
	}
	defer s.clearRunning(c)
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	if u.taints {
		c.Taint()
	}
	defer s.watchTarget(u, tx)()
	if s.runsUnderKey(u) {
		return s.runKeyed(u, tx)
	}
	s.startOnConn(u, tx, read)
	a, f := s.exchange(u, tx)
	if f != nil {
		return f
	}
	return s.checkRefusal(u, tx, a)
}

// watch ends the wait for a target that will not answer before the deadline.
func (s *session) watchTarget(u *unit, tx *txn) (stop func()) {
	switch {
	case u.readOnly && !u.begins && s.tx == nil:
		return s.srv.cfg.Pools.WatchRead(tx.conn)
	case !tx.onReplica:
		return s.srv.cfg.Pools.WatchWrite(tx.conn)
	}
	return s.srv.cfg.Pools.WatchPath(tx.conn)
}

// prepareConn sets the session's floor on the connection of a new transaction.
func (s *session) startOnConn(u *unit, tx *txn, read bool) {
	switch {
	case tx.executed || tx.explicit || tx.unsynced:
	case read && s.auth.MaxAge > 0:
		tx.conn.Start(s.floor.Floor(), s.auth.MaxAge)
	case read || u.onlyBegins() || !u.executesWrite:
		tx.conn.Start(s.floor.Floor(), 0)
	default:
		tx.conn.StartWrite()
	}
}

// exchange sends a unit and relays the answer. A miss means that the
// connection failed.
func (s *session) exchange(u *unit, tx *txn) (answer, *failure) {
	u.answeredParses, u.failed = 0, false
	tx.conn.Expect()
	replies := s.sendUnit(tx.conn, u)
	if err := tx.conn.Flush(); err != nil {
		return answer{}, s.connFailure(u, tx, err)
	}
	a, err := s.forwardAnswer(tx.conn, u, replies)
	if err != nil {
		return a, s.connFailure(u, tx, err)
	}
	tx.executed = tx.executed || u.executions > 0
	tx.wrote = tx.wrote || u.executesWrite && !u.onlyBegins()
	tx.unsynced = u.end == endFlush
	u.failed = a.refused != nil
	return a, nil
}

// broken says what is known of a unit whose connection failed.
func (s *session) connFailure(u *unit, tx *txn, err error) *failure {
	o := retry.OutcomeOf(err)
	writes := u.executesWrite && !u.onlyBegins() || tx.wrote
	ends := u.end != endFlush && !tx.explicit || u.commits
	var refused *pgconn.PgError
	switch {
	case o == retry.NotRun && !tx.explicit && !tx.executed:
		return &failure{err: lostError("send", "the target could not be reached", o, err), retryable: true}
	case o == retry.NotRun:
		return &failure{err: lostError("send", "the connection of the transaction was lost and it is rolled back", o, err)}
	case writes && ends:
		return &failure{err: lostError("run", "the target was lost while the statement ran", retry.Unknown, err), retryable: s.idempotencyKey != "" && s.runsUnderKey(u), sent: true}
	case tx.explicit || tx.executed || writes:
		// Without a COMMIT the target rolls the transaction back.
		return &failure{err: lostError("run", "the connection of the transaction was lost and it is rolled back", retry.NotRun, err), sent: true}
	case errors.As(err, &refused):
		return &failure{err: refusedError("run", codeNotReady, "the target is stopping", err), retryable: true, sent: true}
	}
	// A read has no effect, so it may run again elsewhere.
	return &failure{err: lostError("run", "the target was lost while the statement ran", retry.Unknown, err), retryable: true, sent: true}
}

// judge decides whether a complete answer is passed on. A refusal by the state
// of the target is not: another target can answer.
func (s *session) checkRefusal(u *unit, tx *txn, a answer) *failure {
	if a.refused == nil {
		return nil
	}
	switch a.refused.Code {
	case "0A000", codeNoStatement:
		// A statement prepared on the connection no longer fits its tables.
		tx.conn.Taint()
	}
	if tx.onReplica && isSchemaError(a.refused.Code) && s.auth.MaxAge == 0 && tx.conn.Position().Less(s.floor.Floor()) {
		err := &Error{Op: "run", Kind: KindRefused, Code: a.refused.Code, Text: a.refused.Message, Outcome: retry.NotRun, Err: a.refused}
		return &failure{err: err, retryable: true, sent: true, stateRefusal: true}
	}
	if !isStateRefusal(a.refused.Code) || u.controlsTx && !u.onlyBegins() {
		return nil
	}
	if a.refused.Code == targetSuperseded || a.refused.Code == codeReadOnly && s.isPrimary(tx.target) {
		s.srv.cfg.Control.Suspect(s.auth.Group)
	}
	code, text := codeNotReady, "no target of the database group can run the statement now"
	if a.refused.Code == codeReadOnly {
		code, text = codeReadOnly, "the target takes no writes"
	}
	return &failure{err: refusedError("run", code, text, a.refused), retryable: true, sent: true, stateRefusal: true}
}

// schemaError reports whether a code says that something does not exist. A
// replica behind the floor may say so at Parse, before it looks at the floor.
func isSchemaError(code string) bool { return strings.HasPrefix(code, "42") && code != codeSyntax }

// stateRefusal reports whether a code says that the target refused a statement
// because of its own state, before running it or by rolling it back.
func isStateRefusal(code string) bool {
	switch code {
	case targetBehind, targetSuperseded, targetStale, targetRebuilding, targetStarting, codeReadOnly:
		return true
	}
	return false
}

// after takes note of a unit that a target answered, ends the transaction or
// keeps it, and waits until a commit is safe.
func (s *session) finishUnit(ctx context.Context, u *unit, tx *txn) *failure {
	c := tx.conn
	if u.executions > 0 && !tx.explicit && !tx.wrote {
		s.srv.metrics.recordRead(s.auth, !tx.onReplica)
	}
	if c.Outstanding() > 0 || u.end == endFlush || c.Status() != conns.Idle {
		tx.explicit = tx.explicit || u.end != endFlush && c.Status() != conns.Idle || u.begins && !u.failed
		s.tx = tx
		if e := s.recordKeyInTx(u, tx); e != nil {
			return &failure{err: e}
		}
		return nil
	}
	return s.finishTx(ctx, u, tx, !u.failed || u.controlsTx)
}

// ended takes back the connection of a transaction that has ended.
func (s *session) finishTx(ctx context.Context, u *unit, tx *txn, committed bool) *failure {
	// A transaction that changed nothing has no position to wait for.
	pos, wrote := tx.conn.Position(), tx.wrote && committed && tx.conn.Reported()
	if !tx.replayedPosition.IsZero() {
		pos, wrote = tx.replayedPosition, true
	}
	s.releaseConn(tx)
	s.tx = nil
	clear(s.portals)
	if !wrote {
		if tx.explicit {
			s.idempotencyKey = ""
		}
		s.floor.RecordRead(pos, s.auth.MaxAge)
		return nil
	}
	if e := s.confirmCommit(ctx, pos); e != nil {
		return &failure{err: e, retryable: e.Outcome == retry.NotRun && !u.controlsTx && !tx.explicit, sent: true}
	}
	s.idempotencyKey = ""
	s.floor.RecordWrite(pos)
	return nil
}

// give returns the connection of a transaction and its slot.
func (s *session) releaseConn(tx *txn) {
	if tx.conn != nil {
		s.srv.cfg.Pools.Put(tx.conn)
		tx.conn = nil
		tx.releaseSlot()
	}
}

// abandon ends an open transaction by closing its connection, which rolls it
// back.
func (s *session) abortTx() {
	if s.tx == nil {
		return
	}
	if s.tx.conn != nil {
		s.tx.conn.Taint()
		s.releaseConn(s.tx)
	}
	s.tx = nil
	clear(s.portals)
}

// inside runs a unit in the open transaction.
func (s *session) runInTx(ctx context.Context, u *unit) *Error {
	tx := s.tx
	switch {
	case (tx.failed || tx.conn == nil) && !s.recoverToSavepoint(u):
		return s.runInFailedTx(ctx, u)
	case u.isEmpty() && !tx.unsynced:
		return nil
	case u.answeredByProxy() && !u.isEmpty() && (u.simpleQuery != nil || !tx.unsynced):
		s.answerLocal(u)
		return nil
	case s.auth.ReadOnly && u.executesWrite:
		return refusedError("route", codeReadOnly, "the route is read-only", nil)
	case !tx.explicit && !tx.executed && u.executesWrite && tx.onReplica:
		if e := s.syncTarget(ctx); e != nil {
			return e
		}
		return s.runOutsideTx(ctx, u)
	}
	if e := s.admit(ctx, u); e != nil {
		return e
	}
	return s.continueTx(ctx, u, tx)
}

// revives reports whether a unit takes the transaction back to a savepoint.
func (s *session) recoverToSavepoint(u *unit) bool {
	if s.tx.conn == nil || s.tx.unsynced || !u.rollsBackToSavepoint || u.executions != 1 {
		return false
	}
	s.tx.failed = false
	return true
}

// continueTx runs a unit on the transaction's connection.
func (s *session) continueTx(ctx context.Context, u *unit, tx *txn) *Error {
	if !s.setRunning(ctx, tx.conn) {
		return refusedError("run", codeCancelled, "cancelled on request before it ran", nil)
	}
	deadline, _ := ctx.Deadline()
	tx.conn.SetDeadline(deadline)
	if u.taints {
		tx.conn.Taint()
	}
	stop := s.watchTarget(u, tx)
	a, f := s.exchange(u, tx)
	stop()
	s.clearRunning(tx.conn)
	if f != nil {
		return s.handleConnLoss(u, f)
	}
	if e := s.handleStateRefusal(tx, a); e != nil {
		return e
	}
	if tx.conn.Outstanding() > 0 || u.end == endFlush || tx.conn.Status() != conns.Idle {
		tx.explicit = tx.explicit || u.end != endFlush || u.begins && !u.failed
		return s.recordKeyInTx(u, tx)
	}
	committed := a.committed()
	if !tx.explicit {
		committed = !u.failed
	}
	if f := s.finishTx(ctx, u, tx, committed); f != nil {
		return f.err
	}
	return nil
}
