package wire

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/conns"
)

// reply is what is expected in answer to one message of a unit: from the target, or
// from the proxy itself in its place in the order.
type reply struct {
	kind byte
	// hidden is set for the reply to a message that the caller did not send.
	hidden bool
	stmt   *prepared
	// answersParse is set for the reply to a Parse of the caller.
	answersParse bool
	// localAnswer returns the proxy's own messages of a replyLocal.
	localAnswer func() []pgproto3.BackendMessage
}

// Kinds of replies.
const (
	replyParse    = 'P'
	replyBind     = 'B'
	replyDescribe = 'D'
	replyExecute  = 'E'
	replyClose    = 'C'
	replyLocal    = 'L'
)

// answer sums up a target's answer to a unit.
type answer struct {
	// refused is the target's error, nil when there was none.
	refused *pgconn.PgError
	// commits and rollbacks count the transactions that a statement ended.
	commits   int
	rollbacks int
	// ended is set when the answer to a statement was complete.
	ended bool
	// lastTag is the last command tag.
	lastTag string
}

// committed reports whether the transaction that has just ended was committed,
// judged by the command tags of the answer.
func (a *answer) committed() bool { return a.commits > 0 || a.rollbacks == 0 && a.refused == nil }

// sendUnit queues a unit on a connection and returns the replies to expect; none
// for a simple query, whose answer ends at ReadyForQuery.
func (s *session) sendUnit(c *conns.Conn, u *unit) []reply {
	if u.simpleQuery != nil {
		c.Send(u.simpleQuery)
		return nil
	}
	var replies []reply
	for _, i := range u.items {
		replies = sendItem(c, i, replies)
	}
	if u.end == endSync {
		c.Send(&pgproto3.Sync{})
	} else {
		c.Send(&pgproto3.Flush{})
	}
	return replies
}

func sendItem(c *conns.Conn, i item, replies []reply) []reply {
	if i.localAnswer != nil {
		_, parse := i.msg.(*pgproto3.Parse)
		return append(replies, reply{kind: replyLocal, answersParse: parse, localAnswer: i.localAnswer})
	}
	switch m := i.msg.(type) {
	case *pgproto3.Parse:
		if c.Prepared(i.stmt.targetName) {
			return append(replies, reply{kind: replyLocal, answersParse: true, localAnswer: fixedAnswer(&pgproto3.ParseComplete{})})
		}
		return append(replies, sendParse(c, i, false))
	case *pgproto3.Bind:
		replies = ensurePrepared(c, i, replies)
		c.Send(m)
		return append(replies, reply{kind: replyBind})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			replies = ensurePrepared(c, i, replies)
		}
		c.Send(m)
		return append(replies, reply{kind: replyDescribe})
	case *pgproto3.Execute:
		c.Send(m)
		return append(replies, reply{kind: replyExecute})
	}
	c.Send(i.msg)
	return append(replies, reply{kind: replyClose})
}

// ensurePrepared queues a Parse of an item's statement unless it is prepared on the
// connection.
func ensurePrepared(c *conns.Conn, i item, replies []reply) []reply {
	if c.Prepared(i.stmt.targetName) {
		return replies
	}
	return append(replies, sendParse(c, i, true))
}

// sendParse queues the Parse of an item's statement and returns its reply.
func sendParse(c *conns.Conn, i item, hidden bool) reply {
	c.AddPrepared(i.stmt.targetName)
	c.Send(i.stmt.parseMessage())
	return reply{kind: replyParse, hidden: hidden, answersParse: !hidden, stmt: i.stmt}
}

// errCopy ends a connection on which a target starts COPY although statements with
// COPY are refused.
var errCopy = errors.New("the target started COPY")

// errIncomplete ends a connection on which a target ends an answer before all its parts
// came.
var errIncomplete = errors.New("the target ended an answer too early")

// forwardAnswer queues a target's answer to a unit for the caller. An error means
// that the connection failed before the answer was complete.
func (s *session) forwardAnswer(c *conns.Conn, u *unit, replies []reply) (answer, error) {
	var a answer
	for {
		replies = s.queueLocal(u, replies)
		if u.end == endFlush && (len(replies) == 0 || a.refused != nil) {
			return a, nil
		}
		m, err := c.Receive()
		if err != nil {
			return a, err
		}
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			if a.refused == nil && (len(replies) > 0 || u.simpleQuery != nil && !a.ended) {
				c.CloseOnPut()
				return a, errIncomplete
			}
			return a, nil
		case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
			c.CloseOnPut()
			return a, errCopy
		case *pgproto3.ErrorResponse:
			a.refused = pgconn.ErrorResponseToPgError(m)
			s.out.add(m)
			forgetUnconfirmed(c, replies)
			replies = nil
			if m.Severity == "FATAL" || m.Severity == "PANIC" {
				c.CloseOnPut()
				return a, a.refused
			}
			continue
		case *pgproto3.CommandComplete:
			a.recordTag(string(m.CommandTag))
			a.ended = true
		case *pgproto3.EmptyQueryResponse:
			a.ended = true
		}
		replies = s.forwardMessage(m, u, replies)
	}
}

func (a *answer) recordTag(tag string) {
	a.lastTag = tag
	switch tag {
	case "COMMIT":
		a.commits++
	case "ROLLBACK":
		a.rollbacks++
	}
}

// queueLocal queues the proxy's own replies that are next in order, and returns the
// remaining replies.
func (s *session) queueLocal(u *unit, replies []reply) []reply {
	for len(replies) > 0 && replies[0].kind == replyLocal {
		s.queueAll(replies[0].localAnswer())
		replies = u.completeReply(replies)
	}
	return replies
}

// forwardMessage queues a target's message for the caller, unless it is hidden, and
// returns the replies still to come.
func (s *session) forwardMessage(m pgproto3.BackendMessage, u *unit, replies []reply) []reply {
	if len(replies) == 0 {
		s.out.add(m)
		return replies
	}
	if !replies[0].hidden {
		s.out.add(m)
	}
	if completesReply(m, replies[0].kind) {
		return u.completeReply(replies)
	}
	return replies
}

// completeReply removes the first reply from the list and counts it if it answers
// a Parse.
func (u *unit) completeReply(replies []reply) []reply {
	if replies[0].answersParse {
		u.answeredParses++
	}
	return replies[1:]
}

// completesReply reports whether a message is the last of a reply.
func completesReply(m pgproto3.BackendMessage, kind byte) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return kind == replyParse
	case *pgproto3.BindComplete:
		return kind == replyBind
	case *pgproto3.CloseComplete:
		return kind == replyClose
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return kind == replyDescribe
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return kind == replyExecute
	}
	return false
}

// forgetUnconfirmed removes the statements whose Parse the target did not confirm
// from those that are prepared on the connection.
func forgetUnconfirmed(c *conns.Conn, replies []reply) {
	for _, r := range replies {
		if r.kind == replyParse {
			c.RemovePrepared(r.stmt.targetName)
		}
	}
}

// forgetUnparsed removes the prepared statements of a unit that failed before the
// Parse messages that define them were answered.
func (s *session) forgetUnparsed(u *unit) {
	parsed := 0
	for _, i := range u.items {
		if _, ok := i.msg.(*pgproto3.Parse); !ok {
			continue
		}
		parsed++
		if parsed > u.answeredParses && s.stmts[i.stmtName] == i.stmt {
			s.dropStmt(i.stmtName)
		}
	}
}
