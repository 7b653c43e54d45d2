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

func certificate(t *testing.T) *tls.Config {
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

// TestTLS guards against a key that is asked for in plain text where TLS is
// required, and against a client over TLS that can't log in.
func TestTLS(t *testing.T) {
	cfg := certificate(t)
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		_, err := k.tryConnect()
		is.Equal(code(err), "28000")
		c := k.connect(func(cfg *pgx.ConnConfig) {
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
			bubble(t, func(t *testing.T, is *is.I, k *kit) {
				ours, theirs := net.Pipe()
				go k.srv.ServeConn(&memConn{theirs, net.TCPAddr{IP: net.ParseIP(address)}})
				r := raw{Conn: ours, fe: pgproto3.NewFrontend(ours, ours)}
				r.fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "x"}})
				r.flush(t)
				go func() {
					r := raw{fe: pgproto3.NewFrontend(nil, ours)}
					r.fe.Send(&pgproto3.PasswordMessage{Password: "wrong"})
					_ = r.fe.Flush()
				}()
				_, code := r.until(t)
				is.Equal(code, want)
			})
		})
	}
}

// TestLogin guards against callers with a wrong key, and against parameters
// that would silently have no effect.
func TestLogin(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		_, err := k.tryConnect(func(c *pgx.ConnConfig) { c.Password = "wrong" })
		is.Equal(code(err), "28P01")
		_, err = k.tryConnect(func(c *pgx.ConnConfig) { c.RuntimeParams["search_path"] = "other" })
		is.Equal(code(err), "0A000")
		c := k.connect(func(c *pgx.ConnConfig) {
			c.RuntimeParams["application_name"] = "app"
			c.RuntimeParams["client_encoding"] = "UTF8"
		})
		var s string
		is.NoErr(c.QueryRow(t.Context(), "SHOW application_name").Scan(&s))
		is.Equal(s, "app")
		is.Equal(k.srv.SessionCount(), 1)
	})
}

// raw is a caller that sends bytes of its own choice.
type raw struct {
	net.Conn
	fe *pgproto3.Frontend
}

func (k *kit) raw() *raw {
	c, _ := k.dial(k.t.Context(), "", "")
	return &raw{Conn: c, fe: pgproto3.NewFrontend(c, c)}
}

// login returns a raw caller that is logged in.
func (k *kit) login() *raw {
	k.t.Helper()
	r := k.raw()
	r.fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "taller", "database": "orders"}})
	r.flush(k.t)
	if _, err := r.fe.Receive(); err != nil {
		k.t.Fatal(err)
	}
	r.fe.Send(&pgproto3.PasswordMessage{Password: "chv_k1_secret"})
	r.flush(k.t)
	r.until(k.t)
	return r
}

func (r *raw) flush(t *testing.T) {
	t.Helper()
	if err := r.fe.Flush(); err != nil {
		t.Fatal(err)
	}
}

// until reads up to ReadyForQuery or the end and returns what came, one letter
// a message, with the code of the last error.
func (r *raw) until(t *testing.T) (kinds, code string) {
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

// TestHandshake guards against startup packets that end the server, hold a
// place for ever, or get a session.
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
			bubble(t, func(t *testing.T, is *is.I, k *kit) {
				r := k.raw()
				_, _ = r.Write(test.bytes)
				_, code := r.until(t)
				is.Equal(code, test.code)
				synctest.Wait()
				is.Equal(k.srv.logins.Load(), int64(0))
				_, err := k.connect().Exec(t.Context(), "SELECT 1")
				is.NoErr(err)
			})
		})
	}
}

// TestNegotiation guards against requests for GSS encryption or TLS without an
// answer, which leaves clients waiting.
func TestNegotiation(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		r := k.raw()
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

// TestLoginLimit guards against connections that never log in and keep others out.
func TestLoginLimit(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		k.raw()
		k.raw()
		synctest.Wait()
		_, code := k.raw().until(t)
		is.Equal(code, "53300")
		time.Sleep(11 * time.Second) // the handshake time is over
		_, err := k.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
	}, func(c *Config) { c.MaxUnauthenticated = 2 })
}

// TestSessionLimit guards against more sessions than the settings allow.
func TestSessionLimit(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, k *kit) {
		first := k.connect()
		_, err := first.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		_, code := k.raw().until(t)
		is.Equal(code, "53300")
		is.NoErr(first.Close(t.Context()))
		synctest.Wait()
		_, err = k.connect().Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
	}, func(c *Config) { c.MaxSessions = 1 })
}

// TestMessages guards against frontend messages that leave a caller without an
// answer, out of step, or the server without its other callers.
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
			bubble(t, func(t *testing.T, is *is.I, k *kit) {
				r := k.login()
				go func() { // the pipe holds nothing, so sending waits for reading
					for _, m := range test.send {
						r.fe.Send(m)
					}
					_ = r.fe.Flush()
				}()
				kinds, code := r.until(t)
				if kinds == "SZ" || len(kinds) > 2 && kinds[len(kinds)-2:] == "SZ" && test.kinds[len(test.kinds)-min(2, len(test.kinds)):] != "SZ" {
					kinds = kinds[:len(kinds)-2] + "Z" // the first position of the session
				}
				is.Equal(kinds, test.kinds)
				is.Equal(code, test.code)
				_, err := k.connect().Exec(t.Context(), "SELECT 1")
				is.NoErr(err)
				is.Equal(k.targets["a"].Applied().Index-1, uint64(writes(test.kinds)))
				_ = r.Close()
			}, func(c *Config) { c.MaxMessageBytes = 1000 })
		})
	}
}

// writes returns how many writes a round of TestMessages commits: those that
// end in a new position.
func writes(kinds string) int {
	if len(kinds) > 1 && kinds[len(kinds)-2:] == "SZ" {
		return 1
	}
	return 0
}
