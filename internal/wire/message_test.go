package wire

import (
	"errors"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// TestMessages guards against frontend messages that leave a caller without an
// answer, out of step, or the server without its other callers.
func TestMessages(t *testing.T) {
	type list = []pgproto3.FrontendMessage
	bind := func(portal, name, value string) *pgproto3.Bind {
		return &pgproto3.Bind{DestinationPortal: portal, PreparedStatement: name, Parameters: [][]byte{[]byte(value)}}
	}
	parse := func(name, sql string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: sql} }
	for name, test := range map[string]struct {
		send  list
		kinds string
		code  string
	}{
		"empty query":         {list{&pgproto3.Query{}}, "IZ", ""},
		"two statements":      {list{&pgproto3.Query{String: "SELECT 1; SELECT 2"}}, "TDCTDCZ", ""},
		"sync alone":          {list{&pgproto3.Sync{}}, "Z", ""},
		"whole round":         {list{parse("", "SELECT $1"), bind("", "", "x"), &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}}, "12TDCZ", ""},
		"parse and describe":  {list{parse("p", "SELECT $1"), &pgproto3.Describe{ObjectType: 'S', Name: "p"}, &pgproto3.Sync{}}, "1tTZ", ""},
		"close unknown":       {list{&pgproto3.Close{ObjectType: 'S', Name: "no"}, &pgproto3.Sync{}}, "3Z", ""},
		"unknown statement":   {list{bind("", "no", "x"), &pgproto3.Execute{}, &pgproto3.Sync{}}, "EZ", "26000"},
		"unknown portal":      {list{&pgproto3.Execute{Portal: "no"}, &pgproto3.Sync{}}, "EZ", "34000"},
		"error until sync":    {list{parse("", "SELECT 1, 'syntax error'"), parse("", "SELECT 1"), bind("", "", "x"), &pgproto3.Execute{}, &pgproto3.Sync{}}, "EZ", "42601"},
		"session state":       {list{parse("", "LISTEN a"), &pgproto3.Sync{}}, "EZ", "0A000"},
		"flush":               {list{parse("", "SELECT $1"), &pgproto3.Flush{}, bind("", "", "x"), &pgproto3.Execute{}, &pgproto3.Sync{}}, "12DCZ", ""},
		"flush, then a write": {list{parse("", "SELECT $1"), &pgproto3.Flush{}, parse("", "INSERT INTO t VALUES ($1)"), bind("", "", "x"), &pgproto3.Execute{}, &pgproto3.Sync{}}, "112CSZ", ""},
		"flushed write":       {list{parse("", "INSERT INTO t VALUES ($1)"), bind("", "", "x"), &pgproto3.Execute{}, &pgproto3.Flush{}, &pgproto3.Sync{}}, "12CSZ", ""},
		"error after flush":   {list{parse("", "SELECT 1, 'syntax error'"), &pgproto3.Flush{}, bind("", "", "x"), &pgproto3.Sync{}}, "EZ", "42601"},
		"refused after flush": {list{parse("", "INSERT INTO t VALUES ($1)"), bind("", "", "x"), &pgproto3.Execute{}, &pgproto3.Flush{}, parse("", "LISTEN a"), &pgproto3.Sync{}}, "12CEZ", "0A000"},
		"show by extended":    {list{parse("", "SHOW chervil.position"), &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}}, "12TDCZ", ""},
		"copy data":           {list{&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyDone{}, &pgproto3.Query{String: "SELECT 1"}}, "TDCZ", ""},
		"function call":       {list{&pgproto3.FunctionCall{Function: 1}}, "EZ", "0A000"},
		"name taken":          {list{parse("p", "SELECT 1"), parse("p", "SELECT 2"), &pgproto3.Sync{}}, "EZ", "42P05"},
		"password again":      {list{&pgproto3.PasswordMessage{Password: "x"}}, "E.", "08P01"},
		"too large":           {list{&pgproto3.Query{String: string(make([]byte, 2000))}}, "E.", "54000"},
		"terminate":           {list{&pgproto3.Terminate{}}, ".", ""},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I, k *kit) {
				r := k.login()
				go func() { // the pipe holds nothing, so sending waits for reading
					for _, m := range test.send {
						r.fe.Send(m)
					}
					_ = r.fe.Flush()
				}()
				kinds, code := r.until(t)
				if kinds == "SZ" || len(kinds) > 2 && kinds[len(kinds)-2:] == "SZ" && test.kinds[len(test.kinds)-min(2, len(test.kinds)):] != "SZ" {
					kinds = kinds[:len(kinds)-2] + "Z" // the first position of the session
				}
				is.Equal(kinds, test.kinds)
				is.Equal(code, test.code)
				_, err := k.connect().Exec(t.Context(), "SELECT 1")
				is.NoErr(err)
				is.Equal(k.targets["a"].Applied().Index-1, uint64(writes(test.kinds)))
				_ = r.Close()
			}, func(c *Config) { c.MaxMessage = 1000 })
		})
	}
}

// writes returns how many writes a round of TestMessages commits: those that
// end in a new position.
func writes(kinds string) int {
	if len(kinds) > 1 && kinds[len(kinds)-2:] == "SZ" {
		return 1
	}
	return 0
}

// TestPortal guards against row limits that lose or repeat rows, by passing
// Execute on with its limit.
func TestPortal(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		r := k.login()
		send := func(list ...pgproto3.FrontendMessage) string {
			for _, m := range list {
				r.fe.Send(m)
			}
			sent := make(chan error)
			go func() { sent <- r.fe.Flush() }()
			kinds, _ := r.until(t)
			is.NoErr(<-sent)
			return kinds
		}
		is.Equal(send(&pgproto3.Query{String: "BEGIN"}), "CZ")
		is.Equal(send(&pgproto3.Parse{Query: "SELECT $1"}, &pgproto3.Bind{DestinationPortal: "c", Parameters: [][]byte{[]byte("x")}}, &pgproto3.Sync{}), "12Z")
		is.Equal(send(&pgproto3.Execute{Portal: "c", MaxRows: 1}, &pgproto3.Sync{}), "DCZ") // the portal outlives Sync
		is.Equal(send(&pgproto3.Query{String: "COMMIT"}), "CSZ")
		is.Equal(send(&pgproto3.Execute{Portal: "c"}, &pgproto3.Sync{}), "EZ") // but not the transaction
	})
}

// TestMalformed guards against a message that the parser refuses and that ends
// more than its own session.
func TestMalformed(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		for _, b := range [][]byte{{'B', 0, 0, 0, 5, 1}, {'?', 0, 0, 0, 4}, {'Q', 0, 0, 0, 1}, {'D', 0, 0, 0, 4}, {'P', 255, 255, 255, 255}} {
			r := k.login()
			_, err := r.Write(b)
			is.NoErr(err)
			kinds, code := r.until(t)
			is.Equal(kinds, "E.")
			is.True(code == "08P01" || code == "54000")
		}
		_, err := k.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
	})
}

// TestErrors guards against messages to callers that do not end in the outcome.
func TestErrors(t *testing.T) {
	is := is.New(t)
	e := refuse("x", codeQueue, "the queue is full", errors.New("cause"))
	r := e.response()
	is.Equal(r.Message, "the queue is full; not run")
	is.Equal(r.Detail, "cause")
	is.Equal(r.Severity, "ERROR")
	is.Equal(e.SQLState(), "53300")
	is.Equal(fatal("x", codeDrain, "stop", nil).response().Severity, "FATAL")
}
