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

// Clients provides gRPC clients of peers by address. *peer.Cache implements it.
type Clients interface {
	Client(address string) (peerpb.PeerClient, error)
}

// Config has the parameters of a Distributor. Self, Store and Peers are
// required; other zero fields take the defaults, which are given in parentheses.
type Config struct {
	Self member.Info
	// Seeds are the addresses of the peers that the settings list.
	Seeds []string
	Store store.Store
	Peers Clients
	// Topo is the source and the destination of the hints about primaries that
	// VMs exchange. It may be nil.
	Topo *topo.Table
	Log  zerolog.Logger
	// Scope receives gauges and counters.
	Scope tally.Scope
	// MaxStaleness is the age of the latest proof of freshness up to which keyed
	// routes are served (5 s).
	MaxStaleness time.Duration
	// CutOffGracePeriod is how long keyed routes are still served after the VM
	// is cut off (0).
	CutOffGracePeriod time.Duration
	// StoreTimeout bounds each call to the store (500 ms).
	StoreTimeout time.Duration
	// Workers is the size of the worker pool for calls to peers (32).
	Workers int
	// Membership has the parameters of the membership protocol. Its Self and
	// Seeds are overwritten.
	Membership member.Config
	// Seed initializes the pseudo-random generator.
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
		// A process that starts later under the same VM id gets a higher
		// incarnation.
		c.Self.Incarnation = incarnation(time.Now())
	}
	c.Membership.Self, c.Membership.Seeds = c.Self, c.Seeds
	c.Membership.Seed = cmp.Or(c.Membership.Seed, c.Seed)
	return c
}

// checkInterval returns the interval of the version checks and of the requests
// to readers. The package documentation of pkg/fresh gives the reason for a
// sixth.
func (c Config) checkInterval() time.Duration { return c.MaxStaleness / 6 }
