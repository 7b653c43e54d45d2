package wire

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/stmt"
)

// What ends a unit: a simple query, Sync, or Flush.
const (
	endQuery = 'Q'
	endSync  = 'S'
	endFlush = 'H'
)

// prepared is a statement that the caller prepared. Its text is kept, so that it can
// be prepared on any target connection.
type prepared struct {
	sql           string
	parameterOIDs []uint32
	classified    *stmt.Query
	// targetName is the statement's name on target connections. It depends only
	// on the text and the parameter types, so that sessions share statements.
	targetName string
}

func newPrepared(m *pgproto3.Parse, q *stmt.Query) *prepared {
	h := sha256.New()
	h.Write([]byte(m.Query))
	for _, oid := range m.ParameterOIDs {
		h.Write([]byte("\x00" + strconv.FormatUint(uint64(oid), 10)))
	}
	return &prepared{
		sql: m.Query, parameterOIDs: append([]uint32(nil), m.ParameterOIDs...), classified: q,
		targetName: "chv_" + hex.EncodeToString(h.Sum(nil)[:16]),
	}
}

func (p *prepared) parseMessage() *pgproto3.Parse {
	return &pgproto3.Parse{Name: p.targetName, Query: p.sql, ParameterOIDs: p.parameterOIDs}
}

// info returns the classification of the statement. A text without a statement
// counts as read-only.
func (p *prepared) info() stmt.Info {
	if len(p.classified.Statements) == 0 {
		return stmt.Info{ReadOnly: true}
	}
	return p.classified.Statements[0]
}

// item is one message of the extended query protocol in a unit.
type item struct {
	msg  pgproto3.FrontendMessage
	stmt *prepared
	// stmtName is the name that the caller gives the statement in a Parse.
	stmtName string
	// localAnswer, unless nil, returns the proxy's own answer; the message is
	// then not sent to a target.
	localAnswer func() []pgproto3.BackendMessage
}

// unit is what a caller sends before it waits for an answer: a simple query, or the
// extended messages up to a Sync or Flush.
type unit struct {
	simpleQuery *pgproto3.Query
	classified  *stmt.Query
	items       []item
	end         byte
	// byteSize is the size of the encoded items.
	byteSize int
	// answeredParses counts the Parse messages that were answered.
	answeredParses int

	// readOnly is false when any statement of the unit may write, whether it is
	// executed or only prepared.
	readOnly bool
	// executesWrite is set when a statement that may write is executed.
	executesWrite bool
	// executions counts the statements to execute on a target, except those that
	// control a transaction.
	executions           int
	controlsTx           bool
	begins               bool
	commits              bool
	rollsBack            bool
	rollsBackToSavepoint bool
	// taints is set when a statement may leave session state on the connection.
	taints bool
	// failed is set when the target answered with an error.
	failed bool
}

func newUnit() *unit { return &unit{readOnly: true} }

// simpleUnit returns the unit of a simple query.
func simpleUnit(m *pgproto3.Query, q *stmt.Query) *unit {
	u := newUnit()
	u.simpleQuery, u.classified, u.end = &pgproto3.Query{String: m.String}, q, endQuery
	u.addQuery(q, true)
	return u
}

// addQuery adds the classification of a query that the unit executes, or only
// prepares, binds or describes.
func (u *unit) addQuery(q *stmt.Query, executed bool) {
	u.readOnly = u.readOnly && q.ReadOnly()
	u.taints = u.taints || q.Taints()
	if !executed {
		return
	}
	u.executesWrite = u.executesWrite || !q.ReadOnly()
	for _, i := range q.Statements {
		u.controlsTx = u.controlsTx || i.ControlsTransaction()
		u.begins = u.begins || i.Kind == stmt.KindBegin
		u.commits = u.commits || i.Kind == stmt.KindCommit
		u.rollsBack = u.rollsBack || i.Kind == stmt.KindRollback
		u.rollsBackToSavepoint = u.rollsBackToSavepoint || i.Kind == stmt.KindRollbackTo
		if !i.ControlsTransaction() && !i.AnsweredByProxy() {
			u.executions++
		}
	}
}

// onlyBegins reports whether the unit does nothing but begin a transaction, which by
// itself writes nothing.
func (u *unit) onlyBegins() bool {
	return u.begins && u.executions == 0 && !u.commits && !u.rollsBack
}

// isEmpty reports whether the unit has no messages, so that ReadyForQuery is the
// whole answer.
func (u *unit) isEmpty() bool { return u.simpleQuery == nil && len(u.items) == 0 }

// answeredByProxy reports whether the proxy answers the whole unit itself.
func (u *unit) answeredByProxy() bool {
	if u.simpleQuery != nil {
		return len(u.classified.Statements) == 0 || u.classified.Statements[0].AnsweredByProxy()
	}
	for _, i := range u.items {
		if i.localAnswer == nil {
			return false
		}
	}
	return true
}

// fingerprint returns a hash of a unit's statements and parameters, by which
// chervil_once tells a repetition from another use of the key.
func (u *unit) fingerprint() string {
	h := sha256.New()
	write := func(b []byte) {
		h.Write([]byte(strconv.Itoa(len(b)) + ":"))
		h.Write(b)
	}
	if u.simpleQuery != nil {
		write([]byte(u.simpleQuery.String))
	}
	for _, i := range u.items {
		if b, ok := i.msg.(*pgproto3.Bind); ok && i.stmt != nil {
			write([]byte(i.stmt.sql))
			for _, p := range b.Parameters {
				write(p)
			}
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// cloneMessage returns a copy of a message and its encoded size. The original is
// valid only until the next message is read.
func cloneMessage(m pgproto3.FrontendMessage) (pgproto3.FrontendMessage, int, error) {
	b, err := m.Encode(nil)
	if err != nil {
		return nil, 0, err
	}
	var c pgproto3.FrontendMessage
	switch m.(type) {
	case *pgproto3.Parse:
		c = &pgproto3.Parse{}
	case *pgproto3.Bind:
		c = &pgproto3.Bind{}
	case *pgproto3.Describe:
		c = &pgproto3.Describe{}
	case *pgproto3.Execute:
		c = &pgproto3.Execute{}
	default:
		c = &pgproto3.Close{}
	}
	const header = 5 // type and length
	return c, len(b), c.Decode(b[header:])
}
