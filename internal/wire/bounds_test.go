package wire

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// TestPreparedBytes guards against a session that fills the memory of the VM with the texts
// of prepared statements, and against texts that still count after they were closed.
func TestPreparedBytes(t *testing.T) {
	withFixture(t, func(_ *testing.T, is *is.I, fx *fixture) {
		r := fx.loginRaw()
		parse := func(name string) string {
			m := &pgproto3.Parse{Name: name, Query: "SELECT '" + strings.Repeat("x", 500) + "'"}
			kinds, code := r.answerToPieces(encodeAll(m, &pgproto3.Sync{}), 1000)
			is.True(code == "" || code == codeTooMany)
			return kinds
		}
		for range 3 {
			is.Equal(parse("a"), "1Z.")
			is.Equal(parse(""), "EZ.")
			is.Equal(parse("b"), "EZ.")
			kinds, _ := r.answerTo(encodeAll(&pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}))
			is.Equal(kinds, "3Z.")
			is.Equal(parse(""), "1Z.")
			is.Equal(parse(""), "1Z.") // replaces the one before
			kinds, _ = r.answerTo(encodeAll(&pgproto3.Query{String: "DEALLOCATE ALL"}))
			is.Equal(kinds, "CZ.")
		}
	}, func(c *Config) { c.MaxMessageBytes = 900 })
}
