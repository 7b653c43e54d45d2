package wire

import (
	"context"
	"maps"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/conns"
	"chervilspan.example/pkg/retry"
)

// refusedInside says what a refusal by the state of the target means for an
// open transaction.
func (s *session) refusedInside(tx *txn, a answer) *Error {
	if a.refused == nil {
		return nil
	}
	switch a.refused.Code {
	case targetSuperseded:
		s.srv.cfg.Control.Suspect(s.grant.Group)
		s.endFailed(tx)
		return lost("run", "the primary was replaced and the transaction is rolled back", retry.NotRun, a.refused)
	case targetBehind, targetTooOld, targetRebuild:
		s.endFailed(tx)
		return lost("run", "the replica of the transaction can't serve it any more", retry.NotRun, a.refused)
	}
	return nil
}

// endFailed closes the connection of a transaction that the target rolled back.
// Unless the target has ended it, the caller still has to.
func (s *session) endFailed(tx *txn) {
	over := !tx.explicit || tx.conn.Status() == conns.StatusIdle
	tx.conn.CloseOnPut()
	s.give(tx)
	if over {
		s.tx = nil
		clear(s.portals)
	}
}

// loseTx takes note that the connection of the transaction failed.
func (s *session) loseTx(u *unit, m *miss) *Error {
	tx := s.tx
	tx.conn.CloseOnPut()
	s.give(tx)
	if u.commits || u.rollback || !tx.explicit {
		s.tx = nil
		clear(s.portals)
	}
	return m.err
}

// rollBackUnder rolls an open transaction back because the key can't be checked
// now. It reports whether the unit is the caller's own rollback, which may go on.
func (s *session) rollBackUnder(u *unit) bool {
	if s.tx == nil {
		return false
	}
	if !s.tx.explicit {
		s.abandon()
		return false
	}
	if s.tx.conn != nil {
		s.tx.conn.CloseOnPut()
		s.give(s.tx)
	}
	s.tx.failed = true
	return u.rollback && u.executes == 0 && !u.begins
}

// insideFailed serves a transaction that can only be rolled back.
func (s *session) insideFailed(ctx context.Context, u *unit) *Error {
	if u.empty() {
		return nil
	}
	if !(u.commits || u.rollback) || u.executes > 0 || u.begins {
		return refuse("run", codeFailedTx, "the transaction has failed; roll it back", nil)
	}
	tx := s.tx
	if tx.conn != nil {
		deadline, _ := ctx.Deadline()
		tx.conn.SetDeadline(deadline)
		if _, err := tx.conn.Exec("ROLLBACK"); err != nil {
			tx.conn.CloseOnPut()
		}
		s.give(tx)
	}
	s.tx = nil
	s.key = ""
	s.answerWithout(u, "ROLLBACK")
	clear(s.portals)
	return nil
}

// answerWithout answers a unit that no target ran, as a statement that returns
// no rows and has the tag.
func (s *session) answerWithout(u *unit, tag string) {
	done := &pgproto3.CommandComplete{CommandTag: []byte(tag)}
	if u.simple != nil {
		s.out.add(done)
		return
	}
	for _, i := range u.items {
		switch m := i.msg.(type) {
		case *pgproto3.Parse:
			s.out.add(&pgproto3.ParseComplete{})
			u.parsed++
		case *pgproto3.Bind:
			s.out.add(&pgproto3.BindComplete{})
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				s.out.add(&pgproto3.ParameterDescription{ParameterOIDs: i.stmt.oids})
			}
			s.out.add(&pgproto3.NoData{})
		case *pgproto3.Execute:
			s.out.add(done)
		default:
			s.out.add(&pgproto3.CloseComplete{})
		}
	}
}

// resync ends a failed run of extended messages at Sync. The target skips
// everything until then as well.
func (s *session) resync() error {
	s.skipping = false
	if s.tx == nil || s.tx.conn == nil || !s.tx.unsynced {
		return nil
	}
	ctx, stop := s.startUnit(time.Now().Add(s.deadline()))
	defer stop()
	if e := s.leave(ctx); e != nil {
		s.fail(e)
		s.skipping = false
	}
	return s.out.err
}

// leave ends a run of extended messages at the target.
func (s *session) leave(ctx context.Context) *Error {
	u := newUnit()
	u.end = endSync
	portals := maps.Clone(s.portals)
	e := s.continueTx(ctx, u, s.tx)
	s.portals = portals // the unit that waits has resolved its portals already
	return e
}
