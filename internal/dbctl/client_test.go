package dbctl

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// server answers queries on in-memory connections.
type server struct {
	conns   int
	closed  int
	silent  bool
	reply   func(sql string) []pgproto3.BackendMessage
	queries []string
}

func (s *server) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	s.conns++
	go s.serve(serverEnd)
	return clientEnd, nil
}

func (s *server) serve(c net.Conn) {
	defer func() { s.closed++ }()
	defer func() { _ = c.Close() }()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if b.Flush() != nil {
		return
	}
	var prepared string
	for {
		m, err := b.Receive()
		if err != nil {
			return
		}
		var out []pgproto3.BackendMessage
		switch m := m.(type) {
		case *pgproto3.Query:
			s.queries = append(s.queries, m.String)
			out = append(s.reply(m.String), &pgproto3.ReadyForQuery{TxStatus: 'I'})
		case *pgproto3.Parse:
			prepared = m.Query
		case *pgproto3.Describe:
			if r := s.reply(prepared); len(r) > 1 {
				out = r[:1]
			}
		case *pgproto3.Execute:
			s.queries = append(s.queries, prepared)
			out = s.reply(prepared)
			if len(out) > 1 {
				out = out[1:]
			}
		case *pgproto3.Sync:
			out = []pgproto3.BackendMessage{&pgproto3.ReadyForQuery{TxStatus: 'I'}}
		}
		if s.silent {
			continue
		}
		for _, r := range out {
			b.Send(r)
		}
		if b.Flush() != nil {
			return
		}
	}
}

func row(columns, values []string) []pgproto3.BackendMessage {
	var d pgproto3.RowDescription
	var r pgproto3.DataRow
	for i, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(c), DataTypeOID: 25})
		r.Values = append(r.Values, []byte(values[i]))
	}
	return []pgproto3.BackendMessage{&d, &r, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}}
}

var columns = []string{"target", "term", "role", "log_term", "log_index", "match_term", "quorum_term", "quorum_index", "primary", "contact_ms", "slots", "connections", "leaving"}

func statusRow(target, term, role, logTerm string) []pgproto3.BackendMessage {
	return row(columns, []string{target, term, role, logTerm, "17", "3", "3", "16", "a", "12", "5", "30", "f"})
}

func client(s *server) *Client {
	return New(Config{Target: "a", Address: "127.0.0.1:5432", User: "chervild", Dial: s.dial})
}

// TestCalls guards against statements other than those that targets expect, and
// against a status that is parsed wrongly.
func TestCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &server{reply: func(sql string) []pgproto3.BackendMessage {
			switch sql {
			case "SELECT chervil_has('3/16')":
				return row([]string{"chervil_has"}, []string{"t"})
			case "SELECT chervil_has('3/18')":
				return row([]string{"chervil_has"}, []string{"f"})
			}
			return statusRow("a", "3", "primary", "3")
		}}
		c := client(s)
		defer c.Close()
		ctx := t.Context()
		st, err := c.Status(ctx)
		is.NoErr(err)
		is.Equal(st, topo.Status{
			Target: "a", Term: 3, Role: topo.RolePrimary, Log: ident.Position{Term: 3, Index: 17}, MatchTerm: 3,
			Quorum: ident.Position{Term: 3, Index: 16}, Primary: "a", ContactAge: 12 * time.Millisecond, Slots: 5, Connections: 30,
		})
		_, err = c.RaiseTerm(ctx, 4)
		is.NoErr(err)
		is.NoErr(c.Promote(ctx, 4, []elect.Member{{ID: "a", Address: "h:1"}, {ID: "b", Address: "h:2"}}))
		is.NoErr(c.Follow(ctx, 4, "b", "h:2"))
		has, err := c.Has(ctx, ident.Position{Term: 3, Index: 16})
		is.True(err == nil && has)
		has, err = c.Has(ctx, ident.Position{Term: 3, Index: 18})
		is.True(err == nil && !has)
		is.Equal(s.queries[:4], []string{
			"SELECT * FROM chervil_status()", "SELECT * FROM chervil_raise_term(4)",
			"SELECT chervil_promote(4, 'a=h:1,b=h:2')", "SELECT chervil_follow(4, 'b', 'h:2')",
		})
		again, err := c.Status(ctx) // by the prepared statement
		is.NoErr(err)
		is.Equal(again, st)
		is.Equal(s.conns, 1)
	})
}

// TestAnswers guards against refusals that count as unknown outcomes or the other
// way round, and against accepting the status of another target.
func TestAnswers(t *testing.T) {
	refuse := func(code string) []pgproto3.BackendMessage {
		return []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "no"}}
	}
	for _, c := range []struct {
		reply   []pgproto3.BackendMessage
		kind    Kind
		outcome elect.Outcome
	}{
		{refuse("CV002"), KindSuperseded, elect.OutcomeRefused},
		{refuse("CV004"), KindRebuild, elect.OutcomeRefused},
		{refuse("42501"), KindRefused, elect.OutcomeRefused},
		{statusRow("b", "3", "primary", "3"), KindProtocol, elect.OutcomeUnknown},
		{statusRow("a", "x", "primary", "3"), KindProtocol, elect.OutcomeUnknown},
		{statusRow("a", "3", "chief", "3"), KindProtocol, elect.OutcomeUnknown},
		{row(columns[:3], []string{"a", "3", "replica"}), KindProtocol, elect.OutcomeUnknown},
		{nil, KindProtocol, elect.OutcomeUnknown},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			cl := client(&server{reply: func(string) []pgproto3.BackendMessage { return c.reply }})
			defer cl.Close()
			_, err := cl.Status(t.Context())
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, c.kind)
			is.Equal(elect.OutcomeOf(err), c.outcome)
		})
	}
}

// TestDeposed guards against a primary that has promised a higher term and is
// taken for the primary of that term.
func TestDeposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := client(&server{reply: func(string) []pgproto3.BackendMessage { return statusRow("a", "4", "primary", "3") }})
		defer c.Close()
		s, err := c.Status(t.Context())
		is.NoErr(err)
		is.Equal(s.Role, topo.RoleReplica)
	})
}

// TestSilent guards against a call that waits indefinitely on a silent connection,
// and against a late answer that is taken for that of the next call.
func TestSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &server{silent: true, reply: func(string) []pgproto3.BackendMessage { return statusRow("a", "3", "replica", "3") }}
		c := client(s)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := c.Status(ctx)
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindNoAnswer)
		is.Equal(time.Since(start), 300*time.Millisecond) // virtual time
		synctest.Wait()
		is.Equal(s.closed, 1)
		s.silent = false
		_, err = c.Status(t.Context())
		is.NoErr(err)
		is.Equal(s.conns, 2)
		c.Close()
		_, err = c.Status(t.Context())
		is.True(errors.As(err, &e) && e.Kind == KindClosed)
	})
}

// TestFloor guards against a floor from the answers of a minority, and against
// counting the answer of a database that is rebuilding its log.
func TestFloor(t *testing.T) {
	is := is.New(t)
	at := func(term ident.Term, index uint64, r topo.Role) topo.Status {
		return topo.Status{Log: ident.Position{Term: term, Index: index}, Role: r}
	}
	f := NewFloor(3)
	f.Add(at(2, 9, topo.RoleReplica), nil)
	_, done, _ := f.Result()
	is.True(!done)
	f.Add(at(9, 9, topo.RoleRebuild), nil)
	f.Add(at(3, 4, topo.RolePrimary), nil)
	p, done, err := f.Result()
	is.True(done && err == nil)
	is.Equal(p, ident.Position{Term: 3, Index: 4})
	f = NewFloor(3)
	f.Add(topo.Status{}, errors.New("gone"))
	f.Add(at(2, 9, topo.RoleRebuild), nil)
	_, done, err = f.Result()
	var e *Error
	is.True(done && errors.As(err, &e) && e.Kind == KindNoMajority)
}

// TestInputBehindAnswer guards against messages behind the answer to a call that are taken
// for the answer to the next one, such as a status from before a promotion.
func TestInputBehindAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &server{}
		s.reply = func(string) []pgproto3.BackendMessage {
			out := append(row([]string{"has"}, []string{"t"}), &pgproto3.ReadyForQuery{TxStatus: 'I'})
			return append(out, row([]string{"has"}, []string{"f"})...)
		}
		c := New(Config{Target: "a", Address: "10.0.0.1:5432", Dial: s.dial})
		defer c.Close()
		for range 3 {
			has, err := c.Has(t.Context(), ident.Position{Term: 1, Index: 1})
			is.NoErr(err)
			is.True(has)
		}
		is.Equal(s.conns, 3)
	})
}

// TestHugeAnswer guards against a length that takes memory as a corrupt target pleases.
func TestHugeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &server{}
		s.reply = func(string) []pgproto3.BackendMessage {
			return row([]string{"has"}, []string{string(make([]byte, 1<<20))})
		}
		c := New(Config{Target: "a", Address: "10.0.0.1:5432", Dial: s.dial})
		defer c.Close()
		_, err := c.Has(t.Context(), ident.Position{Term: 1, Index: 1})
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindNoAnswer)
	})
}
