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
	// Authenticate returns what the caller with this key is authorized to do.
	Authenticate(ws ident.Workspace, route ident.Route, key string) (access.Authorization, error)
	// Check returns an error when the authorization is no longer valid, or when
	// this VM can't tell.
	Check(auth access.Authorization) error
}

// Refresher is implemented by an Access that can update an authorization to the
// catalogue in force. Without it a session keeps the limits of its login.
type Refresher interface {
	Refresh(auth access.Authorization) (access.Authorization, error)
}

// Limiter enforces the workspaces' rates and the targets' slots.
// Errors carry SQLState() string and mean that nothing was run.
type Limiter interface {
	// Admit charges one statement to the workspace's rate. It may wait.
	Admit(ctx context.Context, ws ident.Workspace) error
	// Acquire takes a slot of a target; release returns it.
	Acquire(ctx context.Context, t ident.Target, ws ident.Workspace, weight uint32) (release func(), err error)
}

// Groups is the shared table of database groups; *topo.Table implements it.
type Groups interface {
	Group(ident.Group) (topo.Group, bool)
	RecordApplied(ident.Group, ident.Target, ident.Position)
	RecordFailure(ident.Group, ident.Target, time.Time)
}

// Control answers questions about a group for which more than one target has to be
// asked.
type Control interface {
	// Floor returns a position that covers every write acknowledged so far.
	Floor(ctx context.Context, g ident.Group) (ident.Position, error)
	// Suspect asks for a probe of the group's primary.
	Suspect(g ident.Group)
	// Has reports whether the primary of a term above after has the log entry p.
	Has(ctx context.Context, g ident.Group, p ident.Position, after ident.Term) (bool, error)
}

// CancelForwarder sends a cancel request to the VM whose number is part of the
// process id.
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
	// CancelForwarder, unless nil, forwards cancel requests for sessions of other
	// VMs.
	CancelForwarder CancelForwarder
	// VMNumber is this VM's number in cancel keys, below 32768.
	VMNumber uint32
	Location sessn.Location
	// RegionOf returns the region of a zone; nil means that regions are unknown.
	RegionOf func(ident.Zone) ident.Region
	// TLS, unless nil, is offered to callers. AllowPlaintext lets callers on
	// loopback addresses log in without it.
	TLS            *tls.Config
	AllowPlaintext bool
	// MaxUnauthenticated bounds the connections that have not logged in; 0
	// stands for 256.
	MaxUnauthenticated int
	// MaxSessions bounds the callers that have logged in; 0 stands for no bound.
	MaxSessions int
	// HandshakeTimeout bounds the login; 0 stands for 10 s.
	HandshakeTimeout time.Duration
	// MaxMessageBytes bounds the size of a caller's message; 0 stands for 16 MiB.
	MaxMessageBytes int
	// IdleTransactionTimeout bounds the wait for the next statement of an open
	// transaction; 0 stands for 60 s.
	IdleTransactionTimeout time.Duration
	// ServerVersion is reported to callers; "" stands for 17.0.
	ServerVersion string
	Log           zerolog.Logger
	Scope         tally.Scope
}

const (
	// defaultRequestTimeout bounds a unit of a session whose authorization sets no
	// timeout.
	defaultRequestTimeout = 5 * time.Second
	// sweepInterval is the interval at which sessions are checked for withdrawn
	// keys.
	sweepInterval = 500 * time.Millisecond
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
