package engine

import (
	"fmt"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

const (
	// probeTimeout bounds the wait for the answer to a statement that takes no
	// slot, such as the start of a transaction.
	probeTimeout = dbpool.SetupTimeout
	// initialBackoff and maxBackoff bound the wait between two attempts.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 80 * time.Millisecond
	// busyRetryAfter is the retry delay named in a refusal when no database can
	// serve the statement.
	busyRetryAfter = 300 * time.Millisecond
	// minAttemptTime is the least remaining time in which an attempt is started.
	minAttemptTime = 15 * time.Millisecond
)

// backoff waits between attempts, doubling the wait each time up to maxBackoff.
type backoff struct{ next time.Duration }

func (b *backoff) wait(c *call) {
	b.next = min(max(2*b.next, initialBackoff), maxBackoff)
	time.Sleep(min(b.next, max(c.remaining(), 0)))
}

// canAttempt reports whether there is time for another attempt. There is none for a
// statement that no database accepts as it is.
func (c *call) canAttempt() bool { return c.remaining() > minAttemptTime && !c.lastCode.Rejected() }

// recordFailure records why an attempt failed, in the call, the metrics and the
// log.
func (s *Session) recordFailure(c *call, target ident.Target, why dbop.Code) {
	c.lastCode = why
	s.e.recordRetry(s, c, target, why)
}

// refusal returns the answer to a statement for which all attempts failed: a
// timeout if a database may have run it, otherwise busy.
func (c *call) refusal() dbop.Answer {
	if c.mayHaveRun {
		return dbop.Answer{Code: dbop.Timeout, Text: "the database did not answer in time"}
	}
	switch {
	case c.lastCode.Rejected():
		return dbop.Answer{Code: c.lastCode, Text: "not run: the statement, a variable or the prepared statement can't be sent to a database"}
	case c.unplaced != "":
		return dbop.Answer{Code: dbop.Busy, Text: fmt.Sprintf("not run: %s; retry after %d ms", c.unplaced, unplacedRetryAfter.Milliseconds())}
	case c.primaryExpected > 0:
		return c.noPrimaryRefusal()
	case c.lastCode == dbop.Crowded:
		return c.crowdedRefusal()
	}
	return dbop.Answer{Code: dbop.Busy, Text: fmt.Sprintf("not run: no database could serve in time (%s); retry after %d ms", c.lastCode, busyRetryAfter.Milliseconds())}
}

// crowdedRefusal returns the answer to a statement whose turn in the queue of a
// database would not come in time.
func (c *call) crowdedRefusal() dbop.Answer {
	if c.mayHaveRun {
		return dbop.Answer{Code: dbop.Timeout, Text: "the database did not answer in time"}
	}
	return dbop.Answer{Code: dbop.Busy, Text: fmt.Sprintf("not run: too many statements wait for the database; retry after %d ms", c.retryAfter().Milliseconds())}
}

// beginAtPrimary returns a connection to the primary on which the engine opened a
// read-write transaction, which proves that it is still the primary. ok is false
// when no primary accepted one in time.
func (s *Session) beginAtPrimary(c *call) (conn *dbpool.Conn, ok bool) {
	var b backoff
	for c.canAttempt() {
		m, found := s.primaryFor(c)
		if !found {
			return nil, false
		}
		conn, why := s.beginAt(c, &m, dbop.Statement{Kind: dbop.Begin})
		if conn != nil {
			return conn, true
		}
		s.recordFailure(c, m.ID, why)
		if why == dbop.Crowded {
			return nil, false // only the primary could run it
		}
		b.wait(c)
	}
	return nil, false
}

// beginAt returns a connection to a database on which the session's settings are
// applied and a transaction is open, or nil and the reason for the failure.
func (s *Session) beginAt(c *call, m *roster.Member, begin dbop.Statement) (*dbpool.Conn, dbop.Code) {
	conn, err := s.getConn(c, c.deadline, m)
	if err != nil {
		return nil, s.handleGetError(m, err)
	}
	sent := s.e.cfg.Clock()
	sts := append(s.setupStatements(conn, &c.st), begin)
	answers, err := conn.Do(s.probeDeadline(c), sts...)
	if err != nil {
		conn.Release(false)
		s.handleNoAnswer(m, conn, begin.Kind == dbop.Begin)
		return nil, dbop.Unknown
	}
	if code, ok := allOK(answers); !ok {
		s.handleRefusal(m, conn, code)
		return nil, code
	}
	if begin.Kind == dbop.Begin {
		s.e.cfg.Primaries.Confirm(m.Group, m.ID, answers[len(answers)-1].Position, sent)
	}
	return conn, dbop.OK
}

// probeDeadline returns the deadline of a statement that takes no slot.
func (s *Session) probeDeadline(c *call) time.Time {
	deadline := time.Now().Add(probeTimeout)
	if c.deadline.Before(deadline) {
		return c.deadline
	}
	return deadline
}

// handleNoAnswer handles a database that did not answer on an open connection. It
// closes the other idle connections to it, which may be broken too. asPrimary
// tells that the database was asked as the primary of its group.
func (s *Session) handleNoAnswer(m *roster.Member, conn *dbpool.Conn, asPrimary bool) {
	s.e.cfg.Pools.CloseIdleIfSilent(m, conn.SentAt())
	if asPrimary {
		s.e.cfg.Primaries.ReportUnanswered(m.Group, m.ID)
	}
}

// handleRefusal records what a refusal by a database says about it and releases
// the connection. A failed start may leave a transaction open; Release closes
// such a connection.
func (s *Session) handleRefusal(m *roster.Member, conn *dbpool.Conn, code dbop.Code) {
	switch code {
	case dbop.ReadOnly:
		s.e.cfg.Primaries.Depose(m.Group, m.ID)
	case dbop.Lagging:
		s.e.cfg.Roster.RecordLag(m.Group, m.ID, time.Now())
	}
	conn.Release(true)
}

// handleGetError records a failure to get a connection and returns its code.
func (s *Session) handleGetError(m *roster.Member, err error) dbop.Code {
	e, ok := err.(*dbpool.Error)
	if !ok {
		return dbop.Unknown
	}
	switch e.Kind {
	case dbpool.KindRefused:
		if e.Code.Rejected() {
			return dbop.Busy // the start of the connection was rejected, not the statement
		}
		return e.Code
	case dbpool.KindUnreachable:
		s.e.cfg.Primaries.ReportUnanswered(m.Group, m.ID)
		return dbop.Unknown
	case dbpool.KindStartTimeout:
		return dbop.Busy
	}
	return dbop.TooMany
}

// readPrimary runs a read that must see every acknowledged commit.
func (s *Session) readPrimary(c *call) dbop.Answer {
	var b backoff
	for c.canAttempt() {
		conn, ok := s.beginAtPrimary(c)
		if !ok {
			break
		}
		if s.e.closed(conn) {
			conn.Rollback(c.deadline)
			b.wait(c)
			continue
		}
		c.offered = true
		s.e.cfg.Primaries.RequestConfirmation(conn.Group, conn.Target, c.receivedAt)
		st := c.st
		st.Scheduling = c.scheduling
		answers, err := conn.Do(c.deadline, st, dbop.Statement{Kind: dbop.Rollback})
		if err != nil && len(answers) == 0 {
			c.mayHaveRun = true
			s.discardUnanswered(conn)
			s.recordFailure(c, conn.Target, dbop.Unknown)
			b.wait(c)
			continue
		}
		a := answers[0]
		switch {
		case err != nil:
			conn.Release(false)
		case a.Code == dbop.Crowded:
			conn.Rollback(c.deadline)
			return c.crowdedRefusal()
		case a.Code.Rejected():
			conn.Rollback(c.deadline)
		default:
			conn.Release(true)
		}
		if a.Code == dbop.OK && !s.e.cfg.Primaries.AwaitConfirmation(c.deadline, conn.Group, conn.Target, c.receivedAt) {
			// A newer primary may have acknowledged commits that the read missed.
			s.recordFailure(c, conn.Target, dbop.ReadOnly)
			b.wait(c)
			continue
		}
		if !s.shouldRetry(c, conn, a.Code) {
			return a
		}
		b.wait(c)
	}
	return c.refusal()
}

// discardUnanswered closes a connection with an answer outstanding.
func (s *Session) discardUnanswered(conn *dbpool.Conn) {
	conn.Release(false)
	if m, ok := s.e.cfg.Roster.Member(conn.Group, conn.Target); ok {
		s.handleNoAnswer(&m, conn, false)
	}
}

// shouldRetry reports whether a read, or a statement that did not run, is retried
// after an answer. A failed read is retried only if no earlier attempt may have
// run. It also records what the answer tells about the database.
func (s *Session) shouldRetry(c *call, conn *dbpool.Conn, code dbop.Code) bool {
	return s.retriesAfter(c, conn.Group, conn.Target, code)
}

// retriesAfter is shouldRetry for the answer of a database.
func (s *Session) retriesAfter(c *call, g ident.Group, id ident.Target, code dbop.Code) bool {
	switch code {
	case dbop.OK, dbop.TooLarge, dbop.Malformed, dbop.Timeout:
		return false
	case dbop.Failed:
		if c.mayHaveRun {
			return false
		}
		c.mayHaveRun = true
	case dbop.ReadOnly:
		s.e.cfg.Primaries.Depose(g, id)
	case dbop.Lagging:
		s.e.cfg.Roster.RecordLag(g, id, time.Now())
	}
	s.recordFailure(c, id, code)
	return true
}

// readAny runs a read on any database that has applied the floor.
func (s *Session) readAny(c *call) dbop.Answer {
	var b backoff
	tried := map[ident.Target]bool{}
	for c.canAttempt() && s.canPlaceRead(c) {
		floor, ok := s.floor(c)
		if !ok {
			// Without a confirmed position, only the primary is known to have the
			// required entries.
			return s.readPrimary(c)
		}
		m, ok := s.chooseReadTarget(tried)
		if !ok {
			if c.lastCode == dbop.Crowded {
				return c.crowdedRefusal()
			}
			clear(tried)
			b.wait(c)
			continue
		}
		tried[m.ID] = true
		a, done := s.readAt(c, m, floor)
		if done {
			return a
		}
	}
	return c.refusal()
}

// readAt runs a read at one database. done is false when another one may be
// tried.
func (s *Session) readAt(c *call, m *roster.Member, floor ident.Position) (a dbop.Answer, done bool) {
	if err := s.checkOverload(c, m); err != nil {
		s.recordFailure(c, m.ID, s.handleGetError(m, err))
		return a, false
	}
	if a, done, ok := s.readRemotely(c, m, floor); ok {
		return a, done
	}
	conn, err := s.e.cfg.Pools.GetFor(s.connDeadline(c), m, s.request(c))
	if err != nil {
		s.recordFailure(c, m.ID, s.handleGetError(m, err))
		return a, false
	}
	if sts := s.setupStatements(conn, &c.st); len(sts) > 0 {
		answers, err := conn.Do(s.probeDeadline(c), sts...)
		if err != nil {
			s.discardUnanswered(conn)
			s.recordFailure(c, m.ID, dbop.Unknown)
			return a, false
		}
		if code, ok := allOK(answers); !ok {
			conn.Release(code.Rejected())
			s.recordFailure(c, m.ID, code)
			return a, false
		}
	}
	if s.e.closed(conn) {
		conn.Release(true)
		return a, false
	}
	c.offered = true
	st := c.st
	st.Floor, st.Scheduling = floor, c.scheduling
	answers, err := conn.Do(s.attemptDeadline(c), st)
	if err != nil {
		c.mayHaveRun = true
		s.discardUnanswered(conn)
		s.recordFailure(c, m.ID, dbop.Unknown)
		return a, false
	}
	conn.Release(true)
	return answers[0], !s.shouldRetry(c, conn, answers[0].Code)
}

// readRemotely is readAt for a database whose connections another VM lends, which then
// runs the read as a whole. ok is false when a connection has to be used.
func (s *Session) readRemotely(c *call, m *roster.Member, floor ident.Position) (a dbop.Answer, done, ok bool) {
	if s.e.zoneStatus(m.Zone) == place.Closed {
		return a, false, true
	}
	st := c.st
	st.Floor, st.Scheduling = floor, c.scheduling
	r := dbpool.Read{Setup: s.setup(&c.st), Statement: st, ConnDeadline: s.connDeadline(c), Limit: time.Until(s.attemptDeadline(c)), Deadline: c.deadline}
	res, ok := s.e.cfg.Pools.ReadRemotely(m, s.request(c), &r)
	c.mayHaveRun = c.mayHaveRun || res.MayHaveRun
	switch {
	case !ok:
		return a, false, false
	case res.Err != nil:
		s.recordFailure(c, m.ID, s.handleGetError(m, res.Err))
	case res.Setup != dbop.OK:
		s.recordFailure(c, m.ID, res.Setup)
	case !res.Answered:
		c.offered = true
		s.recordFailure(c, m.ID, dbop.Unknown)
	default:
		c.offered = true
		return res.Answer, !s.retriesAfter(c, m.Group, m.ID, res.Answer.Code), true
	}
	return a, false, true
}

// connDeadline returns the deadline of the wait for a connection to one database
// of several. It leaves a quarter of the time for the read.
func (s *Session) connDeadline(c *call) time.Time {
	return c.start.Add(c.deadline.Sub(c.start) * 3 / 4)
}

// attemptDeadline returns the deadline of one attempt of a read, which leaves time
// to ask another database when an answer is lost.
func (s *Session) attemptDeadline(c *call) time.Time {
	const minTimeout = 350 * time.Millisecond
	deadline := time.Now().Add(max(minTimeout, c.remaining()/2))
	if c.deadline.Before(deadline) {
		return c.deadline
	}
	return deadline
}
