package wire

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/stmt"
)

// Ends of a unit.
const (
	endQuery = 'Q'
	endSync  = 'S'
	endFlush = 'H'
)

// prepared is a statement that the caller prepared, kept as text.
type prepared struct {
	sql   string
	oids  []uint32
	query *stmt.Query
	// name is the one on target connections. It depends on text and types
	// only, so sessions share statements.
	name string
}

func newPrepared(m *pgproto3.Parse, q *stmt.Query) *prepared {
	h := sha256.New()
	h.Write([]byte(m.Query))
	for _, oid := range m.ParameterOIDs {
		h.Write([]byte("\x00" + strconv.FormatUint(uint64(oid), 10)))
	}
	return &prepared{
		sql: m.Query, oids: append([]uint32(nil), m.ParameterOIDs...), query: q,
		name: "chv_" + hex.EncodeToString(h.Sum(nil)[:16]),
	}
}

func (p *prepared) parse() *pgproto3.Parse {
	return &pgproto3.Parse{Name: p.name, Query: p.sql, ParameterOIDs: p.oids}
}

// info returns the classification of the statement; a text without one reads.
func (p *prepared) info() stmt.Info {
	if len(p.query.Statements) == 0 {
		return stmt.Info{ReadOnly: true}
	}
	return p.query.Statements[0]
}

// item is one extended message of a unit.
type item struct {
	msg  pgproto3.FrontendMessage
	stmt *prepared
	// name is the caller's name of the statement of a Parse.
	name string
	// local, unless nil, gives the answer without a target.
	local func() []pgproto3.BackendMessage
}

// unit is what a caller sends up to a point at which it waits for an answer.
type unit struct {
	simple *pgproto3.Query
	query  *stmt.Query
	items  []item
	end    byte
	// size is the number of bytes of the items.
	size int
	// parsed counts the Parse messages that were answered.
	parsed int

	// reads is false when a statement, executed or only prepared, may write.
	reads bool
	// writes tells whether a statement that may write is executed.
	writes bool
	// executes is the number of statements executed, controls not counted.
	executes int
	control  bool
	begins   bool
	commits  bool
	rollback bool
	rollTo   bool
	taints   bool
	// failed tells that the target answered with an error.
	failed bool
}

func newUnit() *unit { return &unit{reads: true} }

// simpleUnit returns the unit of a simple query.
func simpleUnit(m *pgproto3.Query, q *stmt.Query) *unit {
	u := newUnit()
	u.simple, u.query, u.end = &pgproto3.Query{String: m.String}, q, endQuery
	u.note(q, true)
	return u
}

// note takes the classification of a statement that the unit uses.
func (u *unit) note(q *stmt.Query, executed bool) {
	u.reads = u.reads && q.ReadOnly()
	u.taints = u.taints || q.Taints()
	if !executed {
		return
	}
	u.writes = u.writes || !q.ReadOnly()
	for _, i := range q.Statements {
		u.control = u.control || i.ControlsTransaction()
		u.begins = u.begins || i.Kind == stmt.KindBegin
		u.commits = u.commits || i.Kind == stmt.KindCommit
		u.rollback = u.rollback || i.Kind == stmt.KindRollback
		u.rollTo = u.rollTo || i.Kind == stmt.KindRollbackTo
		if !i.ControlsTransaction() && !i.AnsweredByProxy() {
			u.executes++
		}
	}
}

// onlyBegins reports whether the unit just begins a transaction, which by
// itself writes nothing.
func (u *unit) onlyBegins() bool { return u.begins && u.executes == 0 && !u.commits && !u.rollback }

// empty reports whether there is nothing to do but to report the status.
func (u *unit) empty() bool { return u.simple == nil && len(u.items) == 0 }

// local reports whether the proxy answers the whole unit itself.
func (u *unit) local() bool {
	if u.simple != nil {
		return len(u.query.Statements) == 0 || u.query.Statements[0].AnsweredByProxy()
	}
	for _, i := range u.items {
		if i.local == nil {
			return false
		}
	}
	return true
}

// fingerprint identifies the work of a unit for chervil_once.
func (u *unit) fingerprint() string {
	h := sha256.New()
	write := func(b []byte) {
		h.Write([]byte(strconv.Itoa(len(b)) + ":"))
		h.Write(b)
	}
	if u.simple != nil {
		write([]byte(u.simple.String))
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

// clone copies a message, whose memory belongs to the reader until its next
// message.
func clone(m pgproto3.FrontendMessage) (pgproto3.FrontendMessage, int, error) {
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
