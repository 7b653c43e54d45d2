package limit

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/quota"
	"chervilspan.example/pkg/store"
)

// Defaults and periods.
const (
	// DefaultShareLease is the length of the store lease of the slices.
	DefaultLeaseTTL = 15 * time.Minute
	// refreshPeriod delays the choice of a new gate after a death.
	refreshPeriod = 250 * time.Millisecond
	reportPeriod  = time.Second
	tickPeriod    = 25 * time.Millisecond
	// borrowTimeout is above the round trip between regions.
	borrowTimeout = 200 * time.Millisecond
	// workers bounds the concurrent requests to other VMs.
	workers = 256
)

// Catalogue gives the catalogue in force.
type Catalogue interface {
	// Catalogue returns nil while there is none.
	Catalogue() *catal.Catalogue
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Fleet gives the membership.
type Fleet interface {
	Live() []member.Info
	Self() member.Info
}

// Peers gives connections to other VMs.
type Peers interface {
	Client(vm ident.VM) (peerpb.PeerClient, error)
}

// Config has what a Limiter works with. Zero durations stand for the defaults,
// and a nil Scope drops the metrics.
type Config struct {
	Catalogue Catalogue
	Fleet     Fleet
	Peers     Peers
	Store     store.Store
	Log       zerolog.Logger
	Scope     tally.Scope
	// RateWait is how long a request waits for tokens.
	MaxRateWait time.Duration
	// ShareLease is the length of the lease of the slices.
	LeaseTTL time.Duration
	// Lifetime of permits and grants; 0 stands for quota.DefaultLifetime.
	Lifetime time.Duration
	// Excess is what is tolerated above the rate and burst of a workspace.
	Excess Excess
	// Static splits the rates evenly over the live VMs instead of lending. It
	// is the baseline of the measurements.
	StaticSplit bool
	// RatesOnly leaves out the slots of targets.
	RatesOnly bool
	// Clock tells the time by which rights end; nil stands for the runtime's
	// clock. Machines that can be suspended need one that counts the suspension.
	Clock func() time.Time
}

// Excess says how much more than rate x Window + burst is tolerated in each
// window: Part of that, and Tokens.
type Excess struct {
	Window   time.Duration
	Fraction float64
	Tokens   float64
}

// of returns the tolerated tokens for a limit.
func (x Excess) of(l quota.Limit) float64 {
	return x.Fraction*(l.Rate*x.Window.Seconds()+float64(l.Burst)) + x.Tokens
}

// Limiter enforces rates and shares out slots on one VM. Its methods may be
// called from several goroutines.
type Limiter struct {
	cfg    Config
	boot   string
	pool   pond.Pool
	asks   sync.WaitGroup
	view   atomic.Pointer[view]
	lease  atomic.Pointer[time.Time]
	shares shares
	meter  meter
	kick   chan struct{}
	hinted chan struct{}
	// answers has channels for waiting requests, to be used again.
	answers sync.Pool

	refreshMu sync.Mutex
	warmed    warmed
	gatesMu   sync.Mutex
	gates     map[ident.Target]*gateState
	linksMu   sync.Mutex
	links     map[ident.VM]*link
	hintsMu   sync.Mutex
	hints     map[quota.Shard]map[ident.VM]bool
}

// New returns a Limiter that works once Run is called.
func New(cfg Config) *Limiter {
	cfg.MaxRateWait = cmp.Or(cfg.MaxRateWait, quota.DefaultMaxWait)
	cfg.LeaseTTL = cmp.Or(cfg.LeaseTTL, DefaultLeaseTTL)
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	l := &Limiter{
		cfg: cfg, boot: uuid.NewString(), pool: pond.NewPool(workers),
		kick: make(chan struct{}, 1), hinted: make(chan struct{}, 1),
		gates: map[ident.Target]*gateState{}, links: map[ident.VM]*link{},
		hints: map[quota.Shard]map[ident.VM]bool{}, warmed: warmed{},
	}
	l.shares.holdings.SetLifetime(cfg.Lifetime)
	l.answers.New = func() any { return make(chan error, 1) }
	l.lease.Store(&time.Time{})
	l.view.Store(&view{})
	l.meter.scope = cfg.Scope.SubScope("limit")
	return l
}

// Run claims slices, keeps the lease and the loans, and follows the catalogue
// and the membership until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	var group sync.WaitGroup
	if !l.cfg.StaticSplit {
		group.Go(func() { l.keepShares(ctx) })
	}
	if !l.cfg.RatesOnly {
		group.Go(func() { l.keepSlots(ctx) })
	}
	l.keepView(ctx)
	l.closeLinks()
	group.Wait()
	l.stopTimers()
	// The pool's workers end by themselves once the requests have.
	l.asks.Wait()
}

func (l *Limiter) keepView(ctx context.Context) {
	t := time.NewTicker(refreshPeriod)
	defer t.Stop()
	var reported time.Time
	for {
		changed := l.cfg.Catalogue.Changed()
		l.refresh(ctx)
		if now := time.Now(); now.Sub(reported) >= reportPeriod {
			reported = now
			l.report()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-changed:
		case <-l.hinted:
		}
	}
}

// TriggerRefresh makes the Limiter look at the membership at once.
func (l *Limiter) TriggerRefresh() { signal(l.hinted) }

// now returns the time by the limiter's clock.
func (l *Limiter) now() time.Time { return l.cfg.Clock() }

// deadline returns the end of the lease by this process's clock.
func (l *Limiter) deadline() time.Time { return *l.lease.Load() }

// jitter returns d changed by up to a fifth.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
