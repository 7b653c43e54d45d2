package dbpool

import (
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/roster"
)

// Guard limits the statements that are sent to databases.
type Guard interface {
	// Admit reports whether a statement that takes a slot may be sent to a database,
	// and returns a function to call after the answer. It may wait until the deadline.
	// Urgent statements go first.
	Admit(deadline time.Time, m *roster.Member, urgent bool) (release func(), ok bool)
	// Closed records that the database closed a connection.
	Closed(m *roster.Member)
}

// mayRunElsewhere reports whether a statement is a read that is not bound to a database
// by its transaction. Such reads queue, or run outside a transaction.
func (c *Conn) mayRunElsewhere(st *dbop.Statement) bool {
	switch st.Kind {
	case dbop.Read:
		return c.state == dbop.Idle || st.Scheduling.MaxWait > 0
	case dbop.Execute:
		return st.Scheduling.MaxWait > 0
	}
	return false
}

// admit asks the guard about the statements that take a slot, of which the engine sends
// one at a time: the first of several would be sent after a wait for the others. If they
// must not be sent, it returns their answers, with the code Crowded for a read that may
// run elsewhere and Busy for others. Otherwise release is to be called after the answers.
func (c *Conn) admit(deadline time.Time, sts []dbop.Statement) (release func(), refused []dbop.Answer) {
	g := c.pool.parent.Guard
	var releases []func()
	release = func() {
		for _, f := range releases {
			f()
		}
	}
	if g == nil {
		return release, nil
	}
	for i := range sts {
		if !sts[i].Kind.TakesSlot() {
			continue
		}
		elsewhere := c.mayRunElsewhere(&sts[i])
		f, ok := g.Admit(deadline, &c.pool.member, !elsewhere)
		if ok {
			releases = append(releases, f)
			continue
		}
		release()
		code := dbop.Busy
		if elsewhere {
			code = dbop.Crowded
		}
		return nil, slices.Repeat([]dbop.Answer{{Code: code, State: c.state, Text: "the database was started a short time ago"}}, len(sts))
	}
	return release, nil
}

// recordClosed tells the guard about an error that shows that the database closed the
// connection.
func (c *Conn) recordClosed(err error) {
	if g := c.pool.parent.Guard; g != nil && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		g.Closed(&c.pool.member)
	}
}
