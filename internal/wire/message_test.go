package wire

import (
	"errors"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// TestPortalRowLimit guards against row limits that lose or repeat rows: Execute has
// to reach the target with its limit, on a portal that outlives Sync.
func TestPortalRowLimit(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		r := fx.loginRaw()
		send := func(list ...pgproto3.FrontendMessage) string {
			for _, m := range list {
				r.fe.Send(m)
			}
			sent := make(chan error)
			go func() { sent <- r.fe.Flush() }()
			kinds, _ := r.readUntilReady(t)
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

// TestMalformed guards against a message that can't be decoded and that ends more
// than its own session.
func TestMalformed(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		for _, b := range [][]byte{{'B', 0, 0, 0, 5, 1}, {'?', 0, 0, 0, 4}, {'Q', 0, 0, 0, 1}, {'D', 0, 0, 0, 4}, {'P', 255, 255, 255, 255}} {
			r := fx.loginRaw()
			_, err := r.Write(b)
			is.NoErr(err)
			kinds, code := r.readUntilReady(t)
			is.Equal(kinds, "E.")
			is.True(code == "08P01" || code == "54000")
		}
		_, err := fx.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
	})
}

// TestErrors guards against error messages to callers that do not end with the
// outcome.
func TestErrors(t *testing.T) {
	is := is.New(t)
	e := refusedError("x", codeTooMany, "the queue is full", errors.New("cause"))
	r := e.response()
	is.Equal(r.Message, "the queue is full; not run")
	is.Equal(r.Detail, "cause")
	is.Equal(r.Severity, "ERROR")
	is.Equal(e.SQLState(), "53300")
	is.Equal(fatalError("x", codeShutdown, "stop", nil).response().Severity, "FATAL")
}
