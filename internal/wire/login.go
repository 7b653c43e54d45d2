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

// maxPasswordBytes bounds the password message. A key has some 60 bytes.
const maxPasswordBytes = 4096

// handshake is a connection that is logging in.
type handshake struct {
	srv       *Server
	conn      net.Conn
	backend   *pgproto3.Backend
	encrypted bool
	params    map[string]string
	auth      access.Authorization
	// floor is the position with which the session starts, if hasPosition is set.
	floor       ident.Position
	hasPosition bool
}

// login performs the handshake and returns the new session. The session is nil when
// the connection carried a cancel request.
func (s *Server) login(c net.Conn) (*session, error) {
	_ = c.SetDeadline(time.Now().Add(s.cfg.HandshakeTimeout))
	h := &handshake{srv: s, conn: c, backend: pgproto3.NewBackend(c, c)}
	m, err := h.receiveStartup()
	if err != nil {
		return nil, h.reject(err)
	}
	if m == nil {
		return nil, nil
	}
	if err := h.authenticate(m); err != nil {
		return nil, h.reject(err)
	}
	sess := newSession(h)
	if !s.register(sess) {
		return nil, h.reject(drainError())
	}
	if err := sess.confirmLogin(h); err != nil {
		s.unregister(sess)
		return nil, err
	}
	_ = h.conn.SetDeadline(time.Time{})
	return sess, nil
}

// reject tells the caller why the login is refused.
func (h *handshake) reject(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	evlog.At(h.srv.cfg.Log, evlog.LoginRefused).Str("workspace", logText(h.params["user"])).
		Str("route", logText(h.params["database"])).Str("reason", logText(e.Text)).Str("code", e.Code).Send()
	h.srv.metrics.increment("logins_refused")
	h.backend.Send(e.response())
	_ = h.backend.Flush()
	linger(h.conn)
	return err
}

// maxLogText bounds what one field of an event has of a stranger's text, which has up to the
// length of a startup packet.
const maxLogText = 200

func logText(s string) string { return s[:min(len(s), maxLogText)] }

// maxStartupPackets bounds the packets read up to the startup message. A caller
// sends at most one encryption request of each of the two kinds before it.
const maxStartupPackets = 3

// receiveStartup answers encryption requests and returns the startup message, nil
// after a cancel request.
func (h *handshake) receiveStartup() (*pgproto3.StartupMessage, error) {
	for range maxStartupPackets {
		m, err := h.backend.ReceiveStartupMessage()
		if err != nil {
			if isConnectionEnd(err) {
				return nil, err
			}
			return nil, fatalError("startup", codeProtocol, "malformed startup packet", err)
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if err := h.startTLS(); err != nil {
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
	return nil, fatalError("startup", codeProtocol, "too many encryption requests", nil)
}

// startTLS answers an SSLRequest. A new Backend reads the encrypted stream, so that
// bytes sent in plain text after the request are never taken as part of it.
func (h *handshake) startTLS() error {
	if h.srv.cfg.TLS == nil || h.encrypted {
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
	h.conn, h.encrypted = c, true
	h.backend = pgproto3.NewBackend(c, c)
	return nil
}

// authenticate checks the startup parameters and the caller's key.
func (h *handshake) authenticate(m *pgproto3.StartupMessage) error {
	h.params = m.Parameters
	if !h.encrypted && !h.plaintextAllowed() {
		return fatalError("login", codeForbidden, "TLS is required", nil)
	}
	if err := h.checkParameters(m); err != nil {
		return err
	}
	key, err := h.requestPassword()
	if err != nil {
		return err
	}
	auth, err := h.srv.cfg.Access.Authenticate(ident.Workspace(h.params["user"]), ident.Route(h.params["database"]), key)
	if err != nil {
		return fatalError("login", sqlState(err, codeKeyRefused), err.Error(), nil)
	}
	h.auth = auth
	return nil
}

// plaintextAllowed reports whether the key may be sent unencrypted: the settings
// allow it and the caller is on this machine.
func (h *handshake) plaintextAllowed() bool {
	if !h.srv.cfg.AllowPlaintext {
		return false
	}
	a, ok := h.conn.RemoteAddr().(*net.TCPAddr)
	return !ok || a.IP.IsLoopback()
}

// checkParameters checks the startup parameters. It refuses those that would have no
// effect, negotiates the protocol version and its options, and takes the session's
// first floor from chervil.position.
func (h *handshake) checkParameters(m *pgproto3.StartupMessage) error {
	var unknown []string
	for name, value := range m.Parameters {
		switch {
		case name == "user", name == "database", name == stmt.VarApplicationName, stmt.HasFixedValue(name, value):
		case strings.HasPrefix(name, "_pq_."):
			unknown = append(unknown, name)
		case name == stmt.VarPosition:
			p, err := ident.ParsePosition(value)
			if err != nil {
				return fatalError("login", codeInvalidValue, "the startup parameter chervil.position must have the form term/index", err)
			}
			h.floor, h.hasPosition = p, !p.IsZero()
		default:
			return fatalError("login", codeUnsupported, "the startup parameter "+name+" is not supported with this value", nil)
		}
	}
	if m.ProtocolVersion != pgproto3.ProtocolVersion30 || len(unknown) > 0 {
		h.backend.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0, UnrecognizedOptions: unknown})
	}
	return nil
}

// requestPassword asks the caller for its key as a clear-text password.
func (h *handshake) requestPassword() (string, error) {
	h.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := h.backend.Flush(); err != nil {
		return "", err
	}
	h.backend.SetMaxBodyLen(maxPasswordBytes)
	_ = h.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	m, err := h.backend.Receive()
	if err != nil {
		if isConnectionEnd(err) && !isTruncated(err) {
			return "", err
		}
		return "", fatalError("login", codeProtocol, "malformed password message", nil)
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok {
		return "", fatalError("login", codeProtocol, "a password message was expected", nil)
	}
	return p.Password, nil
}

// confirmLogin tells the caller that it is logged in.
func (s *session) confirmLogin(h *handshake) error {
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
		{stmt.VarApplicationName, s.applicationName},
	} {
		s.out.add(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.out.add(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.cancelSecret})
	s.queueReady()
	return s.out.flush()
}

// cancelSecretLen is the length of a cancel key's secret in version 3.0 of the
// protocol, in bytes.
const cancelSecretLen = 4

func newCancelSecret() []byte {
	b := make([]byte, cancelSecretLen)
	_, _ = rand.Read(b) // never fails
	return b
}

func (s *session) matchesSecret(secret []byte) bool {
	return subtle.ConstantTimeCompare(s.cancelSecret, secret) == 1
}

// isConnectionEnd reports whether err means that the connection has ended, in which
// case no answer can be sent.
func isConnectionEnd(err error) bool {
	var e net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, io.ErrClosedPipe) || errors.As(err, &e)
}

// isTruncated reports whether err, of Backend.Receive, means that a message lacks the zero
// byte at the end of a string: its decoder returns io.EOF then. At the end of the
// connection the error is io.ErrUnexpectedEOF.
func isTruncated(err error) bool { return errors.Is(err, io.EOF) }

const (
	// lingerTimeout and lingerBytes bound what is read from a caller after the
	// error that ends its connection. Closing at once could reset the connection
	// before the caller has read the error.
	lingerTimeout = time.Second
	lingerBytes   = 1 << 20
)

// linger closes the sending side and discards what the caller still sends.
func linger(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(lingerTimeout))
	w, ok := c.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c, lingerBytes)
}
