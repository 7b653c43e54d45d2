package engine

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/posn"
	"chervilspan.example/pkg/roster"
)

// write runs a write outside a transaction.
func (s *Session) write(c *call) dbop.Answer {
	var b backoff
	for c.canAttempt() {
		m, ok := s.primaryFor(c)
		if !ok {
			break
		}
		a, done := s.writeAt(c, &m)
		if done {
			return a
		}
		if c.lastCode == dbop.Crowded {
			return c.crowdedRefusal()
		}
		b.wait(c)
	}
	return c.refusal()
}

// writeAt sends a write to one database. done is false when it was not run and may
// be sent again.
func (s *Session) writeAt(c *call, m *roster.Member) (a dbop.Answer, done bool) {
	conn, err := s.getConn(c, c.deadline, m)
	if err != nil {
		s.recordFailure(c, m.ID, s.handleGetError(m, err))
		return a, false
	}
	if why := s.verify(c, m, conn); why != dbop.OK {
		s.recordFailure(c, m.ID, why)
		return a, false
	}
	if s.e.closed(conn) {
		conn.Release(true)
		return a, false
	}
	c.offered = true
	sent := s.e.cfg.Clock()
	answers, err := conn.Do(c.deadline, c.st)
	if err != nil {
		c.mayHaveRun = true
		s.discardUnanswered(conn)
		s.e.cfg.Primaries.ReportStalledWrite(m.Group, m.ID)
		return unknownOutcome(), true
	}
	a = answers[0]
	conn.Release(true)
	if a.Code == dbop.OK {
		if c.scheduling.Ranked {
			s.e.absences.recordService(m.Group, s.e.cfg.Clock().Sub(sent))
		}
		s.recordCommit(m.Group, m.ID, a.Position, sent)
		return a, true
	}
	if a.Code == dbop.Failed || a.Code == dbop.Timeout {
		c.mayHaveRun = true
		return a, true
	}
	if a.Code == dbop.Lagging || !a.Code.NotRun() {
		return a, true
	}
	return a, !s.shouldRetry(c, conn, a.Code)
}

// verify applies the session's settings to the connection and, when the last
// answer on it is older than verifyAfter, checks that it answers and that the
// database is the primary. It releases the connection unless it returns OK.
func (s *Session) verify(c *call, m *roster.Member, conn *dbpool.Conn) dbop.Code {
	sts := s.setupStatements(conn, &c.st)
	quiet := conn.AnswerAge() > verifyAfter
	if !quiet && len(sts) == 0 {
		return dbop.OK
	}
	sent := s.e.cfg.Clock()
	if quiet {
		sts = append(sts, dbop.Statement{Kind: dbop.Begin}, dbop.Statement{Kind: dbop.Rollback})
	}
	answers, err := conn.Do(s.probeDeadline(c), sts...)
	if err != nil {
		conn.Release(false)
		s.handleNoAnswer(m, conn, true)
		return dbop.Unknown
	}
	if code, ok := allOK(answers); !ok {
		s.handleRefusal(m, conn, code)
		return code
	}
	if quiet {
		s.e.cfg.Primaries.Confirm(m.Group, m.ID, answers[len(answers)-1].Position, sent)
	}
	return dbop.OK
}

// recordCommit records the position of an acknowledged commit.
func (s *Session) recordCommit(g ident.Group, id ident.Target, pos ident.Position, sent time.Time) {
	s.commits.Record(g, posn.Commit{Position: pos, At: s.e.cfg.Clock()})
	s.e.cfg.Primaries.ReportWrite(g, id)
	s.e.cfg.Primaries.Confirm(g, id, pos, sent)
}

// unknownOutcome returns the answer to a write or commit that the database did not
// answer.
func unknownOutcome() dbop.Answer {
	return dbop.Answer{Code: dbop.Unknown, Text: "the database did not answer; the write may have taken effect"}
}
