package dbpool

import (
	"errors"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// Status is what a database says of itself.
type Status struct {
	Primary bool
	// Term is the highest that the database has heard of.
	Term ident.Term
	// Received is the position of the last log entry, which may not be applied.
	Received ident.Position
	// Fenced is the term below which the database refuses log entries; 0 means
	// none.
	FenceTerm ident.Term
}

// Link is an open connection as the codec has it. It is used by one goroutine
// at a time.
type Link interface {
	// Exchange sends statements in one piece and returns an answer for each.
	// With an error the connection is of no further use.
	Exchange(deadline time.Time, sts ...dbop.Statement) ([]dbop.Answer, error)
	// Control sends a Status, Fence, Unfence or Demote. The Status is set when
	// the answer's code is OK.
	Control(deadline time.Time, st dbop.Statement) (Status, dbop.Answer, error)
	Close() error
}

// ErrStartTimeout is the error of a session that did not begin in time.
var ErrStartTimeout = errors.New("dbpool: the session did not begin in time")

// Dialer opens connections.
type Dialer interface {
	// Dial connects to a database for a workspace; "" stands for the proxy
	// itself. A Code other than OK in the answer is the database's refusal. The
	// error is ErrSlow when the database took the connection and did not answer
	// in time.
	Dial(deadline time.Time, m *roster.Member, ws ident.Workspace) (Link, dbop.Answer, error)
}

// Owner identifies the user of connections over all VMs; 0 stands for none.
type Owner uint64

// LentConn is a connection that another VM holds, with what is in force on it.
type LentConn struct {
	Link Link
	// Return gives the connection back. It is closed unless keep is set.
	Return   func(keep bool)
	Vars     map[string]string
	Prepared map[string]bool
	// Quiet is the time since the connection's last answer.
	AnswerAge time.Duration
}

// Conn is a connection that its user has to Release. It is used by one
// goroutine at a time.
type Conn struct {
	// pool is nil for a lent connection, which back gives back.
	pool *pool
	back func(keep bool)
	link Link
	// Target, Group and Workspace are those of the connection.
	Target    ident.Target
	Group     ident.Group
	Workspace ident.Workspace

	// Vars and Names are the session variables and prepared names in force.
	Vars     map[string]string
	Prepared map[string]bool
	// state after the last answer.
	state dbop.State
	// answered is when the last answer was complete, and sent when the last
	// statements were sent.
	answered time.Time
	sent     time.Time
	// opened and heard are when the connection began and last had an answer;
	// they are guarded by the pool's lock.
	opened time.Time
	heard  time.Time
	broken bool
	// owner used the connection last.
	owner Owner
}

// State returns the state after the last answer.
func (c *Conn) State() dbop.State { return c.state }

// SentAt returns when the last statements were sent.
func (c *Conn) SentAt() time.Time { return c.sent }

// AnswerAge returns the time since the last answer.
func (c *Conn) AnswerAge() time.Duration { return time.Since(c.answered) }

// Do runs statements and keeps track of what they change on the connection. An
// *Error of kind KindBroken means that the answers after the returned ones are
// not known.
func (c *Conn) Do(deadline time.Time, sts ...dbop.Statement) ([]dbop.Answer, error) {
	c.sent = time.Now()
	answers, err := c.link.Exchange(deadline, sts...)
	failed := err != nil
	for i := range answers {
		c.note(&sts[i], &answers[i])
		failed = failed || answers[i].Code == dbop.Failed || answers[i].Code == dbop.Timeout
	}
	if c.pool != nil {
		c.pool.noteResult(c, err == nil, failed)
	}
	if err != nil {
		c.broken = true
		return answers, &Error{Op: "run", Kind: KindBroken, Target: c.Target, Err: err}
	}
	c.answered = time.Now()
	return answers, nil
}

// Control sends a statement about the database itself.
func (c *Conn) Control(deadline time.Time, st dbop.Statement) (Status, dbop.Answer, error) {
	c.sent = time.Now()
	s, a, err := c.link.Control(deadline, st)
	if err != nil {
		c.broken = true
		return s, a, &Error{Op: "control", Kind: KindBroken, Target: c.Target, Err: err}
	}
	c.answered = time.Now()
	return s, a, nil
}

func (c *Conn) note(st *dbop.Statement, a *dbop.Answer) {
	c.state = a.State
	if a.Code != dbop.OK {
		if a.Code == dbop.NoStatement && st.Kind == dbop.Execute {
			delete(c.Prepared, st.Name)
		}
		return
	}
	switch st.Kind {
	case dbop.Set:
		if c.Vars == nil {
			c.Vars = map[string]string{}
		}
		c.Vars[st.Name] = st.Arg
	case dbop.Prepare:
		if c.Prepared == nil {
			c.Prepared = map[string]bool{}
		}
		c.Prepared[st.Name] = true
	case dbop.Reset:
		clear(c.Vars)
		clear(c.Prepared)
	}
}

// Release gives the connection back. It is closed unless it is idle, complete
// and healthy is set.
func (c *Conn) Release(healthy bool) {
	keep := healthy && !c.broken && c.state == dbop.Idle
	if c.pool == nil {
		c.back(keep)
		return
	}
	c.pool.put(c, keep)
}

// Rollback ends an open transaction and gives the connection back.
func (c *Conn) Rollback(deadline time.Time) {
	if c.broken || c.state == dbop.Idle {
		c.Release(true)
		return
	}
	_, err := c.Do(deadline, dbop.Statement{Kind: dbop.Rollback})
	c.Release(err == nil)
}
