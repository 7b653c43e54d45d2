package engine

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// Errors that a Caller returns from Receive.
var (
	// ErrNothing means that no message came before the deadline, or that Wake
	// was called.
	ErrNoMessage = errors.New("engine: no message")
	// ErrClosed means that the caller has ended its session.
	ErrClosed = errors.New("engine: the caller has ended the session")
)

// Login is what a caller gives at the start of a session.
type Login struct {
	Route ident.Route
	Key   string
}

// Caller is a caller's connection as the codec has it. Wake may be called from
// any goroutine, the other methods from that of the session.
type Caller interface {
	// Receive returns the next statement. One of no known form has no Kind. A
	// zero deadline never passes.
	Receive(deadline time.Time) (dbop.Statement, error)
	Send(*dbop.Answer) error
	// Pending reports whether a part of a further message was received.
	Pending() bool
	// Wake makes Receive return ErrNothing until Rest is called.
	Interrupt()
	ClearInterrupt()
	Close() error
}

// Access gives the catalogue in force with its keys; nil while there is none.
type Access interface {
	Index() *access.Index
}

// Limiter holds operations to their workspace's rate. An error means that the
// operation must not run.
type Limiter interface {
	Admit(ctx context.Context, ws ident.Workspace) error
}

// Leads knows the primaries of groups.
type Leads interface {
	// Await returns the primary of a group, and waits for it until the deadline.
	Await(deadline time.Time, g ident.Group) (roster.Member, bool)
	// Covering returns a position that covers the commits that were
	// acknowledged before since, by Config.Clock. It asks the primary if it
	// has to, until the deadline.
	Covering(deadline time.Time, g ident.Group, since time.Time) (ident.Position, bool)
	// Confirm notes that a database had the lead when it answered a request
	// that was sent at the given time, by Config.Clock, with a position.
	Confirm(g ident.Group, id ident.Target, pos ident.Position, sent time.Time)
	// Depose notes that a database refused for want of the lead.
	Depose(g ident.Group, id ident.Target)
	// Doubt notes that the primary did not answer.
	ReportUnanswered(g ident.Group, id ident.Target)
	// Stalled notes that a write or commit got no answer in its time; Wrote
	// notes one that did.
	ReportStalledWrite(g ident.Group, id ident.Target)
	ReportWrite(g ident.Group, id ident.Target)
}

// Meter counts what callers were told. Its methods must not block.
type Meter interface {
	CountAnswer(g *access.Grant, kind dbop.Kind, code dbop.Code, took time.Duration)
	CountRetry(reason dbop.Code)
}

// Place is where the VM is.
type Place struct {
	Zone   ident.Zone
	Region ident.Region
	// RegionOf returns the region of a zone.
	RegionOf func(ident.Zone) ident.Region
}

// Config has the parts of an Engine. All but Started, Clock and Meter are
// required.
type Config struct {
	Access  Access
	Limiter Limiter
	Leads   Leads
	Pools   *dbpool.Pools
	Roster  *roster.Table
	Place   Place
	// Started, unless nil, is closed when the VM is ready: logins wait for it
	// for startWait.
	Ready <-chan struct{}
	// Clock tells the time by which accepted ages count; nil stands for the
	// runtime's clock. Machines that can be suspended need one that counts the
	// suspension.
	Clock func() time.Time
	Meter Meter
	Log   zerolog.Logger
}
