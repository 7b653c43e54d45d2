package engine

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/guard"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/budget"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/posn"
)

const (
	// defaultTimeout is the timeout of statements on routes that set none.
	defaultTimeout = 5 * time.Second
	// minAdmitTimeout and maxAdmitTimeout bound one wait for the workspace's rate limit,
	// which is a quarter of the latency objective where one is stated: a refusal after
	// that comes late for the caller, and tokens of another region take a round trip.
	minAdmitTimeout = 150 * time.Millisecond
	maxAdmitTimeout = 300 * time.Millisecond
	// warmupAdmitTimeout bounds all waits of a statement for the rate limit
	// during warmupPeriod after the start, while the VMs that this one borrows
	// from may still be claiming their slices.
	warmupAdmitTimeout = 500 * time.Millisecond
	warmupPeriod       = 3 * time.Second
)

// Session serves one caller. Its fields are used only by the goroutine of Serve.
type Session struct {
	e      *Engine
	caller Caller
	// gone is the caller's Gone, nil if it has none.
	gone  func() bool
	login Login
	// owner identifies the session to the connection pools.
	owner dbpool.Owner
	// index is the key index against which the key was last checked, authIndex
	// the one that auth is from. They differ while a transaction is open across a
	// change of the catalogue, as auth does not change during a transaction.
	index     *access.KeyIndex
	authIndex *access.KeyIndex
	auth      access.Authorization

	vars     map[string]string
	prepared map[string]preparedStatement
	// stateBytes is the length of the names and values in vars and prepared.
	stateBytes int
	// stateShare is what is held of Engine.state for them.
	stateShare budget.Share
	// commits has the session's last commits, with times by Config.Clock.
	commits posn.Commits
	tx      *txn
	// unfinishedSince is since when a planned stop waits for the rest of a message; zero
	// if it does not.
	unfinishedSince time.Time
	wrong           wrongStatements
	// slowdown is the delay before the next message is received.
	slowdown time.Duration
	// ending is set when the session must end after the current answer.
	ending bool
}

// call is a statement being served.
type call struct {
	st dbop.Statement
	// receivedAt is by Config.Clock, start and deadline are by the runtime's
	// clock.
	receivedAt time.Time
	start      time.Time
	deadline   time.Time
	// answersBy is that of the Engine.
	answersBy *atomic.Pointer[time.Time]
	// offered is set when the statement was sent to a database.
	offered bool
	// mayHaveRun is set when a database may have run the statement.
	mayHaveRun bool
	// scheduling holds the queueing parameters of the statement at a database.
	scheduling dbop.Scheduling
	// tooLong is the reported delay of the last attempt that was given up for it; zero
	// if there was none.
	tooLong reportedDelay
	// primaryExpected, unless 0, is when to retry a statement that was refused because
	// the group has no primary.
	primaryExpected time.Duration
	// unplaced, unless empty, is why no database may serve the statement.
	unplaced string
	// lastCode is the reason why the last attempt failed.
	lastCode dbop.Code
}

// remaining returns the time until the deadline, or until the end of a planned stop. The
// latter may begin while the statement waits.
func (c *call) remaining() time.Duration {
	d := time.Until(c.deadline)
	if c.answersBy == nil {
		return d
	}
	if end := c.answersBy.Load(); end != nil {
		d = min(d, time.Until(*end))
	}
	return d
}

// Serve receives and answers statements until the session ends.
func (s *Session) Serve() {
	defer s.close()
	for {
		if s.shouldStop() {
			return
		}
		st, err := s.caller.Receive(s.receiveDeadline())
		var a dbop.Answer
		var rejected *Error
		switch {
		case err == nil:
			s.unfinishedSince = time.Time{}
			a = s.handle(st)
		case errors.Is(err, ErrNoMessage):
			s.caller.ClearInterrupt()
			s.failIdleTxn()
			if !s.unfinishedTooLong() {
				continue
			}
			a = s.reject(&Error{Op: "receive", Kind: KindUnfinished})
		case errors.As(err, &rejected):
			a = s.reject(rejected)
		default:
			return
		}
		if s.failedToBegin(st.Kind, &a) && s.caller.Pending() {
			s.ending = true
		}
		if s.caller.Send(&a) != nil || s.ending {
			return
		}
		s.yield()
	}
}

// failedToBegin reports whether an answer is an error after which no transaction is open,
// to a statement that begins one, or may have been meant to. What the caller has sent before
// it could see the answer would run outside the transaction that it belongs to.
func (s *Session) failedToBegin(k dbop.Kind, a *dbop.Answer) bool {
	return a.Code != dbop.OK && s.tx == nil && (k == 0 || k == dbop.Begin || k == dbop.BeginRead)
}

// Abort ends a session on which Serve is not called.
func (s *Session) Abort() { s.close() }

func (s *Session) close() {
	s.abandon()
	s.e.state.Release(&s.stateShare)
	// An error means that the caller has already closed the connection.
	_ = s.caller.Close()
	s.e.remove(s)
}

// authorize checks the key and the route against the catalogue in force and
// returns the refusal if one of them is no longer valid. An open transaction
// keeps its authorization.
func (s *Session) authorize() *dbop.Answer {
	idx := s.e.cfg.Access.Index()
	if idx != nil && idx == s.index && (idx == s.authIndex || s.tx != nil) {
		return nil
	}
	auth, err := idx.Identify(s.login.Route, s.login.Key)
	if err != nil && s.e.cfg.AwaitCatalogue != nil && s.e.cfg.AwaitCatalogue() {
		idx = s.e.cfg.Access.Index()
		auth, err = idx.Identify(s.login.Route, s.login.Key)
	}
	if err != nil {
		return &dbop.Answer{Code: loginCode(err), Text: err.Error()}
	}
	s.index = idx
	if s.tx != nil {
		return nil
	}
	s.authIndex, s.auth = idx, auth
	return nil
}

func loginCode(err error) dbop.Code {
	var e *access.Error
	if !errors.As(err, &e) {
		return dbop.Busy
	}
	switch e.Kind {
	case access.KindKeyRefused:
		return dbop.BadKey
	case access.KindUnknownRoute:
		return dbop.NoRoute
	}
	return dbop.Busy
}

// handle serves one statement.
func (s *Session) handle(st dbop.Statement) dbop.Answer {
	c := &call{st: st, start: time.Now(), receivedAt: s.e.cfg.Clock(), answersBy: &s.e.answersBy}
	a := s.dispatchGuarded(c)
	if s.tx == nil {
		a.State = dbop.Idle
	} else {
		a.State = s.tx.state()
	}
	s.slowdown = s.wrong.answered(isWrong(&a, c.offered))
	s.e.recordAnswer(s, c, &a)
	return a
}

// dispatchGuarded contains a panic: the caller is told that the outcome is unknown, the
// connection of an open transaction is closed, and the session ends.
func (s *Session) dispatchGuarded(c *call) (a dbop.Answer) {
	defer guard.Recover(s.e.cfg.Log, "session", loggedID(c.st.ID), func() {
		a = dbop.Answer{Code: dbop.Unknown, Text: "internal error; the statement may have taken effect"}
		s.ending = true
		if s.tx != nil {
			s.tx.failAndClose()
			s.tx = nil
		}
	})
	return s.dispatch(c)
}

func (s *Session) dispatch(c *call) dbop.Answer {
	if a := s.authorize(); a != nil {
		s.abandon()
		s.ending = true
		return *a
	}
	timeout := s.auth.RequestTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.start.Add(timeout)
	timeout = c.remaining()
	c.deadline = c.start.Add(timeout)
	c.scheduling = s.scheduling(timeout)
	if s.tx != nil {
		return s.serveInTxn(c)
	}
	return s.serveOutsideTxn(c)
}

// scheduling returns the queueing parameters of a statement with the given
// timeout: it waits for at most half of its timeout, and for at most half of the
// latency objective, so that the caller's operation can still meet it.
func (s *Session) scheduling(timeout time.Duration) dbop.Scheduling {
	t := dbop.Scheduling{Class: s.auth.Class, Weight: s.auth.Weight, MaxWait: timeout / 2, Gone: s.gone, Ranked: s.index.Ranked && s.auth.LatencyObjective > 0}
	if o := s.auth.LatencyObjective; o > 0 {
		t.MaxWait = min(t.MaxWait, o/2)
	}
	return t
}

// serveOutsideTxn serves a statement while no transaction is open.
func (s *Session) serveOutsideTxn(c *call) dbop.Answer {
	switch c.st.Kind {
	case dbop.Set, dbop.Prepare, dbop.Deallocate:
		return s.serveLocally(&c.st)
	case dbop.Rollback:
		return dbop.Answer{}
	case dbop.Begin, dbop.BeginRead:
		return s.begin(c)
	case dbop.Read, dbop.Write, dbop.Execute:
	default:
		return dbop.Answer{Code: dbop.Malformed, Text: "the statement is not known here"}
	}
	writes, ok := s.bind(&c.st)
	if !ok {
		return dbop.Answer{Code: dbop.NoStatement, Text: "no statement of this name was prepared"}
	}
	if a := s.admit(c); a != nil {
		return *a
	}
	switch {
	case writes:
		return s.write(c)
	case s.strict():
		return s.readPrimary(c)
	}
	return s.readAny(c)
}

// strict reports whether reads must see every commit acknowledged before them.
func (s *Session) strict() bool {
	return s.auth.ReadConsistency == catal.ConsistencyPrimary || s.auth.MaxAge <= 0
}

// bind replaces the statement name of an Execute by the name used at databases,
// and reports whether the statement writes. ok is false if no statement of this
// name was prepared.
func (s *Session) bind(st *dbop.Statement) (writes, ok bool) {
	if st.Kind != dbop.Execute {
		return st.Kind == dbop.Write, true
	}
	p, ok := s.prepared[st.Name]
	if !ok {
		return false, false
	}
	st.Name, st.Writes = p.name, p.writes
	return p.writes, true
}

// admit applies the rate limit of the workspace to one operation. It returns the
// refusal if the rate is used up.
func (s *Session) admit(c *call) *dbop.Answer {
	if s.auth.Workspace == "" {
		return nil
	}
	var b backoff
	for {
		err := s.admitOnce(c)
		if err == nil {
			return nil
		}
		if time.Since(s.e.started) > warmupPeriod || time.Since(c.start) > warmupAdmitTimeout || !c.canAttempt() {
			break
		}
		b.wait(c)
	}
	c.lastCode = dbop.Busy
	return &dbop.Answer{Code: dbop.Busy, Text: fmt.Sprintf("the rate of the workspace is used up; retry after %d ms", rateRetryAfter.Milliseconds())}
}

// admitTimeout returns how long a statement waits for the rate limit.
func (s *Session) admitTimeout() time.Duration {
	return min(max(s.auth.LatencyObjective/4, minAdmitTimeout), maxAdmitTimeout)
}

func (s *Session) admitOnce(c *call) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(s.admitTimeout(), c.remaining()))
	defer cancel()
	return s.e.cfg.Limiter.Admit(ctx, s.auth.Workspace)
}

// rateRetryAfter is the retry delay named in a refusal by the rate limit: the
// time in which a workspace with a rate of a few operations per second gains a
// token.
const rateRetryAfter = 500 * time.Millisecond
