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
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

// Errors that Caller.Receive returns.
var (
	// ErrNoMessage means that no message arrived before the deadline, or that
	// Interrupt was called.
	ErrNoMessage = errors.New("engine: no message")
	// ErrClosed means that the caller ended its session.
	ErrClosed = errors.New("engine: the caller has ended the session")
)

// Login holds the route and key that a caller sends at the start of a session.
type Login struct {
	Route ident.Route
	Key   string
}

// Caller is the codec's side of a client connection. Interrupt may be called
// from any goroutine, the other methods only from the session's goroutine.
type Caller interface {
	// Receive returns the next statement. The Kind of a statement that has no known
	// form is unset. An *Error rejects a message that violates the protocol. A zero
	// deadline means no deadline.
	Receive(deadline time.Time) (dbop.Statement, error)
	Send(*dbop.Answer) error
	// Pending reports whether part of another message has arrived.
	Pending() bool
	// Interrupt makes Receive return ErrNoMessage until ClearInterrupt is called.
	Interrupt()
	ClearInterrupt()
	Close() error
}

// Access returns the catalogue in force with its key index, nil if there is none.
type Access interface {
	Index() *access.KeyIndex
}

// Limiter enforces the rate limit of a workspace. An error means that the
// operation must not run.
type Limiter interface {
	Admit(ctx context.Context, ws ident.Workspace) error
}

// Primaries tracks the primaries of groups.
type Primaries interface {
	// Await returns the primary of a group, waiting until the deadline for one
	// to be known.
	Await(deadline time.Time, g ident.Group) (roster.Member, bool)
	// CoveringPosition returns a position that includes all commits acknowledged
	// before since, by Config.Clock. It asks the primary if necessary, until the
	// deadline.
	CoveringPosition(deadline time.Time, g ident.Group, since time.Time) (ident.Position, bool)
	// RequestConfirmation prepares for AwaitConfirmation without waiting.
	RequestConfirmation(g ident.Group, id ident.Target, since time.Time)
	// AwaitConfirmation reports whether a database had not been replaced as the
	// primary at since, by Config.Clock, or later, so that what it answers after since
	// includes every commit acknowledged before. It asks other databases if necessary,
	// until the deadline.
	AwaitConfirmation(deadline time.Time, g ident.Group, id ident.Target, since time.Time) bool
	// Confirm reports that a database was the primary when it answered, with the
	// given position, a request sent at the given time by Config.Clock.
	Confirm(g ident.Group, id ident.Target, pos ident.Position, sent time.Time)
	// Depose reports that a database refused a request because it is not the
	// primary.
	Depose(g ident.Group, id ident.Target)
	// ReportUnanswered reports that the primary did not answer.
	ReportUnanswered(g ident.Group, id ident.Target)
	// ReportStalledWrite reports a write or commit that got no answer before its
	// deadline; ReportWrite reports one that succeeded.
	ReportStalledWrite(g ident.Group, id ident.Target)
	ReportWrite(g ident.Group, id ident.Target)
}

// Meter records metrics of answers and retries. Its methods must not block.
type Meter interface {
	CountAnswer(auth *access.Authorization, kind dbop.Kind, code dbop.Code, took time.Duration)
	CountRetry(reason dbop.Code)
	// CountShed counts a statement that was refused because of overload.
	CountShed(auth *access.Authorization, cause ShedCause)
	// CountRejection counts a message that violates the protocol.
	CountRejection(Kind)
}

// Place is the location of the VM.
type Place struct {
	Zone   ident.Zone
	Region ident.Region
	// RegionOf returns the region of a zone.
	RegionOf func(ident.Zone) ident.Region
}

// Config configures an Engine. All fields but CatalogueAge, AwaitCatalogue, ZoneStatus, Ramp,
// Ready, VMs, Clock, Meter and Log are required.
type Config struct {
	Access Access
	// CatalogueAge, unless nil, returns how long ago the catalogue in force was last known
	// to be the newest, for the log.
	CatalogueAge func() time.Duration
	// AwaitCatalogue, unless nil, is called before a caller is refused by the catalogue in
	// force. It may wait for a newer one, and reports whether it has waited.
	AwaitCatalogue func() bool
	Limiter        Limiter
	Primaries      Primaries
	Pools          *dbpool.Pools
	Roster         *roster.Table
	Place          Place
	// ZoneStatus, unless nil, returns how the databases of a zone may be used now.
	ZoneStatus func(ident.Zone) place.Status
	// Ramp, unless nil, returns which part of the reads that could run at a database
	// may do so: 0 while it is cold, 1 when it is warm.
	Ramp func(*roster.Member) float64
	// Ready, unless nil, is closed when the VM is ready to serve. Logins wait
	// for it for up to readyTimeout.
	Ready <-chan struct{}
	// VMs, unless nil, returns the number of VMs that share the databases.
	VMs func() int
	// Clock returns the time by which the age of data is measured; nil means
	// time.Now. Machines that can be suspended need a clock that includes the
	// time of suspension.
	Clock func() time.Time
	Meter Meter
	Log   zerolog.Logger
}
