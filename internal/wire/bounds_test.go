package wire

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilspan.example/internal/wiretest"
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

// TestIncompleteAnswer guards against an answer that a target ends before all its parts
// came, and that the caller gets as the complete one, above all of a write.
func TestIncompleteAnswer(t *testing.T) {
	for name, list := range map[string][]pgproto3.FrontendMessage{
		"extended": {&pgproto3.Parse{Query: insert}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}},
		"simple":   {&pgproto3.Query{String: insert}},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(_ *testing.T, is *is.I, fx *fixture) {
				fx.targets["a"].Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{NoTag: true, Write: true} }
				kinds, code := fx.loginRaw().answerTo(encodeAll(list...))
				is.Equal(kinds, "EZ.")
				is.Equal(code, codeOutcomeUnknown)
				open, _ := fx.pools.Size("g", "a")
				is.Equal(open, 0)
			})
		})
	}
}

// TestLongNames guards against strangers who fill the log with names of their choice.
func TestLongNames(t *testing.T) {
	var log bytes.Buffer
	withFixture(t, func(_ *testing.T, is *is.I, fx *fixture) {
		for _, name := range []string{"user", "database", strings.Repeat("n", 3000)} {
			log.Reset()
			start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{name: strings.Repeat("x", 6000)}}
			kinds, _ := fx.dialRaw().answerTo(encodeAll(start, &pgproto3.PasswordMessage{Password: "wrong"}))
			is.True(strings.HasSuffix(kinds, "E."))
			is.True(log.Len() > 0 && log.Len() < 1000)
		}
	}, func(c *Config) { c.Log = zerolog.New(&log) })
}
