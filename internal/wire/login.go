package wire

import (
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/stmt"
)

// maxPassword bounds messages before the login, in bytes. A key has some 60.
const maxPassword = 4096

// handshake is a connection that logs in.
type handshake struct {
	srv    *Server
	conn   net.Conn
	be     *pgproto3.Backend
	secure bool
	params map[string]string
	grant  access.Authorization
	floor  ident.Position
	resume bool
}

// login takes a connection to a session. The session is nil when the
// connection carried a cancel request.
func (s *Server) login(c net.Conn) (*session, error) {
	_ = c.SetDeadline(time.Now().Add(s.cfg.HandshakeTimeout))
	h := &handshake{srv: s, conn: c, be: pgproto3.NewBackend(c, c)}
	m, err := h.startup()
	if err != nil {
		return nil, h.refuse(err)
	}
	if m == nil {
		return nil, nil
	}
	if err := h.authenticate(m); err != nil {
		return nil, h.refuse(err)
	}
	sess := newSession(h)
	if !s.add(sess) {
		return nil, h.refuse(errDraining())
	}
	if err := sess.greet(h); err != nil {
		s.remove(sess)
		return nil, err
	}
	_ = h.conn.SetDeadline(time.Time{})
	return sess, nil
}

// refuse tells the caller why it can't log in.
func (h *handshake) refuse(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	evlog.At(h.srv.cfg.Log, evlog.LoginRefused).Str("workspace", h.params["user"]).
		Str("route", h.params["database"]).Str("reason", e.Text).Str("code", e.Code).Send()
	h.srv.meter.count("logins_refused")
	h.be.Send(e.response())
	_ = h.be.Flush()
	linger(h.conn)
	return err
}

// maxNegotiations bounds the encryption requests before a startup message; a
// caller sends at most one of each sort.
const maxNegotiations = 3

// startup returns the startup message, nil after a cancel request.
func (h *handshake) startup() (*pgproto3.StartupMessage, error) {
	for range maxNegotiations {
		m, err := h.be.ReceiveStartupMessage()
		if err != nil {
			if isStreamError(err) {
				return nil, err
			}
			return nil, fatal("startup", codeProtocol, "malformed startup packet", err)
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if err := h.encrypt(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := h.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			h.srv.handleCancel(m)
			return nil, nil
		case *pgproto3.StartupMessage:
			return m, nil
		}
	}
	return nil, fatal("startup", codeProtocol, "too many encryption requests", nil)
}

// encrypt answers an SSLRequest. A new Backend reads the encrypted stream, so
// bytes that came in plain text behind the request are never taken as part of it.
func (h *handshake) encrypt() error {
	if h.srv.cfg.TLS == nil || h.secure {
		_, err := h.conn.Write([]byte{'N'})
		return err
	}
	if _, err := h.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	c := tls.Server(h.conn, h.srv.cfg.TLS)
	if err := c.Handshake(); err != nil {
		return err
	}
	h.conn, h.secure = c, true
	h.be = pgproto3.NewBackend(c, c)
	return nil
}

func (h *handshake) authenticate(m *pgproto3.StartupMessage) error {
	h.params = m.Parameters
	if !h.secure && !h.plainAllowed() {
		return fatal("login", codeForbidden, "TLS is required", nil)
	}
	if err := h.parameters(m); err != nil {
		return err
	}
	key, err := h.password()
	if err != nil {
		return err
	}
	g, err := h.srv.cfg.Access.Authenticate(ident.Workspace(h.params["user"]), ident.Route(h.params["database"]), key)
	if err != nil {
		return fatal("login", sqlState(err, codeKey), err.Error(), nil)
	}
	h.grant = g
	return nil
}

// plainAllowed reports whether the key may come in plain text: the settings
// allow it, and it does not leave this machine.
func (h *handshake) plainAllowed() bool {
	if !h.srv.cfg.AllowPlaintext {
		return false
	}
	a, ok := h.conn.RemoteAddr().(*net.TCPAddr)
	return !ok || a.IP.IsLoopback()
}

// parameters checks the startup parameters.
func (h *handshake) parameters(m *pgproto3.StartupMessage) error {
	var unknown []string
	for name, value := range m.Parameters {
		switch {
		case name == "user", name == "database", name == stmt.VarApplicationName, stmt.HasFixedValue(name, value):
		case strings.HasPrefix(name, "_pq_."):
			unknown = append(unknown, name)
		case name == stmt.VarPosition:
			p, err := ident.ParsePosition(value)
			if err != nil {
				return fatal("login", codeBadValue, "the startup parameter chervil.position must have the form term/index", err)
			}
			h.floor, h.resume = p, !p.IsZero()
		default:
			return fatal("login", codeUnsupported, "the startup parameter "+name+" is not supported with this value", nil)
		}
	}
	if m.ProtocolVersion != pgproto3.ProtocolVersion30 || len(unknown) > 0 {
		h.be.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0, UnrecognizedOptions: unknown})
	}
	return nil
}

// password asks for the key in clear text.
func (h *handshake) password() (string, error) {
	h.be.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := h.be.Flush(); err != nil {
		return "", err
	}
	h.be.SetMaxBodyLen(maxPassword)
	_ = h.be.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	m, err := h.be.Receive()
	if err != nil {
		if isStreamError(err) {
			return "", err
		}
		return "", fatal("login", codeProtocol, "malformed password message", nil)
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok {
		return "", fatal("login", codeProtocol, "a password message was expected", nil)
	}
	return p.Password, nil
}

// greet tells the caller that it is logged in.
func (s *session) greet(h *handshake) error {
	s.out.add(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", s.srv.cfg.ServerVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"is_superuser", "off"},
		{"session_authorization", h.params["user"]},
		{stmt.VarApplicationName, s.app},
	} {
		s.out.add(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.out.add(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.ready()
	return s.out.flush()
}

// secretLen is the length of a cancel secret in version 3.0 of the protocol.
const secretLen = 4

func newSecret() []byte {
	b := make([]byte, secretLen)
	_, _ = rand.Read(b) // never fails
	return b
}

func (s *session) ownsSecret(secret []byte) bool {
	return subtle.ConstantTimeCompare(s.secret, secret) == 1
}

// isStreamError reports whether the connection ended, in which case there is
// nobody to answer.
func isStreamError(err error) bool {
	var e net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, io.ErrClosedPipe) || errors.As(err, &e)
}

const (
	// lingerTime and lingerBytes bound what is read from a caller that was
	// told why its connection ends. Closing at once could reset the connection
	// before the caller has read the message.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

func linger(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	w, ok := c.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c, lingerBytes)
}
