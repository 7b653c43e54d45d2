package wire

import (
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// sendAndClose sends bytes to a connection, discards the answer, and closes it.
func sendAndClose(c net.Conn, b []byte) {
	go func() { _, _ = io.Copy(io.Discard, c) }()
	go func() { _, _ = c.Write(b) }()
	synctest.Wait()
	_ = c.Close()
	synctest.Wait()
}

// checkServing checks that the proxy holds no login or session any more and serves
// the next caller.
func (fx *fixture) checkServing(t *testing.T, is *is.I) {
	t.Helper()
	is.Equal(fx.srv.pendingLogins.Load(), int64(0))
	is.Equal(fx.srv.SessionCount(), 0)
	_, err := fx.connect().Exec(t.Context(), "SELECT 1")
	is.NoErr(err)
}

func encodeAll(list ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range list {
		b, _ = m.Encode(b)
	}
	return b
}

// FuzzStartup guards against startup packets that crash the server or leave a
// connection open.
func FuzzStartup(f *testing.F) {
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "taller"}}
	f.Add(encodeAll(start, &pgproto3.PasswordMessage{Password: "x"}))
	f.Add(encodeAll(&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}, start))
	f.Add(encodeAll(&pgproto3.CancelRequest{ProcessID: 7 << 16, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add([]byte{0, 0, 0, 8, 0, 3, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
			sendAndClose(fx.dialRaw(), b)
			fx.checkServing(t, is)
		})
	})
}

// FuzzMessages guards against messages of a logged-in caller that crash the server,
// leave a transaction open, or hold a connection to a target.
func FuzzMessages(f *testing.F) {
	f.Add(encodeAll(&pgproto3.Query{String: "BEGIN; INSERT INTO t VALUES (1)"}))
	f.Add(encodeAll(&pgproto3.Parse{Name: "p", Query: "SELECT $1"}, &pgproto3.Bind{PreparedStatement: "p", Parameters: [][]byte{{1}}}, &pgproto3.Execute{}, &pgproto3.Flush{}))
	f.Add(encodeAll(&pgproto3.Parse{Query: "SELECT 'syntax error'"}, &pgproto3.Flush{}, &pgproto3.Query{String: "SELECT 1"}, &pgproto3.Sync{}))
	f.Add(encodeAll(&pgproto3.Query{String: "SET chervil.idempotency_key = 'a''b'"}, &pgproto3.Query{String: "INSERT INTO t VALUES (1)"}))
	f.Add(encodeAll(&pgproto3.Close{ObjectType: 'P'}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Sync{}, &pgproto3.CopyFail{Message: "x"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
			sendAndClose(fx.loginRaw(), b)
			for _, tg := range fx.targets {
				for _, call := range tg.Calls() {
					is.True(call.SQL != "") // only whole statements reach a target
				}
			}
			fx.checkServing(t, is)
			open, idle := fx.pools.Size("g", "a")
			is.Equal(open, idle) // no transaction is left open
		})
	})
}
