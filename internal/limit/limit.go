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

// Defaults, intervals and limits.
const (
	// DefaultLeaseTTL is the time to live of the store lease on the slices.
	DefaultLeaseTTL = 15 * time.Minute
	// refreshInterval bounds the delay until a new gate is chosen after a VM has
	// died.
	refreshInterval = 250 * time.Millisecond
	reportInterval  = time.Second
	tickInterval    = 25 * time.Millisecond
	// borrowTimeout exceeds the round trip between regions.
	borrowTimeout = 200 * time.Millisecond
	// maxBackgroundTasks limits the concurrent requests to other VMs.
	maxBackgroundTasks = 256
)

// Catalogue provides the catalogue in force.
type Catalogue interface {
	// Catalogue returns nil until a catalogue is known.
	Catalogue() *catal.Catalogue
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Fleet provides the membership.
type Fleet interface {
	Live() []member.Info
	Self() member.Info
}

// Peers provides connections to other VMs.
type Peers interface {
	Client(vm ident.VM) (peerpb.PeerClient, error)
}

// Epochs reports whether slices under leases of a lifetime may be claimed in an epoch of
// the store, in which their keys then must have been written.
type Epochs interface {
	Settled(ctx context.Context, lifetime time.Duration) (store.Epoch, bool, error)
}

// Config configures a Limiter. Zero durations select the defaults, and a nil
// Scope discards the metrics.
type Config struct {
	Catalogue Catalogue
	Fleet     Fleet
	Peers     Peers
	Store     store.Store
	// Epochs, unless nil, reports when slices may be claimed after the store was
	// restored from an older copy.
	Epochs Epochs
	Log    zerolog.Logger
	Scope  tally.Scope
	// MaxRateWait is the longest time that a request waits for tokens.
	MaxRateWait time.Duration
	// LeaseTTL is the time to live of the lease on the slices.
	LeaseTTL time.Duration
	// Lifetime is that of permits and grants; 0 selects quota.DefaultLifetime.
	Lifetime time.Duration
	// Excess is the tolerated excess over the rate and burst of a workspace.
	Excess Excess
	// Targets, unless nil, returns the limits of the requests to single databases,
	// which AdmitAt enforces. All VMs must return the same limits, apart from the
	// delay until they know of a change.
	Targets func(*catal.Catalogue) map[ident.Target]quota.Limit
	// PermitLifetime is how long a permit of AdmitAt may be used.
	PermitLifetime time.Duration
	// StaticSplit divides the rates evenly among the live VMs instead of lending.
	// It is the baseline of the measurements.
	StaticSplit bool
	// RatesOnly disables the allocation of slots.
	RatesOnly bool
	// Clock returns the time against which leases, permits and grants expire; nil
	// selects time.Now. Machines that can be suspended need a clock that includes
	// the time of suspension.
	Clock func() time.Time
}

// Excess is the number of tokens tolerated above rate x Window + burst in each
// window: Fraction of that sum, plus Tokens.
type Excess struct {
	Window   time.Duration
	Fraction float64
	Tokens   float64
}

// tokens returns the tolerated excess over a limit.
func (x Excess) tokens(l quota.Limit) float64 {
	return x.Fraction*(l.Rate*x.Window.Seconds()+float64(l.Burst)) + x.Tokens
}

// Limiter enforces rates and allocates slots on one VM. Its methods are safe for
// concurrent use.
type Limiter struct {
	cfg           Config
	bootID        string
	pool          pond.Pool
	tasks         sync.WaitGroup
	view          atomic.Pointer[view]
	leaseDeadline atomic.Pointer[time.Time]
	slices        sliceState
	metrics       metrics
	wakeSlices    chan struct{}
	wakeView      chan struct{}
	// resultChans recycles the channels on which waiting requests get their result.
	resultChans sync.Pool

	refreshMu    sync.Mutex
	preconnected vmSet
	gatesMu      sync.Mutex
	gates        map[ident.Target]*gateState
	linksMu      sync.Mutex
	links        map[ident.VM]*link
	hintsMu      sync.Mutex
	hints        map[quota.Shard]map[ident.VM]bool
}

// New returns a Limiter, which starts to work when Run is called.
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
		cfg: cfg, bootID: uuid.NewString(), pool: pond.NewPool(maxBackgroundTasks),
		wakeSlices: make(chan struct{}, 1), wakeView: make(chan struct{}, 1),
		gates: map[ident.Target]*gateState{}, links: map[ident.VM]*link{},
		hints: map[quota.Shard]map[ident.VM]bool{}, preconnected: vmSet{},
	}
	l.slices.set.SetLifetime(cfg.Lifetime)
	l.resultChans.New = func() any { return make(chan result, 1) }
	l.leaseDeadline.Store(&time.Time{})
	l.view.Store(&view{})
	l.metrics.scope = cfg.Scope.SubScope("limit")
	return l
}

// Run claims slices, renews the lease and the loans, and follows changes of the
// catalogue and of the membership until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if !l.cfg.StaticSplit {
		wg.Go(func() { l.maintainSlices(ctx) })
	}
	if !l.cfg.RatesOnly {
		wg.Go(func() { l.maintainSlots(ctx) })
	}
	l.maintainView(ctx)
	l.closeLinks()
	wg.Wait()
	l.closeWorkspaces()
	// The workers of the pool exit on their own after the last task.
	l.tasks.Wait()
}

// maintainView refreshes the view and reports metrics until ctx ends.
func (l *Limiter) maintainView(ctx context.Context) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	var lastReport time.Time
	for {
		changed := l.cfg.Catalogue.Changed()
		l.refresh(ctx)
		if now := time.Now(); now.Sub(lastReport) >= reportInterval {
			lastReport = now
			l.report()
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-changed:
		case <-l.wakeView:
		}
	}
}

// TriggerRefresh makes the Limiter read the membership without delay.
func (l *Limiter) TriggerRefresh() { signal(l.wakeView) }

// now returns the time by Config.Clock.
func (l *Limiter) now() time.Time { return l.cfg.Clock() }

// deadline returns the end of the lease by Config.Clock.
func (l *Limiter) deadline() time.Time { return *l.leaseDeadline.Load() }

// jitter returns d changed at random by up to a fifth either way.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

// signal wakes the receiver of a channel with a buffer of one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
