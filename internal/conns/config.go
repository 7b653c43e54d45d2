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

// Config holds the settings of Pools. Groups is required.
type Config struct {
	// User and Password are the proxy's own credentials at the targets.
	User     string
	Password string
	// Database is used when Get names no database; empty stands for User.
	Database string
	// TLS, unless nil, encrypts the connections to targets.
	TLS    *tls.Config
	Groups Groups
	// SuspectPrimary, unless nil, is called with the group of a primary that
	// could not be reached.
	SuspectPrimary func(ident.Group)
	// ConnLimit returns the number of connections that this VM may open to a
	// target; nil stands for all that the target accepts. One is always allowed.
	ConnLimit func(topo.Target) int
	// ConnShare returns this VM's share of a target's connections; nil stands
	// for ConnLimit. Connections beyond it are closed after 2 s without use, so
	// that a VM returns the connections of a short peak to the other VMs.
	ConnShare func(topo.Target) int
	// ConnectTimeout bounds opening a connection; 0 stands for 1 s.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed; 0
	// stands for 30 s.
	IdleTimeout time.Duration
	// StatementLimit bounds the prepared statements of a connection; 0 stands
	// for 256.
	StatementLimit int
	// Dial opens network connections; nil stands for a net.Dialer whose
	// connections break when sent data is not acknowledged within 1 s.
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
