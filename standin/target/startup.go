package target

import (
	"context"
	"crypto/subtle"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	positionVar   = "chervil.position"
	floorVar      = "chervil.floor"
	maxAgeVar     = "chervil.max_age_ms"
	quorumChannel = "chervil_quorum"
)

// parameters are reported to each new connection.
var parameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.4"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// startup authenticates a connection and sends its first ReadyForQuery. It
// reports whether the connection was accepted.
func (c *session) startup(ctx context.Context) bool {
	msg := c.startupMessage()
	if msg == nil {
		return false
	}
	user := msg.Parameters["user"]
	c.admin, c.replica = user == AdminUser, user == ReplicationUser
	if !c.admin && (c.srv.faults.waitUnfrozen(ctx) != nil || c.unresponsive.Load()) {
		return false
	}
	if !c.authenticate(user) {
		return c.reject(codeBadPassword, "password authentication failed")
	}
	if !c.admin && !c.replica {
		if !c.srv.countConn(c) {
			return c.reject(codeTooManyConns, "too many connections")
		}
		if sleep(ctx, c.srv.faults.values().connectDelay) != nil {
			return false
		}
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for i := range parameters {
		c.backend.Send(&parameters[i])
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.backend.Flush() == nil
}

// startupMessage reads messages up to the startup message. It returns nil when
// the connection ends before, or carries a cancel request.
func (c *session) startupMessage() *pgproto3.StartupMessage {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil
			}
		case *pgproto3.CancelRequest:
			c.srv.cancelQuery(m)
			return nil
		case *pgproto3.StartupMessage:
			return m
		}
	}
}

// authenticate asks for the password, if one is configured, and reports whether
// it and the user name are accepted.
func (c *session) authenticate(user string) bool {
	cfg := &c.srv.cfg
	if cfg.Password == "" {
		return true
	}
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if c.backend.Flush() != nil || c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword) != nil {
		return false
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return false
	}
	m, ok := msg.(*pgproto3.PasswordMessage)
	if !ok || !c.admin && !c.replica && cfg.User != "" && user != cfg.User {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(m.Password), []byte(cfg.Password)) == 1
}

// reject sends a fatal error and returns false, the result of startup.
func (c *session) reject(code, text string) bool {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: text + "; not run"})
	_ = c.backend.Flush()
	return false
}
