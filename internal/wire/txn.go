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

// txn is a transaction and the target connection that is reserved for it.
type txn struct {
	// conn is nil after the connection was lost or released.
	conn        *conns.Conn
	releaseSlot func()
	target      ident.Target
	onReplica   bool
	// explicit is set for a transaction begun by a statement; an implicit one
	// ends at Sync.
	explicit bool
	// executed is set when a statement ran, and wrote when one that may write
	// did.
	executed bool
	wrote    bool
	// failed is set when the proxy refused a statement. The transaction must then
	// be rolled back, although the target has seen no error.
	failed bool
	// unsynced is set when extended messages were sent without a Sync.
	unsynced bool
	// keyRecorded is set when the transaction records the idempotency key.
	keyRecorded bool
	// replayedPosition is the end of the primary's log at the time when the key
	// was found to be committed already; zero otherwise.
	replayedPosition ident.Position
}

// runFirst runs a unit on a connection that has no transaction yet.
func (s *session) runFirst(ctx context.Context, u *unit, tx *txn, p *plan) *failure {
	f := s.runUnit(ctx, u, tx, p.replicaAllowed)
	if f != nil {
		s.releaseConn(tx) // closes the connection if replies are outstanding
		return s.redirectToPrimary(f, u, p)
	}
	return s.finishUnit(ctx, u, tx)
}

// redirectToPrimary makes the next attempt go to the primary when a unit that was
// taken for a read turned out to write. On a read-only route it is refused instead.
// Other failures are returned unchanged.
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

// runUnit sends a unit and queues its answer. It returns a failure when the answer
// must not reach the caller.
func (s *session) runUnit(ctx context.Context, u *unit, tx *txn, replicaAllowed bool) *failure {
	c := tx.conn
	if !s.setRunning(ctx, c) {
		return &failure{err: refusedError("run", codeCancelled, "cancelled on request before it ran", nil)}
	}
	defer s.clearRunning(c)
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	if u.taints {
		c.CloseOnPut()
	}
	defer s.watchTarget(u, tx)()
	if s.runsUnderKey(u) {
		return s.runKeyed(u, tx)
	}
	s.startOnConn(u, tx, replicaAllowed)
	a, f := s.exchange(u, tx)
	if f != nil {
		return f
	}
	return s.checkRefusal(u, tx, a)
}

// watchTarget interrupts the wait for a target that is not expected to answer
// before the deadline, until stop is called.
func (s *session) watchTarget(u *unit, tx *txn) (stop func()) {
	switch {
	case u.readOnly && !u.begins && s.tx == nil:
		return s.srv.cfg.Pools.WatchRead(tx.conn)
	case !tx.onReplica:
		return s.srv.cfg.Pools.WatchWrite(tx.conn)
	}
	return s.srv.cfg.Pools.WatchPath(tx.conn)
}

// startOnConn prepares the connection for a new transaction: it sets the session's
// floor, and for a read the maximum age, unless the unit writes. In a transaction
// that has begun it does nothing.
func (s *session) startOnConn(u *unit, tx *txn, replicaAllowed bool) {
	switch {
	case tx.executed || tx.explicit || tx.unsynced:
	case replicaAllowed && s.auth.MaxAge > 0:
		tx.conn.Start(s.floor.Floor(), s.auth.MaxAge)
	case replicaAllowed || u.onlyBegins() || !u.executesWrite:
		tx.conn.Start(s.floor.Floor(), 0)
	default:
		tx.conn.StartWrite()
	}
}

// exchange sends a unit and forwards the answer. A failure means that the
// connection failed.
func (s *session) exchange(u *unit, tx *txn) (answer, *failure) {
	u.answeredParses, u.failed = 0, false
	tx.conn.ClearPositionReported()
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

// connFailure returns the failure of a unit whose connection failed with err. The
// outcome depends on what was sent and on whether the unit would have committed.
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

// checkRefusal returns a failure when a complete answer must not be passed on: the
// target refused the unit because of its own state, and another target may run it.
// It returns nil for any other answer, and for a unit that controls a transaction
// beyond a mere BEGIN.
func (s *session) checkRefusal(u *unit, tx *txn, a answer) *failure {
	if a.refused == nil {
		return nil
	}
	switch a.refused.Code {
	case "0A000", codeNoStatement:
		// A statement prepared on the connection no longer matches the schema,
		// or is unknown there.
		tx.conn.CloseOnPut()
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

// isSchemaError reports whether a code is of class 42 other than a syntax error,
// such as an unknown table. A replica behind the floor may give one at Parse,
// before it checks the floor.
func isSchemaError(code string) bool { return strings.HasPrefix(code, "42") && code != codeSyntax }

// isStateRefusal reports whether a code says that the target refused a statement
// because of its own state, either before running it or by rolling it back.
func isStateRefusal(code string) bool {
	switch code {
	case targetBehind, targetSuperseded, targetStale, targetRebuilding, targetStarting, codeReadOnly:
		return true
	}
	return false
}

// finishUnit updates the session after a target has answered the first unit of a
// transaction: it keeps the transaction open, or ends it and waits until the
// commit is safe.
func (s *session) finishUnit(ctx context.Context, u *unit, tx *txn) *failure {
	c := tx.conn
	if u.executions > 0 && !tx.explicit && !tx.wrote {
		s.srv.metrics.recordRead(s.auth, !tx.onReplica)
	}
	if c.Outstanding() > 0 || u.end == endFlush || c.Status() != conns.StatusIdle {
		tx.explicit = tx.explicit || u.end != endFlush && c.Status() != conns.StatusIdle || u.begins && !u.failed
		s.tx = tx
		if e := s.recordKeyInTx(u, tx); e != nil {
			return &failure{err: e}
		}
		return nil
	}
	return s.finishTx(ctx, u, tx, !u.failed || u.controlsTx)
}

// finishTx releases the connection of a transaction that has ended, waits until its
// commit is safe, and raises the session's floor.
func (s *session) finishTx(ctx context.Context, u *unit, tx *txn, committed bool) *failure {
	// A transaction that changed nothing has no position to wait for.
	pos, wrote := tx.conn.Position(), tx.wrote && committed && tx.conn.PositionReported()
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

// releaseConn returns a transaction's connection to the pool and gives back its
// slot.
func (s *session) releaseConn(tx *txn) {
	if tx.conn != nil {
		s.srv.cfg.Pools.Put(tx.conn)
		tx.conn = nil
		tx.releaseSlot()
	}
}

// abortTx ends an open transaction by closing its connection, which rolls it back.
func (s *session) abortTx() {
	if s.tx == nil {
		return
	}
	if s.tx.conn != nil {
		s.tx.conn.CloseOnPut()
		s.releaseConn(s.tx)
	}
	s.tx = nil
	clear(s.portals)
}

// runInTx runs a unit in the open transaction. An implicit transaction that has not
// executed anything on its replica ends there, and a unit that writes then starts
// anew on the primary.
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

// recoverToSavepoint clears the failed state when the unit is a ROLLBACK TO that the
// target can run, and reports whether it is.
func (s *session) recoverToSavepoint(u *unit) bool {
	if s.tx.conn == nil || s.tx.unsynced || !u.rollsBackToSavepoint || u.executions != 1 {
		return false
	}
	s.tx.failed = false
	return true
}

// continueTx runs a unit on the connection of the open transaction.
func (s *session) continueTx(ctx context.Context, u *unit, tx *txn) *Error {
	if !s.setRunning(ctx, tx.conn) {
		return refusedError("run", codeCancelled, "cancelled on request before it ran", nil)
	}
	deadline, _ := ctx.Deadline()
	tx.conn.SetDeadline(deadline)
	if u.taints {
		tx.conn.CloseOnPut()
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
	if tx.conn.Outstanding() > 0 || u.end == endFlush || tx.conn.Status() != conns.StatusIdle {
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
