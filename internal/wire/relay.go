package wire

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/conns"
)

// step is an answer that is expected from a target, or one of the proxy's own
// in its place among them.
type step struct {
	kind byte
	// hidden answers are to messages that the caller did not send.
	hidden bool
	stmt   *prepared
	// parse marks the answer to a Parse of the caller.
	parse bool
	local func() []pgproto3.BackendMessage
}

// Kinds of steps.
const (
	stepParse    = 'P'
	stepBind     = 'B'
	stepDescribe = 'D'
	stepExecute  = 'E'
	stepClose    = 'C'
	stepLocal    = 'L'
)

// answer is what a target made of a unit.
type answer struct {
	// refused is the target's error, nil when there was none.
	refused *pgconn.PgError
	// commits and rollbacks count the transactions that ended by statement.
	commits   int
	rollbacks int
	// last is the last command tag.
	last string
}

// committed reports whether the transaction that has just ended was committed,
// as far as its command tags say.
func (a *answer) committed() bool { return a.commits > 0 || a.rollbacks == 0 && a.refused == nil }

// send queues a unit on a connection and returns what the target will answer.
func (s *session) send(c *conns.Conn, u *unit) []step {
	if u.simple != nil {
		c.Send(u.simple)
		return nil
	}
	var steps []step
	for _, i := range u.items {
		steps = sendItem(c, i, steps)
	}
	if u.end == endSync {
		c.Send(&pgproto3.Sync{})
	} else {
		c.Send(&pgproto3.Flush{})
	}
	return steps
}

func sendItem(c *conns.Conn, i item, steps []step) []step {
	if i.local != nil {
		_, parse := i.msg.(*pgproto3.Parse)
		return append(steps, step{kind: stepLocal, parse: parse, local: i.local})
	}
	switch m := i.msg.(type) {
	case *pgproto3.Parse:
		if c.Prepared(i.stmt.name) {
			return append(steps, step{kind: stepLocal, parse: true, local: answerWith(&pgproto3.ParseComplete{})})
		}
		return append(steps, sendParse(c, i, false))
	case *pgproto3.Bind:
		steps = ensure(c, i, steps)
		c.Send(m)
		return append(steps, step{kind: stepBind})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			steps = ensure(c, i, steps)
		}
		c.Send(m)
		return append(steps, step{kind: stepDescribe})
	case *pgproto3.Execute:
		c.Send(m)
		return append(steps, step{kind: stepExecute})
	}
	c.Send(i.msg)
	return append(steps, step{kind: stepClose})
}

// ensure prepares the statement of an item unless the connection has it.
func ensure(c *conns.Conn, i item, steps []step) []step {
	if c.Prepared(i.stmt.name) {
		return steps
	}
	return append(steps, sendParse(c, i, true))
}

func sendParse(c *conns.Conn, i item, hidden bool) step {
	c.AddPrepared(i.stmt.name)
	c.Send(i.stmt.parse())
	return step{kind: stepParse, hidden: hidden, parse: !hidden, stmt: i.stmt}
}

// errCopy ends a connection on which a target starts COPY all the same.
var errCopy = errors.New("the target started COPY")

// relay passes a target's answer to a unit on. An error means that the
// connection failed before the answer was complete.
func (s *session) relay(c *conns.Conn, u *unit, steps []step) (answer, error) {
	var a answer
	for {
		steps = s.local(u, steps)
		if u.end == endFlush && (len(steps) == 0 || a.refused != nil) {
			return a, nil
		}
		m, err := c.Receive()
		if err != nil {
			return a, err
		}
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			return a, nil
		case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
			c.CloseOnPut()
			return a, errCopy
		case *pgproto3.ErrorResponse:
			a.refused = pgconn.ErrorResponseToPgError(m)
			s.out.add(m)
			undo(c, steps)
			steps = nil
			if m.Severity == "FATAL" || m.Severity == "PANIC" {
				c.CloseOnPut()
				return a, a.refused
			}
			continue
		case *pgproto3.CommandComplete:
			a.tag(string(m.CommandTag))
		}
		steps = s.pass(m, u, steps)
	}
}

func (a *answer) tag(tag string) {
	a.last = tag
	switch tag {
	case "COMMIT":
		a.commits++
	case "ROLLBACK":
		a.rollbacks++
	}
}

// local gives the proxy's own answers that are due.
func (s *session) local(u *unit, steps []step) []step {
	for len(steps) > 0 && steps[0].kind == stepLocal {
		s.emit(steps[0].local())
		steps = u.complete(steps)
	}
	return steps
}

// pass hands a message to the caller and returns the steps still to come.
func (s *session) pass(m pgproto3.BackendMessage, u *unit, steps []step) []step {
	if len(steps) == 0 {
		s.out.add(m)
		return steps
	}
	if !steps[0].hidden {
		s.out.add(m)
	}
	if ends(m, steps[0].kind) {
		return u.complete(steps)
	}
	return steps
}

// complete takes the first step off the list.
func (u *unit) complete(steps []step) []step {
	if steps[0].parse {
		u.parsed++
	}
	return steps[1:]
}

// ends reports whether a message completes a step.
func ends(m pgproto3.BackendMessage, kind byte) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return kind == stepParse
	case *pgproto3.BindComplete:
		return kind == stepBind
	case *pgproto3.CloseComplete:
		return kind == stepClose
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return kind == stepDescribe
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return kind == stepExecute
	}
	return false
}

// undo forgets the statements whose Parse the target did not confirm.
func undo(c *conns.Conn, steps []step) {
	for _, st := range steps {
		if st.kind == stepParse {
			c.RemovePrepared(st.stmt.name)
		}
	}
}

// forget drops the statements of a unit that failed before they were parsed.
func (s *session) forget(u *unit) {
	parsed := 0
	for _, i := range u.items {
		if _, ok := i.msg.(*pgproto3.Parse); !ok {
			continue
		}
		parsed++
		if parsed > u.parsed && s.stmts[i.name] == i.stmt {
			delete(s.stmts, i.name)
		}
	}
}
