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

// startup brings a connection to its first ReadyForQuery. It reports whether
// the connection may go on.
func (c *session) startup(ctx context.Context) bool {
	msg := c.startupMessage()
	if msg == nil {
		return false
	}
	user := msg.Parameters["user"]
	c.admin, c.replica = user == AdminUser, user == ReplicationUser
	if !c.admin && (c.srv.faults.gate(ctx) != nil || c.silent.Load()) {
		return false
	}
	if !c.authenticate(user) {
		return c.reject(codePassword, "password authentication failed")
	}
	if !c.admin && !c.replica {
		if !c.srv.admit(c) {
			return c.reject(codeConnections, "too many connections")
		}
		if sleep(ctx, c.srv.faults.snapshot().connect) != nil {
			return false
		}
	}
	c.be.Send(&pgproto3.AuthenticationOk{})
	for i := range parameters {
		c.be.Send(&parameters[i])
	}
	c.be.Send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: c.secret})
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.be.Flush() == nil
}

// startupMessage reads up to the startup message. It returns nil when there is
// none to come.
func (c *session) startupMessage() *pgproto3.StartupMessage {
	for {
		msg, err := c.be.ReceiveStartupMessage()
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

func (c *session) authenticate(user string) bool {
	cfg := &c.srv.cfg
	if cfg.Password == "" {
		return true
	}
	c.be.Send(&pgproto3.AuthenticationCleartextPassword{})
	if c.be.Flush() != nil || c.be.SetAuthType(pgproto3.AuthTypeCleartextPassword) != nil {
		return false
	}
	msg, err := c.be.Receive()
	if err != nil {
		return false
	}
	m, ok := msg.(*pgproto3.PasswordMessage)
	if !ok || !c.admin && !c.replica && cfg.User != "" && user != cfg.User {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(m.Password), []byte(cfg.Password)) == 1
}

func (c *session) reject(code, text string) bool {
	c.be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: text + "; not run"})
	_ = c.be.Flush()
	return false
}
