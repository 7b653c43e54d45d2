package wire

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// TestQueryBehindError guards against a query that runs although it stands behind an error
// of an extended message: the protocol discards all messages up to the next Sync.
func TestQueryBehindError(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		r := fx.loginRaw()
		for _, m := range []pgproto3.FrontendMessage{
			&pgproto3.Bind{PreparedStatement: "unknown"}, &pgproto3.Query{String: "INSERT INTO t VALUES (1)"}, &pgproto3.Sync{},
		} {
			r.fe.Send(m)
		}
		sent := make(chan error)
		go func() { sent <- r.fe.Flush() }()
		kinds, _ := r.readUntilReady(t)
		is.NoErr(<-sent)
		is.Equal(kinds, "EZ")
		is.Equal(len(fx.targets["a"].Calls()), 0)
	})
}
