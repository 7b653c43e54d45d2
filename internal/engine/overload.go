package engine

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

const (
	// probeShare is the inverse of the share of statements that are sent although the
	// reported delay is too long, so that the end of the overload is noticed.
	probeShare = 10
	// minRetryAfter and maxRetryAfter bound the time that refusals by queue delay state.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// goneReporter is implemented by a Caller that knows whether the caller has closed its
// connection.
type goneReporter interface{ Gone() bool }

// reportedDelay is the delay for which a statement was not sent to a database, with its
// age and the address of the lender that reported it.
type reportedDelay struct {
	delay, age time.Duration
	source     string
}

// getConn returns a connection to a database for a statement. Where routes differ in
// priority, the statement waits for its turn first. It is refused at once if the delay
// that the lender has reported leaves no time to answer it before its deadline, and not
// sent again when the caller has closed its connection.
func (s *Session) getConn(c *call, deadline time.Time, m *roster.Member) (*dbpool.Conn, error) {
	if err := s.checkOverload(c, m); err != nil {
		return nil, err
	}
	return s.e.cfg.Pools.GetFor(deadline, m, s.request(c))
}

// connWorkspace returns the workspace whose connections the session uses.
func (s *Session) connWorkspace() ident.Workspace {
	return cmp.Or(s.auth.Workspace, dbpool.Anonymous)
}

// request returns the request for a connection for a statement.
func (s *Session) request(c *call) *dbpool.Request {
	r := &dbpool.Request{Workspace: s.connWorkspace(), Owner: s.owner, Allowed: s.auth.Regions}
	if c.scheduling.Ranked {
		r.Scheduling = c.scheduling
		r.Scheduling.Spent = time.Since(c.start)
	}
	return r
}

// checkOverload returns the reason why a statement is not sent to a database: its caller
// has closed its connection, or the reported delay is too long.
func (s *Session) checkOverload(c *call, m *roster.Member) error {
	if !c.scheduling.Ranked {
		return nil
	}
	if c.lastCode != dbop.OK && s.gone != nil && s.gone() || s.delayTooLong(c, m) {
		return &dbpool.Error{Op: "get", Kind: dbpool.KindRefused, Target: m.ID, Code: dbop.Crowded}
	}
	return nil
}

// delayTooLong reports whether the reported delay at a database leaves no time to answer
// a statement. One statement in probeShare is sent all the same.
func (s *Session) delayTooLong(c *call, m *roster.Member) bool {
	now := time.Now()
	p := s.e.cfg.Pools.Pressure(m, s.connWorkspace(), s.auth.Regions)
	delay := p.Delay(s.auth.Weight, now)
	if delay <= c.remaining() || rand.N(probeShare) == 0 {
		return false
	}
	c.tooLong = reportedDelay{delay, now.Sub(p.At), p.Source}
	return true
}

// queueDelay returns the reported delay of a ranked statement at a database.
func (s *Session) queueDelay(m *roster.Member, now time.Time) time.Duration {
	if !s.index.Ranked {
		return 0
	}
	p := s.e.cfg.Pools.Pressure(m, s.connWorkspace(), s.auth.Regions)
	return p.Delay(s.auth.Weight, now)
}

// retryAfter returns the retry time of a refusal by queue delay. Where routes differ in
// priority it is random, so that retries don't come together, and shorter for more
// urgent statements.
func (c *call) retryAfter() time.Duration {
	if !c.scheduling.Ranked {
		return busyRetryAfter
	}
	window := min(max(c.tooLong.delay, 2*busyRetryAfter), maxRetryAfter)
	return minRetryAfter + rand.N(window/time.Duration(max(c.scheduling.Weight, 1)))
}

// ShedCause says why a statement was refused because of overload.
type ShedCause string

// Causes of refusals because of overload.
const (
	// ShedNoPrimary means that too many statements wait for a new primary.
	ShedNoPrimary ShedCause = "no_primary"
	// ShedPressure means that the delay that a lender has reported is too long.
	ShedPressure ShedCause = "pressure"
	// ShedQueue means that the lender has refused the statement.
	ShedQueue ShedCause = "queue"
)

// shedCause returns why overload was the cause of the last failed attempt, or "".
func (c *call) shedCause() ShedCause {
	switch {
	case c.primaryExpected > 0:
		return ShedNoPrimary
	case c.lastCode != dbop.Crowded:
		return ""
	case c.tooLong.delay > 0:
		return ShedPressure
	}
	return ShedQueue
}

// logPressure adds the reported delay for which a statement was refused.
func (c *call) logPressure(ev *zerolog.Event) *zerolog.Event {
	if c.tooLong.delay == 0 {
		return ev
	}
	return ev.Dur("pressure", c.tooLong.delay).Dur("pressure_age", c.tooLong.age).Str("pressure_source", c.tooLong.source)
}
