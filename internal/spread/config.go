package spread

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/fresh"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/topo"
)

// Clients gives clients of peers by address. A *peer.Cache is one.
type Clients interface {
	Client(address string) (peerpb.PeerClient, error)
}

// Config has the parameters of a Spread. Self, Store and Peers are required;
// other zero fields take the defaults.
type Config struct {
	Self member.Info
	// Seeds are the addresses of the peers in the settings.
	Seeds []string
	Store store.Store
	Peers Clients
	// Topo takes and gives hints about the primaries of groups; may be nil.
	Topo *topo.Table
	Log  zerolog.Logger
	// Scope takes gauges and counters.
	Scope tally.Scope
	// MaxStale is the greatest age of the catalogue on keyed routes (5 s).
	MaxStaleness time.Duration
	// CutOffServe is how long keyed routes are served when cut off (0).
	CutOffGracePeriod time.Duration
	// StoreTimeout bounds each call to the store (500 ms).
	StoreTimeout time.Duration
	// Workers is the size of the pool for calls (32).
	Workers int
	// Member has the membership's parameters; Self and Seeds in it are set.
	Membership member.Config
	// Seed of the pseudo-random choices.
	Seed uint64
}

func (c Config) withDefaults() Config {
	c.MaxStaleness = cmp.Or(c.MaxStaleness, fresh.DefaultMaxStaleness)
	c.StoreTimeout = cmp.Or(c.StoreTimeout, 500*time.Millisecond)
	c.Workers = cmp.Or(c.Workers, 32)
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Self.Incarnation == 0 {
		// A process that starts later under the same VM id has a higher one.
		c.Self.Incarnation = incarnation(time.Now())
	}
	c.Membership.Self, c.Membership.Seeds = c.Self, c.Seeds
	c.Membership.Seed = cmp.Or(c.Membership.Seed, c.Seed)
	return c
}

// pace is the period of version checks and of questions to readers; pkg/fresh
// explains the sixth.
func (c Config) pace() time.Duration { return c.MaxStaleness / 6 }
