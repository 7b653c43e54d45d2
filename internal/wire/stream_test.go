package wire

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/ident"
)

// answerTo sends bytes and returns the answers up to the end of the connection, or up to
// the moment when nothing more happens.
func (r *rawClient) answerTo(b []byte) (kinds, code string) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			m, err := r.fe.Receive()
			if err != nil {
				kinds += "."
				return
			}
			e, _ := m.(pgproto3.BackendMessage).Encode(nil)
			if _, ok := m.(*pgproto3.ParameterStatus); !ok {
				kinds += string(e[0])
			}
			if m, ok := m.(*pgproto3.ErrorResponse); ok {
				code = m.Code
			}
		}
	}()
	go func() { _, _ = r.Write(b) }()
	synctest.Wait()
	_ = r.SetReadDeadline(time.Unix(1, 0))
	<-done
	return kinds, code
}

const insert = "INSERT INTO t VALUES (1)"

// TestSkipUntilSync guards against a query or a function call that runs although it stands
// between an error in the extended protocol and the next Sync, where PostgreSQL discards
// all messages: its caller has sent it for the case that the messages before it succeed.
func TestSkipUntilSync(t *testing.T) {
	for name, failing := range map[string][]pgproto3.FrontendMessage{
		"unknown statement": {&pgproto3.Bind{PreparedStatement: "no"}},
		"failed at target":  {&pgproto3.Parse{Query: "SELECT 'syntax error'"}, &pgproto3.Flush{}},
		"not yet run":       {&pgproto3.Parse{Query: "SELECT 'syntax error'"}},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(_ *testing.T, is *is.I, fx *fixture) {
				b := encodeAll(append(failing, &pgproto3.Query{String: insert}, &pgproto3.FunctionCall{}, &pgproto3.Query{String: insert}, &pgproto3.Sync{})...)
				kinds, _ := fx.loginRaw().answerTo(b)
				is.Equal(kinds, "EZ.")
				is.Equal(len(fx.targets["a"].SQL()), 0)
			})
		})
	}
}

// TestTruncatedMessage guards against a message without its last zero byte that ends the
// session without an answer and without a line in the log, before and after the login.
func TestTruncatedMessage(t *testing.T) {
	withFixture(t, func(_ *testing.T, is *is.I, fx *fixture) {
		for _, b := range [][]byte{{'P', 0, 0, 0, 5, 'x'}, {'E', 0, 0, 0, 5, 'x'}, {'P', 0, 0, 0, 4}} {
			kinds, code := fx.loginRaw().answerTo(b)
			is.Equal(kinds, "E.")
			is.Equal(code, codeProtocol)
		}
		start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "taller"}}
		kinds, code := fx.dialRaw().answerTo(append(encodeAll(start), 'p', 0, 0, 0, 5, 'x'))
		is.Equal(kinds, "RE.")
		is.Equal(code, codeProtocol)
	})
}

// TestErrorText guards against a zero byte in the text of an error, which ends the field
// that it stands in, so that the client reads the rest as another field.
func TestErrorText(t *testing.T) {
	is := is.New(t)
	e := fatalError("receive", "08P01", "a\x00Mb", &Error{Text: "c\x00d"})
	b, err := e.response().Encode(nil)
	is.NoErr(err)
	zeros := 0
	for _, c := range b[5:] {
		if c == 0 {
			zeros++
		}
	}
	is.Equal(zeros, 6) // one after each of the five fields, and one at the end
}

// TestCommitBehindError guards against a COMMIT that takes effect although it stands
// behind a message with a wrong length or type, where the rest can't be trusted.
func TestCommitBehindError(t *testing.T) {
	for name, bad := range map[string][]byte{
		"short length":  {'Q', 0, 0, 0, 3},
		"1 GiB":         {'Q', 0x40, 0, 0, 0},
		"negative":      {'Q', 0xff, 0xff, 0xff, 0xff},
		"unknown type":  {0, 0, 0, 0, 4},
		"zero in text":  {'Q', 0, 0, 0, 8, 'a', 0, 'b', 0},
		"startup again": {0, 0, 0, 8, 0, 3, 0, 0},
		"body of Sync":  {'S', 0, 0, 0, 5, 0},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				before := fx.targets["a"].Applied()
				b := encodeAll(&pgproto3.Query{String: "BEGIN"}, &pgproto3.Query{String: insert})
				b = append(append(b, bad...), encodeAll(&pgproto3.Query{String: "COMMIT"}, &pgproto3.Query{String: insert})...)
				kinds, _ := fx.loginRaw().answerTo(b)
				is.Equal(kinds, "CZCZE.")
				is.Equal(fx.targets["a"].Applied(), before)
				is.Equal(fx.targets["a"].SQL(), []string{insert})
				synctest.Wait()
				fx.checkServing(t, is)
			})
		})
	}
}

// panickingAccess fails in a way that no code expects.
type panickingAccess struct{ Access }

func (panickingAccess) Authenticate(ident.Workspace, ident.Route, string) (access.Authorization, error) {
	panic("unexpected")
}

// TestPanic guards against a panic on the input of one caller that ends the process of all.
func TestPanic(t *testing.T) {
	withFixture(t, func(_ *testing.T, is *is.I, fx *fixture) {
		start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "taller", "database": "orders"}}
		kinds, _ := fx.dialRaw().answerTo(encodeAll(start, &pgproto3.PasswordMessage{Password: "x"}))
		is.Equal(kinds, "R.")
		is.Equal(fx.srv.pendingLogins.Load(), int64(0))
	}, func(c *Config) { c.Access = panickingAccess{c.Access} })
}
