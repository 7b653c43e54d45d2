package engine

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

const (
	// defaultTimeout bounds statements of routes without a timeout.
	defaultTimeout = 5 * time.Second
	// admitWait bounds the wait for the workspace's rate.
	admitWait = 150 * time.Millisecond
	// warmWait takes its place for warmTime after the VM's start, in which other
	// VMs may still claim the parts of the rates that this one borrows from.
	warmWait = 500 * time.Millisecond
	warmTime = 3 * time.Second
	// maxNames bounds the variables, and the prepared statements, of a session.
	maxNames = 256
)

// prepared is a statement that the caller prepared.
type prepared struct {
	// name is the one at databases. It depends on the statement only, so that
	// sessions share it.
	name   string
	shape  string
	writes bool
}

// Session serves one caller. Its fields belong to the goroutine of Serve.
type Session struct {
	e      *Engine
	caller Caller
	login  Login
	// owner names the session to the pools.
	owner dbpool.Owner
	// index is that of the last check, and granted the one of grant, which
	// stays as it is in a transaction.
	index   *access.Index
	granted *access.Index
	grant   access.Grant

	vars  map[string]string
	names map[string]prepared
	// written is the position of the session's last commit.
	written ident.Position
	tx      *txn
	// over is set when the session has to end after the answer.
	over bool
}

// call is a statement that is being served.
type call struct {
	st dbop.Statement
	// arrived is by Config.Clock, start and deadline by the runtime's clock.
	arrived  time.Time
	start    time.Time
	deadline time.Time
	// offered tells that a database was asked to run the statement.
	offered bool
	// ran tells that a database may have run it.
	ran bool
	// turn is how the statement waits at a database.
	turn dbop.Scheduling
	// last is the reason why the last attempt failed.
	last dbop.Code
}

func (c *call) left() time.Duration { return time.Until(c.deadline) }

// Serve answers the caller until the session ends.
func (s *Session) Serve() {
	defer s.close()
	for {
		if s.stops() {
			return
		}
		st, err := s.caller.Receive(s.receiveBy())
		switch {
		case err == nil:
		case errors.Is(err, ErrNoMessage):
			s.caller.ClearInterrupt()
			s.rest()
			continue
		default:
			return
		}
		a := s.handle(st)
		if s.caller.Send(&a) != nil || s.over {
			return
		}
	}
}

// Abort ends a session that is not served.
func (s *Session) Abort() { s.close() }

func (s *Session) close() {
	s.abandon()
	// An error means that the caller has closed the connection.
	_ = s.caller.Close()
	s.e.remove(s)
}

// stops reports whether a planned stop ends the session here.
func (s *Session) stops() bool {
	switch phase(s.e.phase.Load()) {
	case closingIdle:
		return s.tx == nil && !s.caller.Pending()
	case closingAll:
		return !s.caller.Pending()
	}
	return false
}

// receiveBy is when an open transaction has been idle for too long.
func (s *Session) receiveBy() time.Time {
	if s.tx == nil || s.tx.failed {
		return time.Time{}
	}
	return time.Now().Add(s.index.Catalogue.Sessions.IdleTransaction())
}

// rest ends a transaction that has been idle for too long.
func (s *Session) rest() {
	if s.tx == nil || s.tx.failed || time.Since(s.tx.used) < s.index.Catalogue.Sessions.IdleTransaction() {
		return
	}
	s.e.logIdle(s)
	s.tx.fail()
}

// authorize takes the catalogue in force. It returns the refusal when the key
// or the route no longer holds. An open transaction keeps its grant.
func (s *Session) authorize() *dbop.Answer {
	idx := s.e.cfg.Access.Index()
	if idx != nil && idx == s.index && (idx == s.granted || s.tx != nil) {
		return nil
	}
	g, err := idx.Identify(s.login.Route, s.login.Key)
	if err != nil {
		return &dbop.Answer{Code: loginCode(err), Text: err.Error()}
	}
	s.index = idx
	if s.tx != nil {
		return nil
	}
	if g.Group != s.grant.Group {
		s.written = ident.Position{}
	}
	s.granted, s.grant = idx, g
	return nil
}

func loginCode(err error) dbop.Code {
	var e *access.Error
	if !errors.As(err, &e) {
		return dbop.Busy
	}
	switch e.Kind {
	case access.KindKey:
		return dbop.BadKey
	case access.KindRoute:
		return dbop.NoRoute
	}
	return dbop.Busy
}

// handle serves one statement.
func (s *Session) handle(st dbop.Statement) dbop.Answer {
	c := &call{st: st, start: time.Now(), arrived: s.e.cfg.Clock()}
	a := s.dispatch(c)
	if s.tx == nil {
		a.State = dbop.Idle
	} else {
		a.State = s.tx.state()
	}
	s.e.done(s, c, &a)
	return a
}

func (s *Session) dispatch(c *call) dbop.Answer {
	if a := s.authorize(); a != nil {
		s.abandon()
		s.over = true
		return *a
	}
	timeout := s.grant.Deadline
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.start.Add(timeout)
	c.turn = s.turn(timeout)
	if s.tx != nil {
		return s.inside(c)
	}
	return s.outside(c)
}

// turn returns how a statement with a timeout waits at a database: for a half of
// its time, and not so long that the caller's operation misses its objective.
func (s *Session) turn(timeout time.Duration) dbop.Scheduling {
	t := dbop.Scheduling{Class: s.grant.Class, Weight: s.grant.Weight, MaxWait: timeout / 2}
	if o := s.grant.Objective; o > 0 {
		t.MaxWait = min(t.MaxWait, o/2)
	}
	return t
}

// outside serves a statement while no transaction is open.
func (s *Session) outside(c *call) dbop.Answer {
	switch c.st.Kind {
	case dbop.Set, dbop.Prepare, dbop.Deallocate:
		return s.local(&c.st)
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

// strict reports whether reads need every commit that was acknowledged before.
func (s *Session) strict() bool {
	return s.grant.Reads == catal.ReadsPrimary || s.grant.MaxAge <= 0
}

// local serves the statements that need no database.
func (s *Session) local(st *dbop.Statement) dbop.Answer {
	switch st.Kind {
	case dbop.Set:
		if s.vars == nil {
			s.vars = map[string]string{}
		}
		if _, known := s.vars[st.Name]; !known && len(s.vars) >= maxNames {
			return dbop.Answer{Code: dbop.TooLarge, Text: "too many session variables"}
		}
		s.vars[st.Name] = st.Arg
	case dbop.Prepare:
		if s.names == nil {
			s.names = map[string]prepared{}
		}
		if _, known := s.names[st.Name]; !known && len(s.names) >= maxNames {
			return dbop.Answer{Code: dbop.TooLarge, Text: "too many prepared statements"}
		}
		s.names[st.Name] = newPrepared(st)
	case dbop.Deallocate:
		delete(s.names, st.Name)
	}
	return dbop.Answer{}
}

func newPrepared(st *dbop.Statement) prepared {
	mode := "r"
	if st.Writes {
		mode = "w"
	}
	const hexBase = 16
	return prepared{
		name:  mode + strconv.FormatUint(xxhash.Sum64String(st.Arg), hexBase),
		shape: st.Arg, writes: st.Writes,
	}
}

// bind gives an Execute the name of its statement at databases, and reports
// whether the statement writes. ok is false when the name is not known.
func (s *Session) bind(st *dbop.Statement) (writes, ok bool) {
	if st.Kind != dbop.Execute {
		return st.Kind == dbop.Write, true
	}
	p, ok := s.names[st.Name]
	if !ok {
		return false, false
	}
	st.Name, st.Writes = p.name, p.writes
	return p.writes, true
}

// admit takes the right to run one operation.
func (s *Session) admit(c *call) *dbop.Answer {
	if s.grant.Workspace == "" {
		return nil
	}
	var p pauses
	for {
		err := s.admitOnce(c)
		if err == nil {
			return nil
		}
		if time.Since(s.e.begun) > warmTime || time.Since(c.start) > warmWait || !c.again() {
			break
		}
		p.wait(c)
	}
	c.last = dbop.Busy
	return &dbop.Answer{Code: dbop.Busy, Text: fmt.Sprintf("the rate of the workspace is used up; retry after %d ms", rateRetry.Milliseconds())}
}

func (s *Session) admitOnce(c *call) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(admitWait, c.left()))
	defer cancel()
	return s.e.cfg.Limiter.Admit(ctx, s.grant.Workspace)
}

// rateRetry is the wait that a refusal for the rate names: the time in which a
// workspace with a rate of a few operations a second has a new token.
const rateRetry = 500 * time.Millisecond
