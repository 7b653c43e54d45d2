package wire

import (
	"encoding/binary"
	"slices"
	"strings"
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
func (r *rawClient) answerTo(b []byte) (kinds, code string) { return r.answerToPieces(b, len(b)) }

// answerToPieces is answerTo for bytes that arrive in pieces of n bytes.
func (r *rawClient) answerToPieces(b []byte, n int) (kinds, code string) {
	_ = r.SetReadDeadline(time.Time{})
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
	go func() {
		for p := range slices.Chunk(b, max(n, 1)) {
			_, _ = r.Write(p)
		}
	}()
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

// textsIn is a plain reader of the protocol: it returns the statements in the Query and Parse
// messages of a stream up to the first message that is broken, and how many messages ask
// for a ReadyForQuery. The targets of these tests run a Query statement by statement.
func textsIn(b []byte, limit int) (texts []string, ends int) {
	for len(b) >= 5 {
		kind, n := b[0], int64(int32(binary.BigEndian.Uint32(b[1:])))
		if n < 4 || n-4 > int64(limit) || n+1 > int64(len(b)) {
			return texts, ends
		}
		body := b[5 : n+1]
		b = b[n+1:]
		switch kind {
		case 'Q', 'S', 'F':
			ends++
		case 'X':
			return texts, ends
		}
		fields := strings.Split(string(body), "\x00")
		switch {
		case kind == 'Q' && len(fields) == 2:
			for s := range strings.SplitSeq(fields[0], ";") {
				texts = append(texts, strings.TrimSpace(s))
			}
		case kind == 'P' && len(fields) > 2:
			texts = append(texts, fields[1])
		}
	}
	return texts, ends
}

// FuzzStream guards against a session that reads another sequence of messages from the
// same bytes when they arrive in other pieces, runs a text that is not the whole text of a
// message, gives more than one end of an answer to a message, or goes on after a message
// that is broken. A plain reader of the protocol says which texts there are.
func FuzzStream(f *testing.F) {
	write, commit := &pgproto3.Query{String: insert}, &pgproto3.Query{String: "COMMIT"}
	extended := []pgproto3.FrontendMessage{&pgproto3.Parse{Query: insert}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}}
	hidden := encodeAll(write)
	f.Add(encodeAll(&pgproto3.Query{String: "BEGIN"}, write, commit), uint8(1))
	f.Add(encodeAll(&pgproto3.Query{String: "SELECT 1; COMMIT"}, write), uint8(3))
	f.Add(append([]byte{'Q', 0, 0, 0, byte(4 + len(hidden) + 1)}, append(hidden, 0)...), uint8(2)) // a message inside of a field
	f.Add(append(append(encodeAll(&pgproto3.Query{String: "BEGIN"}, write), 'Q', 0, 0, 0, 3), encodeAll(commit)...), uint8(4))
	f.Add(encodeAll(append(extended, commit)...), uint8(5))
	f.Add(append([]byte{'P', 0, 0, 0, 5, 'x'}, encodeAll(extended...)...), uint8(1))
	f.Add(encodeAll(&pgproto3.Bind{PreparedStatement: "no"}, write, &pgproto3.FunctionCall{}, &pgproto3.Sync{}, write), uint8(6))
	f.Add(append([]byte{'d', 0, 0, 0, 4, 'c', 0, 0, 0, 4}, hidden...), uint8(1))
	f.Fuzz(func(t *testing.T, b []byte, piece uint8) {
		if len(b) > 2000 {
			return
		}
		var kinds, codes [2]string
		for i, n := range []int{len(b), int(piece%16) + 1} {
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				r := fx.loginRaw()
				kinds[i], codes[i] = r.answerToPieces(b, n)
				texts, ends := textsIn(b, fx.srv.cfg.MaxMessageBytes)
				is.True(strings.Count(kinds[i], "Z") <= ends)
				for _, sql := range append(fx.targets["a"].SQL(), fx.targets["b"].SQL()...) {
					is.True(slices.Contains(texts, sql) || strings.Contains(sql, "chervil"))
				}
				_ = r.Close()
				synctest.Wait()
				fx.checkServing(t, is)
			})
		}
		is := is.New(t)
		is.Equal(kinds[0], kinds[1])
		is.Equal(codes[0], codes[1])
	})
}
