package wire

import (
	"strconv"
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

// TestPortalLimit guards against a session that fills the memory of the VM and of a target
// with portals of ever new names.
func TestPortalLimit(t *testing.T) {
	withFixture(t, func(_ *testing.T, is *is.I, fx *fixture) {
		r := fx.loginRaw()
		list := []pgproto3.FrontendMessage{&pgproto3.Query{String: "BEGIN"}, &pgproto3.Parse{Query: "SELECT 1"}}
		for i := range maxPortals + 1 {
			list = append(list, &pgproto3.Bind{DestinationPortal: strconv.Itoa(i)})
			if i%100 == 99 { // an error drops the answers to the messages since Sync
				list = append(list, &pgproto3.Sync{})
			}
		}
		kinds, code := r.answerTo(encodeAll(append(list, &pgproto3.Sync{})...))
		is.Equal(strings.Count(kinds, "2"), maxPortals)
		is.Equal(code, codeTooMany)
	})
}
