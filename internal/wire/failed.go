package wire

import (
	"context"
	"maps"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/conns"
	"chervilspan.example/pkg/retry"
)

// handleStateRefusal ends an open transaction when the target refused a statement
// because of its own state, and returns the error for the caller.
func (s *session) handleStateRefusal(tx *txn, a answer) *Error {
	if a.refused == nil {
		return nil
	}
	switch a.refused.Code {
	case targetSuperseded:
		s.srv.cfg.Control.Suspect(s.auth.Group)
		s.closeRolledBack(tx)
		return lostError("run", "the primary was replaced and the transaction is rolled back", retry.NotRun, a.refused)
	case targetBehind, targetStale, targetRebuilding:
		s.closeRolledBack(tx)
		return lostError("run", "the replica of the transaction can't serve it any more", retry.NotRun, a.refused)
	}
	return nil
}

// closeRolledBack closes the connection of a transaction that the target rolled
// back. An explicit transaction that the target has not ended stays open, in the
// failed state, until the caller ends it.
func (s *session) closeRolledBack(tx *txn) {
	over := !tx.explicit || tx.conn.Status() == conns.StatusIdle
	tx.conn.CloseOnPut()
	s.releaseConn(tx)
	if over {
		s.tx = nil
		clear(s.portals)
	}
}

// handleConnLoss releases the failed connection of the open transaction. The
// transaction stays open, in the failed state, unless it is implicit or the unit
// was to end it.
func (s *session) handleConnLoss(u *unit, f *failure) *Error {
	tx := s.tx
	tx.conn.CloseOnPut()
	s.releaseConn(tx)
	if u.commits || u.rollsBack || !tx.explicit {
		s.tx = nil
		clear(s.portals)
	}
	return f.err
}

// rollBackUnchecked rolls back an open transaction because this VM can't check the
// session's API key at present. It reports whether the unit is the caller's own
// ROLLBACK, which is still served.
func (s *session) rollBackUnchecked(u *unit) bool {
	if s.tx == nil {
		return false
	}
	if !s.tx.explicit {
		s.abortTx()
		return false
	}
	if s.tx.conn != nil {
		s.tx.conn.CloseOnPut()
		s.releaseConn(s.tx)
	}
	s.tx.failed = true
	return u.rollsBack && u.executions == 0 && !u.begins
}

// runInFailedTx serves a unit in a transaction that can only be rolled back.
func (s *session) runInFailedTx(ctx context.Context, u *unit) *Error {
	if u.isEmpty() {
		return nil
	}
	if !(u.commits || u.rollsBack) || u.executions > 0 || u.begins {
		return refusedError("run", codeFailedTx, "the transaction has failed; roll it back", nil)
	}
	tx := s.tx
	if tx.conn != nil {
		deadline, _ := ctx.Deadline()
		tx.conn.SetDeadline(deadline)
		if _, err := tx.conn.Exec("ROLLBACK"); err != nil {
			tx.conn.CloseOnPut()
		}
		s.releaseConn(tx)
	}
	s.tx = nil
	s.idempotencyKey = ""
	s.answerWithTag(u, "ROLLBACK")
	clear(s.portals)
	return nil
}

// answerWithTag answers a unit that no target ran, as if its statement had
// returned no rows and the given command tag.
func (s *session) answerWithTag(u *unit, tag string) {
	done := &pgproto3.CommandComplete{CommandTag: []byte(tag)}
	if u.simpleQuery != nil {
		s.out.add(done)
		return
	}
	for _, i := range u.items {
		switch m := i.msg.(type) {
		case *pgproto3.Parse:
			s.out.add(&pgproto3.ParseComplete{})
			u.answeredParses++
		case *pgproto3.Bind:
			s.out.add(&pgproto3.BindComplete{})
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				s.out.add(&pgproto3.ParameterDescription{ParameterOIDs: i.stmt.parameterOIDs})
			}
			s.out.add(&pgproto3.NoData{})
		case *pgproto3.Execute:
			s.out.add(done)
		default:
			s.out.add(&pgproto3.CloseComplete{})
		}
	}
}

// resync ends the skipping of extended messages after an error. A target that was
// sent extended messages without Sync skips messages as well, so it is sent one.
func (s *session) resync() error {
	s.skipping = false
	if s.tx == nil || s.tx.conn == nil || !s.tx.unsynced {
		return nil
	}
	ctx, stop := s.unitContext(time.Now().Add(s.requestTimeout()))
	defer stop()
	if e := s.syncTarget(ctx); e != nil {
		s.answerError(e)
		s.skipping = false
	}
	return s.out.err
}

// syncTarget sends Sync to the target of the open transaction, which ends an
// implicit transaction there.
func (s *session) syncTarget(ctx context.Context) *Error {
	u := newUnit()
	u.end = endSync
	portals := maps.Clone(s.portals)
	e := s.continueTx(ctx, u, s.tx)
	s.portals = portals // the next unit has resolved its portals already
	return e
}
