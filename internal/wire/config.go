package wire

import (
	"cmp"
	"context"
	"crypto/tls"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/conns"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/sessn"
	"chervilspan.example/pkg/topo"
)

// Access decides what a caller may do. Errors carry SQLState() string.
type Access interface {
	Authenticate(ws ident.Workspace, route ident.Route, key string) (access.Authorization, error)
	// Check returns an error when the grant no longer holds.
	Check(g access.Authorization) error
}

// Refresher is implemented by an Access that can tell what a grant is under the
// catalogue in force. Without it a session keeps the limits of its login.
type Refresher interface {
	Refresh(g access.Authorization) (access.Authorization, error)
}

// Limiter holds statements to the workspace's rate and the target's slots.
// Errors carry SQLState() string and mean that nothing was run.
type Limiter interface {
	// Admit takes the right to run one statement.
	Admit(ctx context.Context, ws ident.Workspace) error
	// Acquire takes a slot of a target; release gives it back.
	Acquire(ctx context.Context, t ident.Target, ws ident.Workspace, weight uint32) (release func(), err error)
}

// Groups is the shared table of database groups; *topo.Table implements it.
type Groups interface {
	Group(ident.Group) (topo.Group, bool)
	RecordApplied(ident.Group, ident.Target, ident.Position)
	RecordFailure(ident.Group, ident.Target, time.Time)
}

// Control answers questions about a group that need more than one target.
type Control interface {
	// Floor returns a position that covers every write acknowledged so far.
	Floor(ctx context.Context, g ident.Group) (ident.Position, error)
	// Suspect asks for a probe of the group's primary.
	Suspect(g ident.Group)
	// Has reports whether the primary of a term above after holds the entry.
	Has(ctx context.Context, g ident.Group, p ident.Position, after ident.Term) (bool, error)
}

// CancelForwarder sends a cancel request to the VM whose number the process id
// carries.
type CancelForwarder interface {
	Forward(ctx context.Context, processID uint32, secret []byte)
}

// Config has the parts and settings of a Server. Access, Limiter, Groups,
// Control and Pools are required.
type Config struct {
	Access  Access
	Limiter Limiter
	Groups  Groups
	Control Control
	Pools   *conns.Pools
	// Cancel, unless nil, forwards cancel requests of other VMs' sessions.
	CancelForwarder CancelForwarder
	// Number is the VM's number in cancel keys, below 32768.
	VMNumber uint32
	Location sessn.Location
	// Region returns the region of a zone; nil stands for none.
	RegionOf func(ident.Zone) ident.Region
	// TLS, unless nil, is offered to callers. AllowPlain lets callers on
	// loopback addresses log in without it.
	TLS            *tls.Config
	AllowPlaintext bool
	// MaxUnauthenticated bounds connections that have not logged in; 0 stands
	// for 256.
	MaxUnauthenticated int
	// MaxSessions bounds the callers that have logged in; 0 stands for no bound.
	MaxSessions int
	// HandshakeTimeout bounds the login; 0 stands for 10 s.
	HandshakeTimeout time.Duration
	// MaxMessage bounds a message of a caller, in bytes; 0 stands for 16 MiB.
	MaxMessageBytes int
	// IdleTransaction bounds the wait for the next statement of an open
	// transaction; 0 stands for 60 s.
	IdleTransactionTimeout time.Duration
	// ServerVersion is reported to callers; "" stands for 17.0.
	ServerVersion string
	Log           zerolog.Logger
	Scope         tally.Scope
}

const (
	// defaultDeadline bounds statements of grants without a deadline.
	defaultDeadline = 5 * time.Second
	// sweepEvery is how often idle sessions are checked for withdrawn keys.
	sweepEvery = 500 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.MaxUnauthenticated = cmp.Or(c.MaxUnauthenticated, 256)
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, 10*time.Second)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, 16<<20)
	c.IdleTransactionTimeout = cmp.Or(c.IdleTransactionTimeout, 60*time.Second)
	c.ServerVersion = cmp.Or(c.ServerVersion, "17.0")
	if c.RegionOf == nil {
		c.RegionOf = func(ident.Zone) ident.Region { return "" }
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return c
}
