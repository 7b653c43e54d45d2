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
	refreshInterval = 250 * time.Millisecond
	reportInterval  = time.Second
	tickInterval    = 25 * time.Millisecond
	// borrowTimeout is above the round trip between regions.
	borrowTimeout = 200 * time.Millisecond
	// workers bounds the concurrent requests to other VMs.
	maxBackgroundTasks = 256
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
func (x Excess) tokens(l quota.Limit) float64 {
	return x.Fraction*(l.Rate*x.Window.Seconds()+float64(l.Burst)) + x.Tokens
}

// Limiter enforces rates and shares out slots on one VM. Its methods may be
// called from several goroutines.
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
	// answers has channels for waiting requests, to be used again.
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

// New returns a Limiter that works once Run is called.
func New(cfg Config) *Limiter {
	cfg.MaxRateWait = cmp.Or(cfg.MaxRateWait, quota.DefaultWait)
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
	l.resultChans.New = func() any { return make(chan error, 1) }
	l.leaseDeadline.Store(&time.Time{})
	l.view.Store(&view{})
	l.metrics.scope = cfg.Scope.SubScope("limit")
	return l
}

// Run claims slices, keeps the lease and the loans, and follows the catalogue
// and the membership until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	var group sync.WaitGroup
	if !l.cfg.StaticSplit {
		group.Go(func() { l.maintainSlices(ctx) })
	}
	if !l.cfg.RatesOnly {
		group.Go(func() { l.maintainSlots(ctx) })
	}
	l.maintainView(ctx)
	l.closeLinks()
	group.Wait()
	l.closeWorkspaces()
	// The pool's workers end by themselves once the requests have.
	l.tasks.Wait()
}

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

// Nudge makes the Limiter look at the membership at once.
func (l *Limiter) TriggerRefresh() { signal(l.wakeView) }

// now returns the time by the limiter's clock.
func (l *Limiter) now() time.Time { return l.cfg.Clock() }

// deadline returns the end of the lease by this process's clock.
func (l *Limiter) deadline() time.Time { return *l.leaseDeadline.Load() }

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
