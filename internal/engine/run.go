package engine

import (
	"fmt"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

const (
	// probeTimeout bounds the answer to a statement that takes no slot, such as
	// the start of a transaction. It is above a round trip between regions.
	probeTimeout = 400 * time.Millisecond
	// firstPause and maxPause bound the wait between two attempts.
	firstPause = 10 * time.Millisecond
	maxPause   = 80 * time.Millisecond
	// retryHint is the wait that a refusal names when no database can serve.
	retryHint = 300 * time.Millisecond
	// leastAttempt is the least time for an attempt that is worth starting.
	leastAttempt = 15 * time.Millisecond
)

// pauses waits between attempts, for longer each time.
type pauses struct{ next time.Duration }

func (p *pauses) wait(c *call) {
	p.next = min(max(2*p.next, firstPause), maxPause)
	time.Sleep(min(p.next, max(c.left(), 0)))
}

// again reports whether there is time for another attempt.
func (c *call) again() bool { return c.left() > leastAttempt }

// retry notes why an attempt failed.
func (s *Session) retry(c *call, target ident.Target, why dbop.Code) {
	c.last = why
	s.e.retried(s, c, target, why)
}

// refusal is the answer to a statement that nothing was done for.
func (c *call) refusal() dbop.Answer {
	if c.ran {
		return dbop.Answer{Code: dbop.Timeout, Text: "the database did not answer in time"}
	}
	return dbop.Answer{Code: dbop.Busy, Text: fmt.Sprintf("not run: no database could serve in time (%s); retry after %d ms", c.last, retryHint.Milliseconds())}
}

// crowded is the answer to a statement whose turn would not come in time.
func (c *call) crowded() dbop.Answer {
	if c.ran {
		return c.refusal()
	}
	return dbop.Answer{Code: dbop.Busy, Text: fmt.Sprintf("not run: too many statements wait for the database; retry after %d ms", retryHint.Milliseconds())}
}

// primary returns a connection to the primary on which a transaction of the
// engine's own is open, which proves the lead. ok is false when the time is up.
func (s *Session) primary(c *call) (conn *dbpool.Conn, ok bool) {
	var p pauses
	for c.again() {
		m, found := s.e.cfg.Leads.Await(c.deadline, s.grant.Group)
		if !found {
			c.last = dbop.ReadOnly
			return nil, false
		}
		conn, why := s.begun(c, &m, dbop.Statement{Kind: dbop.Begin})
		if conn != nil {
			return conn, true
		}
		s.retry(c, m.ID, why)
		p.wait(c)
	}
	return nil, false
}

// begun returns a connection on which a transaction was started, with the
// session's settings in force.
func (s *Session) begun(c *call, m *roster.Member, begin dbop.Statement) (*dbpool.Conn, dbop.Code) {
	conn, err := s.e.cfg.Pools.Get(c.deadline, m, s.grant.Workspace, s.owner)
	if err != nil {
		return nil, s.missed(m, err)
	}
	sent := s.e.cfg.Clock()
	sts := append(s.setup(conn, &c.st), begin)
	answers, err := conn.Do(s.probeBy(c), sts...)
	if err != nil {
		conn.Release(false)
		s.silent(m, conn, begin.Kind == dbop.Begin)
		return nil, dbop.Unknown
	}
	if code, ok := allOK(answers); !ok {
		s.refused(m, conn, code)
		return nil, code
	}
	if begin.Kind == dbop.Begin {
		s.e.cfg.Leads.Confirm(m.Group, m.ID, answers[len(answers)-1].Position, sent)
	}
	return conn, dbop.OK
}

func (s *Session) probeBy(c *call) time.Time {
	by := time.Now().Add(probeTimeout)
	if c.deadline.Before(by) {
		return c.deadline
	}
	return by
}

// silent notes that a database did not answer on an open connection. Its other
// idle connections may have gone silent too.
func (s *Session) silent(m *roster.Member, conn *dbpool.Conn, leads bool) {
	s.e.cfg.Pools.Drop(m, conn.Sent())
	if leads {
		s.e.cfg.Leads.ReportUnanswered(m.Group, m.ID)
	}
}

// refused takes note of a refusal and gives the connection back. A failed start
// may leave a transaction open.
func (s *Session) refused(m *roster.Member, conn *dbpool.Conn, code dbop.Code) {
	switch code {
	case dbop.ReadOnly:
		s.e.cfg.Leads.Depose(m.Group, m.ID)
	case dbop.Lagging:
		s.e.cfg.Roster.RecordLag(m.Group, m.ID, time.Now())
	}
	conn.Release(true)
}

// missed takes note of a connection that could not be had, and returns why.
func (s *Session) missed(m *roster.Member, err error) dbop.Code {
	e, ok := err.(*dbpool.Error)
	if !ok {
		return dbop.Unknown
	}
	switch e.Kind {
	case dbpool.KindRefused:
		return e.Code
	case dbpool.KindUnreachable:
		s.e.cfg.Leads.ReportUnanswered(m.Group, m.ID)
		return dbop.Unknown
	case dbpool.KindSlow:
		return dbop.Busy
	}
	return dbop.TooMany
}

// readPrimary runs a read that needs every acknowledged commit.
func (s *Session) readPrimary(c *call) dbop.Answer {
	var p pauses
	for c.again() {
		conn, ok := s.primary(c)
		if !ok {
			break
		}
		c.offered = true
		st := c.st
		st.Scheduling = c.turn
		answers, err := conn.Do(c.deadline, st, dbop.Statement{Kind: dbop.Rollback})
		if err != nil && len(answers) == 0 {
			c.ran = true
			s.dropSilent(conn)
			s.retry(c, conn.Target, dbop.Unknown)
			p.wait(c)
			continue
		}
		a := answers[0]
		switch {
		case err != nil:
			conn.Release(false)
		case a.Code == dbop.Crowded:
			conn.Rollback(c.deadline)
			return c.crowded()
		default:
			conn.Release(true)
		}
		if !s.again(c, conn, a.Code) {
			return a
		}
		p.wait(c)
	}
	return c.refusal()
}

// dropSilent discards a connection with an answer outstanding.
func (s *Session) dropSilent(conn *dbpool.Conn) {
	conn.Release(false)
	if m, ok := s.e.cfg.Roster.Member(conn.Group, conn.Target); ok {
		s.silent(&m, conn, false)
	}
}

// again decides whether a read or a statement that did not run is tried again
// after an answer.
func (s *Session) again(c *call, conn *dbpool.Conn, code dbop.Code) bool {
	switch code {
	case dbop.OK, dbop.TooLarge, dbop.Malformed, dbop.Timeout:
		return false
	case dbop.Failed:
		if c.ran {
			return false
		}
		c.ran = true
	case dbop.ReadOnly:
		s.e.cfg.Leads.Depose(conn.Group, conn.Target)
	case dbop.Lagging:
		s.e.cfg.Roster.RecordLag(conn.Group, conn.Target, time.Now())
	}
	s.retry(c, conn.Target, code)
	return true
}

// readAny runs a read that any database may run whose log has the floor.
func (s *Session) readAny(c *call) dbop.Answer {
	var p pauses
	tried := map[ident.Target]bool{}
	for c.again() {
		floor, ok := s.floor(c)
		if !ok {
			// Without a confirmed position only the primary's lead proves the log.
			return s.readPrimary(c)
		}
		m, ok := s.choose(tried)
		if !ok {
			if c.last == dbop.Crowded {
				return c.crowded()
			}
			clear(tried)
			p.wait(c)
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

// floor returns the position that a read needs.
func (s *Session) floor(c *call) (ident.Position, bool) {
	since := c.arrived.Add(-s.grant.MaxAge)
	pos, ok := s.e.cfg.Leads.Covering(c.deadline, s.grant.Group, since)
	if !ok {
		return pos, false
	}
	if s.grant.Reads == catal.ReadsSession {
		pos = pos.Max(s.written)
	}
	return pos, true
}

// readAt runs a read at one database. done is false when another may be tried.
func (s *Session) readAt(c *call, m *roster.Member, floor ident.Position) (a dbop.Answer, done bool) {
	conn, err := s.e.cfg.Pools.Get(s.waitBy(c), m, s.grant.Workspace, s.owner)
	if err != nil {
		s.retry(c, m.ID, s.missed(m, err))
		return a, false
	}
	if sts := s.setup(conn, &c.st); len(sts) > 0 {
		answers, err := conn.Do(s.probeBy(c), sts...)
		if err != nil {
			s.dropSilent(conn)
			s.retry(c, m.ID, dbop.Unknown)
			return a, false
		}
		if code, ok := allOK(answers); !ok {
			conn.Release(false)
			s.retry(c, m.ID, code)
			return a, false
		}
	}
	c.offered = true
	st := c.st
	st.Floor, st.Scheduling = floor, c.turn
	answers, err := conn.Do(s.attemptBy(c), st)
	if err != nil {
		c.ran = true
		s.dropSilent(conn)
		s.retry(c, m.ID, dbop.Unknown)
		return a, false
	}
	conn.Release(true)
	return answers[0], !s.again(c, conn, answers[0].Code)
}

// waitBy bounds the wait for a connection to one database of several.
func (s *Session) waitBy(c *call) time.Time {
	return c.start.Add(c.deadline.Sub(c.start) * 3 / 4)
}

// attemptBy bounds one attempt of a read, so that another database can be asked
// when an answer is lost.
func (s *Session) attemptBy(c *call) time.Time {
	const least = 350 * time.Millisecond
	by := time.Now().Add(max(least, c.left()/2))
	if c.deadline.Before(by) {
		return c.deadline
	}
	return by
}

// write runs a write outside a transaction.
func (s *Session) write(c *call) dbop.Answer {
	var p pauses
	for c.again() {
		m, ok := s.e.cfg.Leads.Await(c.deadline, s.grant.Group)
		if !ok {
			c.last = dbop.ReadOnly
			break
		}
		a, done := s.writeAt(c, &m)
		if done {
			return a
		}
		p.wait(c)
	}
	return c.refusal()
}

// writeAt sends a write to one database. done is false when nothing was run.
func (s *Session) writeAt(c *call, m *roster.Member) (a dbop.Answer, done bool) {
	conn, err := s.e.cfg.Pools.Get(c.deadline, m, s.grant.Workspace, s.owner)
	if err != nil {
		s.retry(c, m.ID, s.missed(m, err))
		return a, false
	}
	if why := s.verify(c, m, conn); why != dbop.OK {
		s.retry(c, m.ID, why)
		return a, false
	}
	c.offered = true
	sent := s.e.cfg.Clock()
	answers, err := conn.Do(c.deadline, c.st)
	if err != nil {
		c.ran = true
		s.dropSilent(conn)
		s.e.cfg.Leads.ReportStalledWrite(m.Group, m.ID)
		return unknown(), true
	}
	a = answers[0]
	conn.Release(true)
	if a.Code == dbop.OK {
		s.wrote(m.Group, m.ID, a.Position, sent)
		return a, true
	}
	if a.Code == dbop.Failed || a.Code == dbop.Timeout {
		c.ran = true
		return a, true
	}
	if a.Code == dbop.Lagging || !a.Code.NotRun() {
		return a, true
	}
	return a, !s.again(c, conn, a.Code)
}

// verify gives the connection the session's settings and, when it was quiet for
// long, checks that it answers and that the database has the lead.
func (s *Session) verify(c *call, m *roster.Member, conn *dbpool.Conn) dbop.Code {
	sts := s.setup(conn, &c.st)
	quiet := conn.Quiet() > verifyAfter
	if !quiet && len(sts) == 0 {
		return dbop.OK
	}
	sent := s.e.cfg.Clock()
	if quiet {
		sts = append(sts, dbop.Statement{Kind: dbop.Begin}, dbop.Statement{Kind: dbop.Rollback})
	}
	answers, err := conn.Do(s.probeBy(c), sts...)
	if err != nil {
		conn.Release(false)
		s.silent(m, conn, true)
		return dbop.Unknown
	}
	if code, ok := allOK(answers); !ok {
		s.refused(m, conn, code)
		return code
	}
	if quiet {
		s.e.cfg.Leads.Confirm(m.Group, m.ID, answers[len(answers)-1].Position, sent)
	}
	return dbop.OK
}

// wrote takes note of a commit.
func (s *Session) wrote(g ident.Group, id ident.Target, pos ident.Position, sent time.Time) {
	s.written = s.written.Max(pos)
	s.e.cfg.Leads.ReportWrite(g, id)
	s.e.cfg.Leads.Confirm(g, id, pos, sent)
}

// unknown is the answer to a write or commit whose own answer did not come.
func unknown() dbop.Answer {
	return dbop.Answer{Code: dbop.Unknown, Text: "the database did not answer; the write may have taken effect"}
}
