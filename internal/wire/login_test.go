package wire

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"io"
	"math/big"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

func selfSignedTLS(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

// TestTLS guards against a key that is requested in plain text where TLS is
// required, and against a client over TLS that can't log in.
func TestTLS(t *testing.T) {
	cfg := selfSignedTLS(t)
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		_, err := fx.tryConnect()
		is.Equal(code(err), "28000")
		c := fx.connect(func(cfg *pgx.ConnConfig) {
			cfg.TLSConfig = &tls.Config{InsecureSkipVerify: true}
		})
		_, err = c.Exec(t.Context(), "SELECT $1", "x")
		is.NoErr(err)
	}, func(c *Config) { c.AllowPlaintext, c.TLS = false, cfg })
}

// TestPlainLoopback guards against a key in plain text from another machine.
func TestPlainLoopback(t *testing.T) {
	for address, want := range map[string]string{"127.0.0.1": "28P01", "10.0.0.5": "28000"} {
		t.Run(address, func(t *testing.T) {
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				ours, theirs := net.Pipe()
				go fx.srv.ServeConn(&memConn{theirs, net.TCPAddr{IP: net.ParseIP(address)}})
				r := rawClient{Conn: ours, fe: pgproto3.NewFrontend(ours, ours)}
				r.fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "x"}})
				r.flush(t)
				go func() {
					r := rawClient{fe: pgproto3.NewFrontend(nil, ours)}
					r.fe.Send(&pgproto3.PasswordMessage{Password: "wrong"})
					_ = r.fe.Flush()
				}()
				_, code := r.readUntilReady(t)
				is.Equal(code, want)
			})
		})
	}
}

// TestLogin guards against callers with a wrong key, and against startup parameters
// that are accepted without having an effect.
func TestLogin(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		_, err := fx.tryConnect(func(c *pgx.ConnConfig) { c.Password = "wrong" })
		is.Equal(code(err), "28P01")
		_, err = fx.tryConnect(func(c *pgx.ConnConfig) { c.RuntimeParams["search_path"] = "other" })
		is.Equal(code(err), "0A000")
		c := fx.connect(func(c *pgx.ConnConfig) {
			c.RuntimeParams["application_name"] = "app"
			c.RuntimeParams["client_encoding"] = "UTF8"
		})
		var s string
		is.NoErr(c.QueryRow(t.Context(), "SHOW application_name").Scan(&s))
		is.Equal(s, "app")
		is.Equal(fx.srv.SessionCount(), 1)
	})
}

// rawClient is a caller that sends arbitrary bytes and messages.
type rawClient struct {
	net.Conn
	fe *pgproto3.Frontend
}

func (fx *fixture) dialRaw() *rawClient {
	c, _ := fx.dial(fx.t.Context(), "", "")
	return &rawClient{Conn: c, fe: pgproto3.NewFrontend(c, c)}
}

// loginRaw returns a raw caller that is logged in.
func (fx *fixture) loginRaw() *rawClient {
	fx.t.Helper()
	r := fx.dialRaw()
	r.fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "taller", "database": "orders"}})
	r.flush(fx.t)
	if _, err := r.fe.Receive(); err != nil {
		fx.t.Fatal(err)
	}
	r.fe.Send(&pgproto3.PasswordMessage{Password: "chv_k1_secret"})
	r.flush(fx.t)
	r.readUntilReady(fx.t)
	return r
}

func (r *rawClient) flush(t *testing.T) {
	t.Helper()
	if err := r.fe.Flush(); err != nil {
		t.Fatal(err)
	}
}

// readUntilReady reads up to ReadyForQuery or the end of the connection. It returns
// the type bytes of the messages, with a dot for the end, and the SQLSTATE of the
// last error.
func (r *rawClient) readUntilReady(t *testing.T) (kinds, code string) {
	t.Helper()
	for {
		m, err := r.fe.Receive()
		if err != nil {
			return kinds + ".", code
		}
		b, err := m.(pgproto3.BackendMessage).Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		kinds += string(b[0])
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			code = m.Code
		case *pgproto3.ReadyForQuery:
			return kinds, code
		}
	}
}

// TestHandshake guards against malformed startup packets that crash the server, stay
// counted as a login, or get a session.
func TestHandshake(t *testing.T) {
	packet := func(length int, body ...byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(length)), body...)
	}
	for name, test := range map[string]struct {
		bytes []byte
		code  string
	}{
		"negative length": {packet(-1), "08P01"},
		"huge length":     {packet(1 << 30), "08P01"},
		"short":           {packet(8, 0, 3), ""},
		"unknown version": {packet(8, 0, 9, 0, 0), "08P01"},
		"no terminator":   {packet(10, 0, 3, 0, 0, 'u', 's'), "08P01"},
		"nothing":         {nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				r := fx.dialRaw()
				_, _ = r.Write(test.bytes)
				_, code := r.readUntilReady(t)
				is.Equal(code, test.code)
				synctest.Wait()
				is.Equal(fx.srv.pendingLogins.Load(), int64(0))
				_, err := fx.connect().Exec(t.Context(), "SELECT 1")
				is.NoErr(err)
			})
		})
	}
}

// TestNegotiation guards against requests for GSS encryption, TLS or a later protocol
// version that get no answer, which leaves clients waiting.
func TestNegotiation(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		r := fx.dialRaw()
		for _, m := range []pgproto3.FrontendMessage{&pgproto3.GSSEncRequest{}, &pgproto3.SSLRequest{}} {
			r.fe.Send(m)
			r.flush(t)
			b := make([]byte, 1)
			_, err := io.ReadFull(r, b)
			is.NoErr(err)
			is.Equal(b[0], byte('N'))
		}
		r.fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32, Parameters: map[string]string{"user": "taller", "database": "orders", "_pq_.x": "1"}})
		r.flush(t)
		m, err := r.fe.Receive()
		is.NoErr(err)
		n, ok := m.(*pgproto3.NegotiateProtocolVersion)
		is.True(ok)
		is.Equal(n.UnrecognizedOptions, []string{"_pq_.x"})
	})
}

// TestLoginLimit guards against connections that never log in and keep others out,
// and against more of them than the settings allow.
func TestLoginLimit(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.dialRaw()
		fx.dialRaw()
		synctest.Wait()
		_, code := fx.dialRaw().readUntilReady(t)
		is.Equal(code, "53300")
		time.Sleep(11 * time.Second) // the handshake timeout has passed
		_, err := fx.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
	}, func(c *Config) { c.MaxUnauthenticated = 2 })
}

// TestSessionLimit guards against more sessions than the settings allow.
func TestSessionLimit(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		first := fx.connect()
		_, err := first.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		_, code := fx.dialRaw().readUntilReady(t)
		is.Equal(code, "53300")
		is.NoErr(first.Close(t.Context()))
		synctest.Wait()
		_, err = fx.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
	}, func(c *Config) { c.MaxSessions = 1 })
}

// TestRejectionLimit guards against a flood of connections of which each is kept until it has
// been told that there are too many.
func TestRejectionLimit(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		for range 4 { // two that log in, and two that do not read why they are refused
			fx.dialRaw()
			synctest.Wait()
		}
		start := time.Now()
		kinds, _ := fx.dialRaw().readUntilReady(t)
		is.Equal(kinds, ".")
		is.Equal(time.Since(start), time.Duration(0))
		time.Sleep(2 * lingerTimeout)
		_, code := fx.dialRaw().readUntilReady(t)
		is.Equal(code, "53300")
	}, func(c *Config) { c.MaxUnauthenticated = 2 })
}

// TestPlaintextBeforeTLS guards against bytes that were sent in plain text behind an
// SSLRequest and are read as if they had come through TLS, where anyone on the path could
// have put them (CVE-2021-23214 of PostgreSQL).
func TestPlaintextBeforeTLS(t *testing.T) {
	cfg := selfSignedTLS(t)
	withFixture(t, func(_ *testing.T, is *is.I, fx *fixture) {
		r := fx.dialRaw()
		start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "taller", "database": "orders"}}
		go func() {
			_, _ = r.Write(encodeAll(&pgproto3.SSLRequest{}, start, &pgproto3.PasswordMessage{Password: "chv_k1_secret"}))
		}()
		b, err := io.ReadAll(r) // up to the handshake timeout
		is.NoErr(err)
		is.Equal(string(b), "S")
		is.Equal(fx.srv.SessionCount(), 0)
	}, func(c *Config) { c.TLS = cfg })
}

// TestMessages guards against frontend messages that get no answer or a wrong
// sequence of messages, and against those that affect other callers.
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
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				r := fx.loginRaw()
				go func() { // the pipe is unbuffered, so a write waits for its reader
					for _, m := range test.send {
						r.fe.Send(m)
					}
					_ = r.fe.Flush()
				}()
				kinds, code := r.readUntilReady(t)
				if kinds == "SZ" || len(kinds) > 2 && kinds[len(kinds)-2:] == "SZ" && test.kinds[len(test.kinds)-min(2, len(test.kinds)):] != "SZ" {
					kinds = kinds[:len(kinds)-2] + "Z" // the first position of the session
				}
				is.Equal(kinds, test.kinds)
				is.Equal(code, test.code)
				_, err := fx.connect().Exec(t.Context(), "SELECT 1")
				is.NoErr(err)
				is.Equal(fx.targets["a"].Applied().Index-1, uint64(committedWrites(test.kinds)))
				_ = r.Close()
			}, func(c *Config) { c.MaxMessageBytes = 1000 })
		})
	}
}

// committedWrites returns how many writes a case of TestMessages commits: one if its
// answer ends with a new position.
func committedWrites(kinds string) int {
	if len(kinds) > 1 && kinds[len(kinds)-2:] == "SZ" {
		return 1
	}
	return 0
}
