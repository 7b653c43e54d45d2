package dbpool

import (
	"errors"
	"slices"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

// Status is the state that a database reports of itself.
type Status struct {
	Primary bool
	// Term is the highest term that the database has seen.
	Term ident.Term
	// Received is the position of the last log entry, which may not be applied
	// yet.
	Received ident.Position
	// FenceTerm is the term below which the database refuses log entries; 0 means
	// no fence.
	FenceTerm ident.Term
}

// Link is an open connection at the level of the database protocol. It must be
// used by one goroutine at a time.
type Link interface {
	// Exchange sends statements as one batch and returns an answer for each.
	// After an error the connection must not be used again, unless the error wraps
	// ErrNotEncodable or ErrTooLarge.
	Exchange(deadline time.Time, sts ...dbop.Statement) ([]dbop.Answer, error)
	// Control sends a Status, Fence, Unfence or Demote statement. The returned
	// Status is set when the answer's code is OK.
	Control(deadline time.Time, st dbop.Statement) (Status, dbop.Answer, error)
	Close() error
}

// Errors that a Link or Dialer wraps when the database protocol has no form for what it was
// given. Nothing was sent, and a Link may be used again.
var (
	// ErrNotEncodable means that a value has a character that is not allowed where it
	// stands, or is missing.
	ErrNotEncodable = errors.New("dbpool: not sent: a value can't be encoded")
	// ErrTooLarge means that a message would be longer than the protocol allows.
	ErrTooLarge = errors.New("dbpool: not sent: the message is too large")
)

// ErrStartTimeout means that the database accepted a connection but did not start
// the session in time.
var ErrStartTimeout = errors.New("dbpool: the database did not start the session in time")

// errLostTxn means that a database has ended a transaction that was not to end.
var errLostTxn = errors.New("dbpool: the database has ended an open transaction")

// Dialer opens connections.
type Dialer interface {
	// Dial connects to a database for a workspace; ws "" stands for the proxy
	// itself. A Code other than OK in the answer means that the database refused
	// the connection. The error wraps ErrStartTimeout when the database accepted
	// the connection but did not answer in time, and ErrNotEncodable or ErrTooLarge
	// when it was not asked.
	Dial(deadline time.Time, m *roster.Member, ws ident.Workspace) (Link, dbop.Answer, error)
}

// Owner identifies a user of connections, uniquely among all VMs; 0 means none.
type Owner uint64

// LentConn is a connection that another VM holds, with its session state.
type LentConn struct {
	Link Link
	// Return gives the connection back. The lender closes it unless keep is set.
	Return func(keep bool)
	// Vars and Prepared are the session variables and the names of the prepared
	// statements on the connection.
	Vars     map[string]string
	Prepared map[string]bool
	// AnswerAge is the time since the connection's last answer.
	AnswerAge time.Duration
}

// Conn is a pooled or borrowed connection, which its user must give back with
// Release or Rollback. It must be used by one goroutine at a time.
type Conn struct {
	// pool is nil for a borrowed connection, which giveBack returns to the lender.
	pool *pool
	// borrowedBy is the Pools that borrowed the connection; nil for a local one.
	borrowedBy *Pools
	giveBack   func(keep bool)
	link       Link
	Target     ident.Target
	Zone       ident.Zone
	Group      ident.Group
	Workspace  ident.Workspace

	// Vars and Prepared are the session variables and the names of the prepared
	// statements on the connection.
	Vars     map[string]string
	Prepared map[string]bool
	// stateBytes is the length of what was set and prepared since the last reset.
	stateBytes int
	// state is the transaction state after the last answer; wrote is set when a write was
	// sent in the open transaction.
	state dbop.State
	wrote bool
	// position is that of the last answer which had one.
	position ident.Position
	// answeredAt is when the last answer was complete, sentAt when the last
	// statements were sent.
	answeredAt time.Time
	sentAt     time.Time
	// openedAt is when the connection was opened, heardAt when it last answered in
	// Do. The pool's lock guards both.
	openedAt time.Time
	heardAt  time.Time
	broken   bool
	// lostTxn is set when the database reported a success inside a transaction and no open
	// transaction after it: it would commit the next write at once.
	lostTxn bool
	// owner is the last user of the connection.
	owner Owner
	// class is the class of the last statement that had one.
	class speed.Class
	// turn is the turn of the first statement of the connection's user; nil when it
	// has ended or there is none.
	turn Turn
}

// State returns the transaction state after the last answer.
func (c *Conn) State() dbop.State { return c.state }

// SentAt returns when the last statements were sent.
func (c *Conn) SentAt() time.Time { return c.sentAt }

// AnswerAge returns the time since the last answer.
func (c *Conn) AnswerAge() time.Duration { return time.Since(c.answeredAt) }

// Do runs statements and tracks the session state that they change. An *Error of
// kind KindBroken means that the outcome of the statements after the returned
// answers is unknown.
func (c *Conn) Do(deadline time.Time, sts ...dbop.Statement) ([]dbop.Answer, error) {
	commit, refused := c.allowCommit(deadline, sts)
	if refused != nil {
		return refused, nil
	}
	if c.pool != nil {
		release, refused := c.admit(deadline, sts)
		if refused != nil {
			return refused, nil
		}
		defer release()
	}
	if c.startTurn(sts) {
		defer c.endTurn()
	}
	sentBefore, positionBefore := c.sentAt, c.position
	c.sentAt = time.Now()
	answers, inProgress, err := c.exchange(deadline, sts)
	if code := notSentCode(err); code != dbop.OK {
		c.sentAt = sentBefore
		c.recordNotSent(err)
		return slices.Repeat([]dbop.Answer{{Code: code, State: c.state, Text: "not run: the statement can't be sent to a database"}}, len(sts)), nil
	}
	failed := err != nil
	for i := range answers {
		c.recordAnswer(&sts[i], &answers[i])
		failed = failed || answers[i].Code == dbop.Failed || answers[i].Code == dbop.Timeout
	}
	if c.pool != nil {
		c.pool.recordResult(c, err == nil, failed)
	}
	c.recordSpeed(sts, answers, inProgress, failed, err)
	if err != nil {
		c.broken = true
		if c.pool != nil {
			c.recordClosed(err)
		}
		return answers, &Error{Op: "run", Kind: KindBroken, Target: c.Target, Err: err}
	}
	if c.lostTxn {
		c.broken = true
		return answers, &Error{Op: "run", Kind: KindBroken, Target: c.Target, Err: errLostTxn}
	}
	c.answeredAt = time.Now()
	if err := c.confirmCommit(deadline, commit, answers, positionBefore); err != nil {
		c.broken = true
		return answers[:commit], &Error{Op: "confirm", Kind: KindBroken, Target: c.Target, Err: err}
	}
	return answers, nil
}

// Control sends a statement about the database itself.
func (c *Conn) Control(deadline time.Time, st dbop.Statement) (Status, dbop.Answer, error) {
	c.sentAt = time.Now()
	s, a, err := c.link.Control(deadline, st)
	if err != nil {
		c.broken = true
		return s, a, &Error{Op: "control", Kind: KindBroken, Target: c.Target, Err: err}
	}
	c.answeredAt = time.Now()
	return s, a, nil
}

// recordAnswer updates the session state after a statement and its answer.
func (c *Conn) recordAnswer(st *dbop.Statement, a *dbop.Answer) {
	c.lostTxn = c.lostTxn || a.Code == dbop.OK && !st.Kind.EndsTxn() && a.State != dbop.Open && (c.state == dbop.Open || st.Kind.BeginsTxn())
	c.recordWrite(st, a)
	c.state = a.State
	if !a.Position.IsZero() {
		c.position = a.Position
	}
	if a.Code != dbop.OK {
		if a.Code == dbop.NoStatement && st.Kind == dbop.Execute {
			delete(c.Prepared, st.Name)
		}
		if st.Kind.ChangesSession() && !a.Code.NotRun() && !a.Code.Rejected() {
			c.broken = true // it may have run, so the session state is unknown
		}
		return
	}
	switch st.Kind {
	case dbop.Set:
		if c.Vars == nil {
			c.Vars = map[string]string{}
		}
		c.Vars[st.Name] = st.Arg
		c.stateBytes += len(st.Name) + len(st.Arg)
	case dbop.Prepare:
		if c.Prepared == nil {
			c.Prepared = map[string]bool{}
		}
		c.Prepared[st.Name] = true
		c.stateBytes += len(st.Name) + len(st.Arg)
	case dbop.Reset:
		clear(c.Vars)
		clear(c.Prepared)
		c.stateBytes = 0
	}
}

// maxStateBytes is the length of what may be set and prepared on a connection that is kept.
// Databases hold it for as long as the connection is open, and it travels with a connection
// that is lent to another VM.
const maxStateBytes = 2 << 20

// Release gives the connection back. It is closed unless healthy is set, no
// answer is outstanding and no transaction is open.
func (c *Conn) Release(healthy bool) {
	c.endTurn()
	keep := healthy && !c.broken && c.state == dbop.Idle && c.stateBytes <= maxStateBytes
	if c.pool == nil {
		c.giveBack(keep)
		return
	}
	c.pool.put(c, keep)
}

// Rollback rolls back an open transaction and gives the connection back.
func (c *Conn) Rollback(deadline time.Time) {
	if c.broken || c.state == dbop.Idle {
		c.Release(true)
		return
	}
	_, err := c.Do(deadline, dbop.Statement{Kind: dbop.Rollback})
	c.Release(err == nil)
}
