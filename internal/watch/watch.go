package watch

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/topo"
)

// Conn is a control connection to a target.
type Conn interface {
	elect.Database
	// Close ends the connection; a running call finishes first.
	Close()
	// CloseIdle drops the connection when it was not used for d.
	CloseIdle(d time.Duration)
}

// Dialer returns a Conn to a target of a group; it connects with its first
// call.
type Dialer func(g ident.Group, id ident.Target, address string) Conn

// Fleet lists the live VMs, this one included.
type Fleet interface{ Live() []member.Info }

// Peers gives the clients of other VMs.
type Peers interface {
	Client(vm ident.VM) (peerpb.PeerClient, error)
}

// Config of a Watcher. Table and Dial are required; zero values of the other
// fields work.
type Config struct {
	Self  ident.VM
	Table *topo.Table
	Dial  Dialer
	// Fleet is nil for a VM without peers, which watches every group.
	Fleet Fleet
	Peers Peers
	// Store keeps hints; nil keeps none.
	Store store.Store
	// Region tells the region of a zone; nil stands for one region.
	RegionOf func(ident.Zone) ident.Region
	// Watchers is the number of VMs that watch a group; 0 stands for 3.
	Watchers int
	// Policy is the failure detection.
	Policy elect.Policy
	// Workers bounds the concurrent calls to targets for the failover, and
	// again those for reads; 0 stands for 64.
	Workers int
	// Seed of the jitter; 0 stands for a random one.
	Seed    uint64
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Defaults and times of the Watcher.
const (
	defaultWatchers = 3
	defaultWorkers  = 64

	reviewPeriod = 250 * time.Millisecond // how often the choice of watchers is reviewed
	idleAfter    = 5 * time.Second        // read connections are closed when idle so long
	askTimeout   = 300 * time.Millisecond
	askPeriod    = 300 * time.Millisecond
	resortDelay  = time.Second
	resortLength = 30 * time.Second
	floorTimeout = 400 * time.Millisecond
	hasPoll      = 20 * time.Millisecond
	hasTimeout   = 500 * time.Millisecond
	storeTimeout = 2 * time.Second
	storeRetry   = 5 * time.Second
)

// Watcher watches groups. Its methods may be called from several goroutines.
type Watcher struct {
	cfg     Config
	metrics metrics
	// base ends when Run ends.
	base  context.Context
	stop  context.CancelFunc
	calls pond.Pool
	reads pond.Pool
	// taskMu orders the start of tasks and the end of base.
	taskMu sync.Mutex
	tasks  sync.WaitGroup

	mu     sync.Mutex
	rand   *rand.Rand
	guards map[ident.Group]*guard
	asked  map[ident.Group]time.Time
	resort map[ident.Group]span
	links  map[linkKey]*link
	floors map[ident.Group]*queue
	hints  map[ident.Group]*pendingHint
	// live and groups are those of the last review; roster has each group's
	// watchers.
	live   []member.Info
	groups []ident.Group
	roster map[ident.Group][]ident.VM
	dirty  bool
}

// span is a time during which this VM watches a group as a last resort.
type span struct{ from, to time.Time }

type metrics struct {
	suspicions, elections, abandoned, promotions tally.Counter
	probeFailures, floorBatches, floorCallers    tally.Counter
	gap                                          tally.Timer
}

// New returns a Watcher; Run starts the watching.
func New(cfg Config) *Watcher {
	cfg.Watchers = cmp.Or(cfg.Watchers, defaultWatchers)
	cfg.Workers = cmp.Or(cfg.Workers, defaultWorkers)
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	w := &Watcher{
		cfg:    cfg,
		rand:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		guards: map[ident.Group]*guard{},
		asked:  map[ident.Group]time.Time{},
		resort: map[ident.Group]span{},
		links:  map[linkKey]*link{},
		floors: map[ident.Group]*queue{},
		hints:  map[ident.Group]*pendingHint{},
	}
	w.base, w.stop = context.WithCancel(context.Background())
	w.calls = pond.NewPool(cfg.Workers)
	w.reads = pond.NewPool(cfg.Workers)
	s := cfg.Metrics.SubScope("failover")
	w.metrics = metrics{
		suspicions: s.Counter("suspicions"), elections: s.Counter("elections"),
		abandoned: s.Counter("abandoned"), promotions: s.Counter("promotions"),
		probeFailures: s.Counter("probe_failures"), floorBatches: s.Counter("floor_batches"),
		floorCallers: s.Counter("floor_callers"), gap: s.Timer("gap"),
	}
	return w
}

// Run watches until ctx ends, then ends all calls and connections. It may be
// called once.
func (w *Watcher) Run(ctx context.Context) {
	defer w.shutdown()
	w.loadHints()
	tick := time.NewTicker(elect.Resolution)
	defer tick.Stop()
	var review time.Time
	for {
		now := time.Now()
		if w.takeDirty() || !now.Before(review) {
			w.review(now)
			w.writeHints(now)
			review = now.Add(reviewPeriod)
		}
		for _, g := range w.watched() {
			g.tick()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (w *Watcher) shutdown() {
	w.taskMu.Lock()
	w.stop()
	w.taskMu.Unlock()
	// The workers of a pool end when it has no more tasks.
	w.tasks.Wait()
	for _, g := range w.watched() {
		g.close()
	}
	w.mu.Lock()
	links := w.links
	w.links = nil
	w.mu.Unlock()
	for _, l := range links {
		l.conn.Close()
	}
}

func (w *Watcher) takeDirty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.dirty
	w.dirty = false
	return d
}

func (w *Watcher) watched() []*guard {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*guard, 0, len(w.guards))
	for _, g := range w.guards {
		out = append(out, g)
	}
	return out
}

func (w *Watcher) guard(id ident.Group) *guard {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.guards[id]
}

// review starts and stops guards after changes of the fleet or the catalogue.
func (w *Watcher) review(now time.Time) {
	live, groups := w.alive(), w.cfg.Table.Groups()
	roster := w.newRoster(live, groups)
	w.mu.Lock()
	if roster != nil {
		w.live, w.groups, w.roster = live, groups, roster
	}
	var ended []*guard
	for id, g := range w.guards {
		if w.rank(id, now) < 0 {
			delete(w.guards, id)
			ended = append(ended, g)
		}
	}
	for _, id := range groups {
		rank := w.rank(id, now)
		if rank < 0 {
			continue
		}
		g := w.guards[id]
		if g == nil {
			g = newGuard(w, id, w.rand.Uint64())
			w.guards[id] = g
			evlog.At(w.cfg.Log, evlog.WatchStarted).Str("group", string(id)).Int("rank", rank).Send()
		}
		g.setRank(rank)
	}
	idle := w.staleLinks()
	w.mu.Unlock()
	for _, g := range ended {
		evlog.At(w.cfg.Log, evlog.WatchStopped).Str("group", string(g.id)).Send()
		g.close()
	}
	for _, l := range idle {
		l.conn.CloseIdle(idleAfter)
	}
}

// newRoster returns the watchers of each group, nil when neither the fleet nor
// the groups have changed. Only the loop of Run changes the roster, so it may be
// read here without the lock; hashing a large fleet takes too long to hold it.
func (w *Watcher) newRoster(live []member.Info, groups []ident.Group) map[ident.Group][]ident.VM {
	if w.roster != nil && slices.Equal(live, w.live) && slices.Equal(groups, w.groups) {
		return nil
	}
	roster := make(map[ident.Group][]ident.VM, len(groups))
	for _, id := range groups {
		roster[id] = watchersOf(id, live, w.cfg.Watchers)
	}
	return roster
}

// rank returns this VM's place among the watchers of a group, -1 when it is
// none. The caller holds mu.
func (w *Watcher) rank(id ident.Group, now time.Time) int {
	list, ok := w.roster[id]
	if !ok {
		return -1
	}
	if i := slices.Index(list, w.cfg.Self); i >= 0 {
		return i
	}
	if s, ok := w.resort[id]; ok && !now.Before(s.from) && now.Before(s.to) {
		return len(list)
	}
	return -1
}

// submit runs f in a pool unless the Watcher has stopped.
func (w *Watcher) submit(p pond.Pool, f func()) bool {
	w.taskMu.Lock()
	defer w.taskMu.Unlock()
	if w.base.Err() != nil {
		return false
	}
	w.tasks.Add(1)
	err := p.Go(func() {
		defer w.tasks.Done()
		f()
	})
	if err != nil {
		w.tasks.Done()
	}
	return err == nil
}

func (w *Watcher) region(z ident.Zone) ident.Region {
	if w.cfg.RegionOf == nil {
		return ""
	}
	return w.cfg.RegionOf(z)
}
