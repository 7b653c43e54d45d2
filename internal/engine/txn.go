package engine

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// rollbackTimeout bounds the rollback of a transaction at a database.
const rollbackTimeout = time.Second

// txn is an open transaction.
type txn struct {
	// readOnly is set when the caller began a read-only transaction.
	readOnly bool
	// beganAt is when the transaction began, by Config.Clock.
	beganAt time.Time
	// lastUsed is when the last statement was served.
	lastUsed time.Time
	// conn is nil before the first statement and after a failure.
	conn *dbpool.Conn
	// hasRun is set when a statement has run.
	hasRun bool
	// atPrimary is set when the transaction was started at the primary.
	atPrimary bool
	// confirmed is set when the database is known to have been the primary, as the
	// transaction's reads require.
	confirmed bool
	// hasWritten is set when a write has run.
	hasWritten bool
	failed     bool
}

func (t *txn) state() dbop.State {
	if t.failed {
		return dbop.InError
	}
	return dbop.Open
}

// fail rolls the transaction back at its database, in the background, and marks it
// as failed; the caller still has to end it.
func (t *txn) fail() {
	t.failed = true
	if t.conn != nil {
		conn := t.conn
		t.conn = nil
		go conn.Rollback(time.Now().Add(rollbackTimeout))
	}
}

// failAndClose marks the transaction as failed and closes its connection, which
// rolls it back.
func (t *txn) failAndClose() {
	t.failed = true
	if t.conn != nil {
		t.conn.Release(false)
		t.conn = nil
	}
}

// begin opens a transaction. It starts at a database only with the first
// statement.
func (s *Session) begin(c *call) dbop.Answer {
	if a := s.admit(c); a != nil {
		return *a
	}
	s.tx = &txn{readOnly: c.st.Kind == dbop.BeginRead, beganAt: c.receivedAt, lastUsed: c.start}
	return dbop.Answer{}
}

// abandon drops an open transaction.
func (s *Session) abandon() {
	if s.tx != nil {
		s.tx.fail()
		s.tx = nil
	}
}

// serveInTxn serves a statement while a transaction is open or has failed.
func (s *Session) serveInTxn(c *call) dbop.Answer {
	tx := s.tx
	tx.lastUsed = c.start
	switch {
	case c.st.Kind == dbop.Rollback:
		s.abandon()
		return dbop.Answer{}
	case tx.failed && c.st.Kind == dbop.Commit:
		s.tx = nil
		return dbop.Answer{Code: dbop.Aborted, Text: "the transaction had failed and is rolled back"}
	case tx.failed:
		return dbop.Answer{Code: dbop.Malformed, Text: "the transaction has failed; end it"}
	}
	a := s.serveInOpenTxn(c, tx)
	if s.tx == tx {
		tx.lastUsed = time.Now()
	}
	return a
}

// serveInOpenTxn serves a statement in a transaction that has not failed.
func (s *Session) serveInOpenTxn(c *call, tx *txn) dbop.Answer {
	switch c.st.Kind {
	case dbop.Set, dbop.Prepare, dbop.Deallocate:
		a := s.serveLocally(&c.st)
		if a.Code != dbop.OK {
			tx.fail()
		}
		return a
	case dbop.Commit:
		return s.commit(c, tx)
	case dbop.Read, dbop.Write, dbop.Execute:
	default:
		tx.fail()
		return dbop.Answer{Code: dbop.Malformed, Text: "the statement is not known here"}
	}
	writes, ok := s.bind(&c.st)
	if !ok {
		tx.fail()
		return dbop.Answer{Code: dbop.NoStatement, Text: "no statement of this name was prepared"}
	}
	return s.runStatement(c, tx, writes)
}

// runStatement runs a read or write in the transaction. Until a first statement
// has run, a refused one is retried in a new transaction at the database.
func (s *Session) runStatement(c *call, tx *txn, writes bool) dbop.Answer {
	var b backoff
	for c.canAttempt() {
		if tx.conn == nil && !s.startAtDatabase(c, tx) {
			break
		}
		a, sent, ok := s.execute(c, tx, writes)
		if !ok {
			return s.failConnLost(c, tx)
		}
		if a.Code == dbop.OK && !writes && !s.confirmTxn(c, tx) {
			if tx.hasRun {
				tx.fail()
				return dbop.Answer{Code: dbop.Aborted, Text: "the database may no longer be the primary; the transaction is rolled back"}
			}
			s.restartTxn(c, tx, dbop.ReadOnly)
			b.wait(c)
			continue
		}
		if a.Code == dbop.OK {
			tx.hasRun = true
			tx.hasWritten = tx.hasWritten || writes
			if !tx.readOnly || s.strict() {
				s.e.cfg.Primaries.Confirm(tx.conn.Group, tx.conn.Target, a.Position, sent)
			}
			return a
		}
		if !s.shouldRetryInTxn(c, tx, &a) {
			tx.fail()
			return a
		}
		b.wait(c)
	}
	a := c.refusal()
	tx.fail()
	return a
}

// execute runs one statement on the transaction's connection. ok is false when the
// database did not answer.
func (s *Session) execute(c *call, tx *txn, writes bool) (a dbop.Answer, sent time.Time, ok bool) {
	sts := s.setupStatements(tx.conn, &c.st)
	if len(sts) > 0 {
		answers, err := tx.conn.Do(s.probeDeadline(c), sts...)
		if err != nil {
			return a, sent, false
		}
		if code, ok := allOK(answers); !ok {
			return dbop.Answer{Code: code, State: answers[len(answers)-1].State}, sent, true
		}
	}
	if s.e.closed(tx.conn) {
		return s.e.evacuatedAbort(), sent, true
	}
	c.offered = true
	sent = s.e.cfg.Clock()
	st := c.st
	if !tx.hasRun && !writes {
		// Later statements are not queued: others may wait for the locks of this
		// transaction.
		st.Scheduling = c.scheduling
	}
	answers, err := tx.conn.Do(c.deadline, st)
	if err != nil {
		return a, sent, false
	}
	return answers[0], sent, true
}

// shouldRetryInTxn reports whether a refused statement is retried: in the same
// transaction if that is still open at the database, or in a new one if no
// statement has run yet. For a new one, it rolls back the transaction at the
// database and gives its connection back.
func (s *Session) shouldRetryInTxn(c *call, tx *txn, a *dbop.Answer) bool {
	if !a.Code.NotRun() {
		return false
	}
	id := tx.conn.Target
	if a.State == dbop.Open && a.Code == dbop.Busy {
		s.recordFailure(c, id, a.Code)
		return true
	}
	if a.Code == dbop.ReadOnly && !tx.readOnly {
		s.e.cfg.Primaries.Depose(tx.conn.Group, id)
	}
	if tx.hasRun || a.Code == dbop.Crowded {
		return false
	}
	s.restartTxn(c, tx, a.Code)
	return true
}

// restartTxn rolls back a transaction of which no statement has run at its database
// and gives its connection back. The next attempt starts it again.
func (s *Session) restartTxn(c *call, tx *txn, why dbop.Code) {
	conn := tx.conn
	tx.conn = nil
	s.recordFailure(c, conn.Target, why)
	conn.Rollback(time.Now().Add(rollbackTimeout))
}

// confirmTxn reports whether reads of the transaction at the primary see what the
// route requires: the commits acknowledged before the transaction began, less the
// accepted age. Reads of read-only transactions elsewhere carry a floor instead.
func (s *Session) confirmTxn(c *call, tx *txn) bool {
	if tx.confirmed || !tx.atPrimary {
		return true
	}
	tx.confirmed = s.e.cfg.Primaries.AwaitConfirmation(c.deadline, tx.conn.Group, tx.conn.Target, s.requiredSince(tx))
	return tx.confirmed
}

// requiredSince returns the time before which all acknowledged commits have to be
// seen by the transaction's reads. The session's own commits are always among them.
func (s *Session) requiredSince(tx *txn) time.Time {
	if s.strict() {
		return tx.beganAt
	}
	since := tx.beganAt.Add(-s.auth.MaxAge)
	if own := s.commits.Last(s.auth.Group).At; own.After(since) {
		return own
	}
	return since
}

// failConnLost fails the transaction after a statement before the commit got no
// answer, and returns the answer to the caller. The outcome is known: closing the
// connection rolls the transaction back.
func (s *Session) failConnLost(c *call, tx *txn) dbop.Answer {
	c.mayHaveRun = true
	if !tx.readOnly || s.strict() {
		s.e.cfg.Primaries.ReportUnanswered(tx.conn.Group, tx.conn.Target)
	}
	tx.failAndClose()
	return dbop.Answer{Code: dbop.Aborted, Text: "the connection of the transaction was lost and it is rolled back"}
}

// startAtDatabase starts the transaction at a database. It reports whether it
// succeeded before the deadline.
func (s *Session) startAtDatabase(c *call, tx *txn) bool {
	if !tx.readOnly || s.strict() {
		return s.startAtPrimary(c, tx)
	}
	var b backoff
	tried := map[ident.Target]bool{}
	for c.canAttempt() && s.canPlaceRead(c) {
		floor, ok := s.floor(&call{receivedAt: tx.beganAt, deadline: c.deadline})
		if !ok {
			return s.startAtPrimary(c, tx)
		}
		m, ok := s.chooseReadTarget(tried)
		if !ok {
			if c.lastCode == dbop.Crowded {
				return false
			}
			clear(tried)
			b.wait(c)
			continue
		}
		tried[m.ID] = true
		conn, why := s.beginAt(c, m, dbop.Statement{Kind: dbop.BeginRead, Floor: floor})
		if conn != nil {
			tx.conn, tx.atPrimary = conn, false
			return true
		}
		s.recordFailure(c, m.ID, why)
	}
	return false
}

// startAtPrimary starts the transaction at the primary.
func (s *Session) startAtPrimary(c *call, tx *txn) bool {
	conn, ok := s.beginAtPrimary(c)
	tx.conn, tx.atPrimary = conn, ok
	if ok {
		s.e.cfg.Primaries.RequestConfirmation(conn.Group, conn.Target, s.requiredSince(tx))
	}
	return ok
}

// commit commits the transaction.
func (s *Session) commit(c *call, tx *txn) dbop.Answer {
	if tx.conn == nil && !s.startAtDatabase(c, tx) {
		s.tx = nil
		return c.refusal()
	}
	conn := tx.conn
	tx.conn, s.tx = nil, nil
	var b backoff
	for {
		if s.e.closed(conn) {
			conn.Rollback(time.Now().Add(rollbackTimeout))
			return s.e.evacuatedAbort()
		}
		c.offered = true
		sent := s.e.cfg.Clock()
		answers, err := conn.Do(c.deadline, c.st)
		if err != nil {
			c.mayHaveRun = true
			s.discardUnanswered(conn)
			if !tx.hasWritten {
				return dbop.Answer{Code: dbop.Aborted, Text: "the connection of the transaction was lost; it had written nothing"}
			}
			s.e.cfg.Primaries.ReportStalledWrite(conn.Group, conn.Target)
			return unknownOutcome()
		}
		a := answers[0]
		switch {
		case a.Code == dbop.OK:
			if tx.hasWritten {
				s.recordCommit(conn.Group, conn.Target, a.Position, sent)
			}
			conn.Release(true)
			return a
		case a.Code == dbop.Busy && a.State == dbop.Open && c.canAttempt():
			s.recordFailure(c, conn.Target, a.Code)
			b.wait(c)
			continue
		case a.Code == dbop.ReadOnly && !tx.readOnly:
			s.e.cfg.Primaries.Depose(conn.Group, conn.Target)
		}
		conn.Rollback(time.Now().Add(rollbackTimeout))
		return a
	}
}
