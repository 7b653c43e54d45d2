package dbpool

import (
	"errors"
	"slices"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// Commits decides whether commits may be sent to databases that act as primaries, and
// whether their acknowledgements are passed on.
type Commits interface {
	// AllowCommit reports whether a commit that the database acknowledges will be kept. It
	// may wait until the deadline.
	AllowCommit(deadline time.Time, m *roster.Member) bool
	// ConfirmCommit reports whether a commit that the database has acknowledged is kept, as
	// far as is known after its answer. It may wait until the deadline. The commit is above
	// the position after, the last one on the connection before it was sent.
	ConfirmCommit(deadline time.Time, m *roster.Member, after ident.Position) bool
}

// errUnconfirmed means that a commit was acknowledged by a database that may have been
// replaced meanwhile.
var errUnconfirmed = errors.New("dbpool: the database may have been replaced before its answer")

// commitIndex returns the index of the first statement that may commit a write, or -1.
func (c *Conn) commitIndex(sts []dbop.Statement) int {
	open, wrote := c.state != dbop.Idle, c.wrote
	return slices.IndexFunc(sts, func(st dbop.Statement) bool {
		writes := st.IsWrite()
		switch {
		case st.Kind == dbop.Begin || st.Kind == dbop.BeginRead:
			open = true
		case st.Kind == dbop.Rollback:
			open, wrote = false, false
		case st.Kind == dbop.Commit && wrote, writes && !open:
			return true
		}
		wrote = wrote || writes
		return false
	})
}

// allowCommit asks whether statements may be sent, and reports whether there is a commit
// among them. If they must not, the answers say that none was run.
func (c *Conn) allowCommit(deadline time.Time, sts []dbop.Statement) (index int, refused []dbop.Answer) {
	if c.pool == nil || c.pool.parent.Commits == nil {
		return -1, nil
	}
	index = c.commitIndex(sts)
	if index < 0 || c.pool.parent.Commits.AllowCommit(deadline, &c.pool.member) {
		return index, nil
	}
	return index, slices.Repeat([]dbop.Answer{{Code: dbop.Busy, State: c.state, Text: "another database may be about to become the primary"}}, len(sts))
}

// confirmCommit returns an error if the commit at an index, unless that is negative, was
// acknowledged but may be lost. after is the position of the last answer before.
func (c *Conn) confirmCommit(deadline time.Time, index int, answers []dbop.Answer, after ident.Position) error {
	if index < 0 || answers[index].Code != dbop.OK || c.pool.parent.Commits.ConfirmCommit(deadline, &c.pool.member, after) {
		return nil
	}
	return errUnconfirmed
}

// recordWrite tracks whether the open transaction has written, after an answer.
func (c *Conn) recordWrite(st *dbop.Statement, a *dbop.Answer) {
	c.wrote = a.State != dbop.Idle && (c.wrote || st.IsWrite())
}
