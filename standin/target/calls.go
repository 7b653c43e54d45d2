package target

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
	"chervilspan.example/standin/repl"
	"chervilspan.example/standin/sqldb"
)

// function is one of the target's own functions.
type function struct {
	params  []uint32
	columns []sqldb.Column
	run     func(ctx context.Context, c *session, a values) ([]any, error)
}

var statusColumns = []sqldb.Column{
	{Name: "target", OID: textOID},
	{Name: "term", OID: intOID},
	{Name: "role", OID: textOID},
	{Name: "log_term", OID: intOID},
	{Name: "log_index", OID: intOID},
	{Name: "match_term", OID: intOID},
	{Name: "quorum_term", OID: intOID},
	{Name: "quorum_index", OID: intOID},
	{Name: "primary", OID: textOID},
	{Name: "contact_ms", OID: intOID},
	{Name: "slots", OID: intOID},
	{Name: "connections", OID: intOID},
	{Name: "leaving", OID: boolOID},
}

func one(name string, oid uint32) []sqldb.Column { return []sqldb.Column{{Name: name, OID: oid}} }

// lookup returns a function by name; ok is false when there is none.
func lookup(name string) (f function, ok bool) {
	switch name {
	case "chervil_status":
		f = function{nil, statusColumns, callStatus}
	case "chervil_raise_term":
		f = function{[]uint32{intOID}, statusColumns, callRaise}
	case "chervil_promote":
		f = function{[]uint32{intOID, textOID}, one(name, textOID), callPromote}
	case "chervil_follow":
		f = function{[]uint32{intOID, textOID, textOID}, one(name, boolOID), callFollow}
	case "chervil_has":
		f = function{[]uint32{textOID}, one(name, boolOID), callHas}
	case "chervil_once":
		f = function{[]uint32{textOID, textOID, textOID}, one(name, textOID), callOnce}
	case "pg_sleep":
		f = function{[]uint32{floatOID}, one(name, textOID), callSleep}
	case "standin_stats":
		f = function{nil, statsColumns, callStats}
	case "standin_pull":
		f = function{[]uint32{textOID}, one(name, textOID), callPull}
	case "standin_fault":
		f = function{[]uint32{textOID, textOID}, one(name, boolOID), callFault}
	default:
		return f, false
	}
	return f, true
}

// describeCall returns the types of a call.
func describeCall(call *sqldb.Call) (*sqldb.Description, error) {
	f, ok := lookup(call.Name)
	if !ok || len(call.Args) != len(f.params) {
		return nil, refuse("42883", "function "+call.Name+" with "+strconv.Itoa(len(call.Args))+" arguments does not exist")
	}
	d := &sqldb.Description{}
	for i, a := range call.Args {
		for a.Param > len(d.Params) {
			d.Params = append(d.Params, textOID)
		}
		if a.Param > 0 {
			d.Params[a.Param-1] = f.params[i]
		}
	}
	if len(call.Fields) == 0 {
		d.Columns = f.columns
		return d, nil
	}
	for _, name := range call.Fields {
		i := columnIndex(f.columns, name)
		if i < 0 {
			return nil, refuse("42703", "column "+name+" does not exist")
		}
		d.Columns = append(d.Columns, f.columns[i])
	}
	return d, nil
}

func columnIndex(cols []sqldb.Column, name string) int {
	for i, c := range cols {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// call runs one of the target's own functions. Except for pg_sleep they need
// no slot, so that a status is answered while all slots are taken.
func (c *session) call(ctx context.Context, call *sqldb.Call, args []any) ([][]any, error) {
	f, ok := lookup(call.Name)
	if !ok {
		return nil, refuse("42883", "function "+call.Name+" does not exist")
	}
	in := make(values, len(call.Args))
	for i, a := range call.Args {
		in[i] = a.Value
		if a.Param > 0 {
			in[i] = args[a.Param-1]
		}
	}
	row, err := f.run(ctx, c, in)
	if err != nil {
		return nil, err
	}
	if len(call.Fields) == 0 {
		return [][]any{row}, nil
	}
	out := make([]any, len(call.Fields))
	for i, name := range call.Fields {
		out[i] = row[columnIndex(f.columns, name)]
	}
	return [][]any{out}, nil
}

// values are the arguments of a call.
type values []any

func (v values) text(i int) string { return sqldb.Text(v[i]) }

func (v values) term(i int) (ident.Term, error) {
	n, err := strconv.ParseUint(v.text(i), 10, 64)
	if err != nil {
		return 0, refuse(codeValue, "the term must be a whole number from 0 on")
	}
	return ident.Term(n), nil
}

func statusRow(s topo.Status) []any {
	contact := int64(-1)
	if s.ContactAge >= 0 {
		contact = s.ContactAge.Milliseconds()
	}
	return []any{
		string(s.Target), int64(s.Term), string(s.Role), int64(s.Log.Term), int64(s.Log.Index), int64(s.MatchTerm),
		int64(s.Quorum.Term), int64(s.Quorum.Index), string(s.Primary), contact,
		int64(s.Slots), int64(s.Connections), s.Leaving,
	}
}

func callStatus(_ context.Context, c *session, _ values) ([]any, error) {
	return statusRow(c.srv.status()), nil
}

func callRaise(_ context.Context, c *session, a values) ([]any, error) {
	term, err := a.term(0)
	if err != nil {
		return nil, err
	}
	if err := c.srv.raise(term); err != nil {
		return nil, err
	}
	return statusRow(c.srv.status()), nil
}

func callPromote(_ context.Context, c *session, a values) ([]any, error) {
	term, err := a.term(0)
	if err != nil {
		return nil, err
	}
	members, err := ParseMembers(a.text(1))
	if err != nil {
		return nil, refuse(codeValue, err.Error())
	}
	p, err := c.srv.promote(term, members)
	return []any{p.String()}, err
}

func callFollow(_ context.Context, c *session, a values) ([]any, error) {
	term, err := a.term(0)
	if err != nil {
		return nil, err
	}
	return []any{true}, c.srv.follow(term, ident.Target(a.text(1)), a.text(2))
}

func callHas(_ context.Context, c *session, a values) ([]any, error) {
	p, err := ident.ParsePosition(a.text(0))
	if err != nil {
		return nil, refuse(codeValue, err.Error())
	}
	return []any{c.srv.has(p)}, nil
}

func callOnce(ctx context.Context, c *session, a values) ([]any, error) {
	if !c.block {
		return nil, refuse(codeNoBlock, "chervil_once can only be used in a transaction block")
	}
	if c.readOnly {
		return nil, refuse(codeReadOnly, "cannot execute chervil_once in a read-only transaction")
	}
	if c.txn == nil {
		c.txn = &txn{}
	}
	tag, err := c.srv.record(ctx, c.txn, repl.IdempotencyRecord{Key: a.text(0), Fingerprint: a.text(1), Tag: a.text(2)})
	return []any{tag}, err
}

func callSleep(ctx context.Context, c *session, a values) ([]any, error) {
	seconds, err := strconv.ParseFloat(a.text(0), 64)
	if err != nil {
		return nil, refuse(codeValue, "pg_sleep takes a number of seconds")
	}
	return []any{""}, c.serve(ctx, time.Duration(seconds*float64(time.Second)))
}

func callPull(ctx context.Context, c *session, a values) ([]any, error) {
	if !c.replica {
		return nil, refuse(codePermission, "standin_pull is for replication connections")
	}
	var p repl.Pull
	if err := json.Unmarshal([]byte(a.text(0)), &p); err != nil {
		return nil, refuse(codeValue, err.Error())
	}
	answer, err := c.srv.answerPull(ctx, p)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(answer)
	return []any{string(raw)}, err
}

func callFault(_ context.Context, c *session, a values) ([]any, error) {
	if !c.admin {
		return nil, refuse(codePermission, "standin_fault is for user "+AdminUser)
	}
	if err := c.srv.SetFault(a.text(0), a.text(1)); err != nil {
		return nil, refuse(codeValue, err.Error())
	}
	return []any{true}, nil
}

var statsColumns = []sqldb.Column{
	{Name: "statements", OID: intOID},
	{Name: "reads", OID: intOID},
	{Name: "writes", OID: intOID},
	{Name: "commits", OID: intOID},
	{Name: "accepted", OID: intOID},
}

func callStats(_ context.Context, c *session, _ values) ([]any, error) {
	s := c.srv.Stats()
	return []any{s.Statements, s.Reads, s.Writes, s.Commits, s.Accepted}, nil
}
