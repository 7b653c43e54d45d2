package wire

import (
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// pour sends bytes to a connection, ignores what comes back, and closes it.
func pour(c net.Conn, b []byte) {
	go func() { _, _ = io.Copy(io.Discard, c) }()
	go func() { _, _ = c.Write(b) }()
	synctest.Wait()
	_ = c.Close()
	synctest.Wait()
}

// serves checks that the proxy has no trace of a caller and serves the next.
func (k *kit) serves(t *testing.T, is *is.I) {
	t.Helper()
	is.Equal(k.srv.logins.Load(), int64(0))
	is.Equal(k.srv.SessionCount(), 0)
	_, err := k.connect().Exec(t.Context(), "SELECT 1")
	is.NoErr(err)
}

func encoded(list ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range list {
		b, _ = m.Encode(b)
	}
	return b
}

// FuzzStartup guards against startup packets that end the server or leave a
// connection behind.
func FuzzStartup(f *testing.F) {
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "taller"}}
	f.Add(encoded(start, &pgproto3.PasswordMessage{Password: "x"}))
	f.Add(encoded(&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}, start))
	f.Add(encoded(&pgproto3.CancelRequest{ProcessID: 7 << 16, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add([]byte{0, 0, 0, 8, 0, 3, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		bubble(t, func(t *testing.T, is *is.I, k *kit) {
			pour(k.raw(), b)
			k.serves(t, is)
		})
	})
}

// FuzzMessages guards against messages of a logged-in caller that end the
// server, leave its transaction open, or keep a connection of a target.
func FuzzMessages(f *testing.F) {
	f.Add(encoded(&pgproto3.Query{String: "BEGIN; INSERT INTO t VALUES (1)"}))
	f.Add(encoded(&pgproto3.Parse{Name: "p", Query: "SELECT $1"}, &pgproto3.Bind{PreparedStatement: "p", Parameters: [][]byte{{1}}}, &pgproto3.Execute{}, &pgproto3.Flush{}))
	f.Add(encoded(&pgproto3.Parse{Query: "SELECT 'syntax error'"}, &pgproto3.Flush{}, &pgproto3.Query{String: "SELECT 1"}, &pgproto3.Sync{}))
	f.Add(encoded(&pgproto3.Query{String: "SET chervil.idempotency_key = 'a''b'"}, &pgproto3.Query{String: "INSERT INTO t VALUES (1)"}))
	f.Add(encoded(&pgproto3.Close{ObjectType: 'P'}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Sync{}, &pgproto3.CopyFail{Message: "x"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		bubble(t, func(t *testing.T, is *is.I, k *kit) {
			pour(k.login(), b)
			for _, tg := range k.targets {
				for _, call := range tg.Calls() {
					is.True(call.SQL != "") // only whole statements reach a target
				}
			}
			k.serves(t, is)
			open, idle := k.pools.Size("g", "a")
			is.Equal(open, idle) // no transaction is left open
		})
	})
}
