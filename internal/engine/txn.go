package engine

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// rollbackTimeout bounds the end of an abandoned transaction at a database.
const rollbackTimeout = time.Second

// txn is an open transaction.
type txn struct {
	// reads tells that the caller will only read.
	reads bool
	// arrived is when the transaction began, by Config.Clock.
	arrived time.Time
	// used is when the last statement was served.
	used time.Time
	// conn is nil before the first statement and after a failure.
	conn *dbpool.Conn
	// ran tells that a statement has run.
	ran bool
	// wrote tells that a write has run.
	wrote  bool
	failed bool
}

func (t *txn) state() dbop.State {
	if t.failed {
		return dbop.InError
	}
	return dbop.Open
}

// fail ends the transaction at its database; the caller still has to end it.
func (t *txn) fail() {
	t.failed = true
	if t.conn != nil {
		conn := t.conn
		t.conn = nil
		go conn.Rollback(time.Now().Add(rollbackTimeout))
	}
}

// lose is fail for a connection that is of no further use; closing it rolls the
// transaction back.
func (t *txn) lose() {
	t.failed = true
	if t.conn != nil {
		t.conn.Release(false)
		t.conn = nil
	}
}

// begin opens a transaction. The database hears of it with the first statement.
func (s *Session) begin(c *call) dbop.Answer {
	if a := s.admit(c); a != nil {
		return *a
	}
	s.tx = &txn{reads: c.st.Kind == dbop.BeginRead, arrived: c.arrived, used: c.start}
	return dbop.Answer{}
}

// abandon drops an open transaction.
func (s *Session) abandon() {
	if s.tx != nil {
		s.tx.fail()
		s.tx = nil
	}
}

// inside serves a statement in an open transaction.
func (s *Session) inside(c *call) dbop.Answer {
	tx := s.tx
	tx.used = c.start
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
	a := s.insideOpen(c, tx)
	if s.tx == tx {
		tx.used = time.Now()
	}
	return a
}

func (s *Session) insideOpen(c *call, tx *txn) dbop.Answer {
	switch c.st.Kind {
	case dbop.Set, dbop.Prepare, dbop.Deallocate:
		return s.local(&c.st)
	case dbop.Commit:
		return s.commit(c, tx)
	case dbop.Read, dbop.Write, dbop.Execute:
	default:
		return dbop.Answer{Code: dbop.Malformed, Text: "the statement is not known here"}
	}
	writes, ok := s.bind(&c.st)
	if !ok {
		tx.fail()
		return dbop.Answer{Code: dbop.NoStatement, Text: "no statement of this name was prepared"}
	}
	return s.statement(c, tx, writes)
}

// statement runs a read or write in the transaction. As long as none has run,
// a refused one is tried again in a new transaction at the database.
func (s *Session) statement(c *call, tx *txn, writes bool) dbop.Answer {
	var p pauses
	for c.again() {
		if tx.conn == nil && !s.attach(c, tx) {
			break
		}
		a, sent, ok := s.send(c, tx, writes)
		if !ok {
			return s.lost(c, tx)
		}
		if a.Code == dbop.OK {
			tx.ran = true
			tx.wrote = tx.wrote || writes
			if !tx.reads || s.strict() {
				s.e.cfg.Leads.Confirm(tx.conn.Group, tx.conn.Target, a.Position, sent)
			}
			return a
		}
		if !s.againInside(c, tx, &a) {
			tx.fail()
			return a
		}
		p.wait(c)
	}
	a := c.refusal()
	tx.fail()
	return a
}

// send runs one statement on the transaction's connection. ok is false when its
// answer did not come.
func (s *Session) send(c *call, tx *txn, writes bool) (a dbop.Answer, sent time.Time, ok bool) {
	sts := s.setup(tx.conn, &c.st)
	if len(sts) > 0 {
		answers, err := tx.conn.Do(s.probeBy(c), sts...)
		if err != nil {
			return a, sent, false
		}
		if code, ok := allOK(answers); !ok {
			return dbop.Answer{Code: code, State: answers[len(answers)-1].State}, sent, true
		}
	}
	c.offered = true
	sent = s.e.cfg.Clock()
	st := c.st
	if !tx.ran && !writes {
		st.Scheduling = c.turn // others may wait for one that has run statements
	}
	answers, err := tx.conn.Do(c.deadline, st)
	if err != nil {
		return a, sent, false
	}
	return answers[0], sent, true
}

// againInside decides whether a statement that was refused is tried again: in
// the same transaction while it is open, or in a new one while none has run.
func (s *Session) againInside(c *call, tx *txn, a *dbop.Answer) bool {
	if !a.Code.NotRun() {
		return false
	}
	id := tx.conn.Target
	if a.State == dbop.Open && a.Code == dbop.Busy {
		s.retry(c, id, a.Code)
		return true
	}
	if a.Code == dbop.ReadOnly && !tx.reads {
		s.e.cfg.Leads.Depose(tx.conn.Group, id)
	}
	if tx.ran || a.Code == dbop.Crowded {
		return false
	}
	s.retry(c, id, a.Code)
	conn := tx.conn
	tx.conn = nil
	conn.Rollback(time.Now().Add(rollbackTimeout))
	return true
}

// lost is the answer to a statement before the commit whose answer did not
// come: closing the connection rolls the transaction back.
func (s *Session) lost(c *call, tx *txn) dbop.Answer {
	c.ran = true
	if !tx.reads || s.strict() {
		s.e.cfg.Leads.ReportUnanswered(tx.conn.Group, tx.conn.Target)
	}
	tx.lose()
	return dbop.Answer{Code: dbop.Aborted, Text: "the connection of the transaction was lost and it is rolled back"}
}

// attach gives the transaction a connection on which it has begun.
func (s *Session) attach(c *call, tx *txn) bool {
	if !tx.reads || s.strict() {
		conn, ok := s.primary(c)
		tx.conn = conn
		return ok
	}
	var p pauses
	tried := map[ident.Target]bool{}
	for c.again() {
		floor, ok := s.floor(&call{arrived: tx.arrived, deadline: c.deadline})
		if !ok {
			conn, ok := s.primary(c)
			tx.conn = conn
			return ok
		}
		m, ok := s.choose(tried)
		if !ok {
			clear(tried)
			p.wait(c)
			continue
		}
		tried[m.ID] = true
		conn, why := s.begun(c, m, dbop.Statement{Kind: dbop.BeginRead, Floor: floor})
		if conn != nil {
			tx.conn = conn
			return true
		}
		s.retry(c, m.ID, why)
	}
	return false
}

// commit ends the transaction.
func (s *Session) commit(c *call, tx *txn) dbop.Answer {
	if tx.conn == nil && !s.attach(c, tx) {
		s.tx = nil
		return c.refusal()
	}
	conn := tx.conn
	tx.conn, s.tx = nil, nil
	c.offered = true
	var p pauses
	for {
		sent := s.e.cfg.Clock()
		answers, err := conn.Do(c.deadline, c.st)
		if err != nil {
			c.ran = true
			s.dropSilent(conn)
			if !tx.wrote {
				return dbop.Answer{Code: dbop.Aborted, Text: "the connection of the transaction was lost; it had written nothing"}
			}
			s.e.cfg.Leads.ReportStalledWrite(conn.Group, conn.Target)
			return unknown()
		}
		a := answers[0]
		switch {
		case a.Code == dbop.OK:
			if tx.wrote {
				s.wrote(conn.Group, conn.Target, a.Position, sent)
			}
			conn.Release(true)
			return a
		case a.Code == dbop.Busy && a.State == dbop.Open && c.again():
			s.retry(c, conn.Target, a.Code)
			p.wait(c)
			continue
		case a.Code == dbop.ReadOnly && !tx.reads:
			s.e.cfg.Leads.Depose(conn.Group, conn.Target)
		}
		conn.Rollback(time.Now().Add(rollbackTimeout))
		return a
	}
}
