package conns

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Groups is the shared table of database groups; *topo.Table implements it.
type Groups interface {
	Group(ident.Group) (topo.Group, bool)
	RecordApplied(ident.Group, ident.Target, ident.Position)
	RecordFailure(ident.Group, ident.Target, time.Time)
}

// Config has the settings of Pools. Groups is required.
type Config struct {
	// User and Password are the proxy's own credentials at the targets.
	User     string
	Password string
	// Database is used where a route names none; empty stands for User.
	Database string
	// TLS, unless nil, is used towards targets.
	TLS    *tls.Config
	Groups Groups
	// Suspect, unless nil, is told about a primary that could not be reached.
	SuspectPrimary func(ident.Group)
	// Limit returns the number of connections this VM may keep to a target;
	// nil stands for all that the target accepts. One is always allowed.
	ConnLimit func(topo.Target) int
	// Keep returns the number of connections that stay open while unused; nil
	// stands for Limit. Connections beyond it are closed after a short time
	// without use, so that a VM with much to do for a while does not hold
	// connections that the target needs for others.
	ConnShare func(topo.Target) int
	// ConnectTimeout bounds opening a connection; 0 stands for 1 s.
	ConnectTimeout time.Duration
	// IdleClose is the time after which an unused connection is closed; 0
	// stands for 30 s.
	IdleTimeout time.Duration
	// Statements bounds the prepared statements of a connection; 0 stands for
	// 256.
	StatementLimit int
	// Dial opens network connections; nil stands for a net.Dialer that makes
	// connections whose packets are not acknowledged for a second break.
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Log   zerolog.Logger
	Scope tally.Scope
}

func (c Config) withDefaults() Config {
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, time.Second)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 30*time.Second)
	c.StatementLimit = cmp.Or(c.StatementLimit, 256)
	if c.Dial == nil {
		c.Dial = dial
	}
	if c.ConnLimit == nil {
		c.ConnLimit = func(t topo.Target) int { return int(max(t.Config.Connections, t.Status.Connections)) }
	}
	if c.ConnShare == nil {
		c.ConnShare = c.ConnLimit
	}
	if c.SuspectPrimary == nil {
		c.SuspectPrimary = func(ident.Group) {}
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return c
}
