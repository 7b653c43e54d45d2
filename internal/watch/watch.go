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
	// CloseIdle closes the connection when it has not been used for d.
	CloseIdle(d time.Duration)
}

// Dialer returns a Conn to a target of a group. The Conn connects on its first
// call.
type Dialer func(g ident.Group, id ident.Target, address string) Conn

// Fleet lists the live VMs, this one included.
type Fleet interface{ Live() []member.Info }

// Peers returns gRPC clients of other VMs.
type Peers interface {
	Client(vm ident.VM) (peerpb.PeerClient, error)
}

// Config configures a Watcher. Table and Dial are required; the zero values of
// the other fields are valid.
type Config struct {
	Self  ident.VM
	Table *topo.Table
	Dial  Dialer
	// Fleet is nil for a VM without peers, which watches every group.
	Fleet Fleet
	Peers Peers
	// Store holds the hints; with nil none are read or written.
	Store store.Store
	// RegionOf returns the region of a zone; nil means that all zones are in one region.
	RegionOf func(ident.Zone) ident.Region
	// Watchers is the number of VMs that watch a group; 0 means 3.
	Watchers int
	// Policy selects the failure detector.
	Policy elect.Policy
	// Workers limits the concurrent calls for failover, and separately those
	// for reads; 0 means 64.
	Workers int
	// Seed is the seed of the jitter; 0 means a random one.
	Seed    uint64
	Log     zerolog.Logger
	Metrics tally.Scope
}

// Defaults, intervals and timeouts of the Watcher.
const (
	defaultWatchers = 3
	defaultWorkers  = 64

	reconcileInterval = 250 * time.Millisecond // between two checks of which groups this VM watches
	idleTimeout       = 5 * time.Second        // read connections that are idle longer are closed
	suspectTimeout    = 300 * time.Millisecond // of one Suspect call to a peer
	suspectInterval   = 300 * time.Millisecond // between two rounds of Suspect calls for a group
	lastResortDelay   = time.Second            // before a last-resort watch starts
	lastResortPeriod  = 30 * time.Second
	floorTimeout      = 400 * time.Millisecond
	hasPollInterval   = 20 * time.Millisecond // between two attempts of Has
	hasTimeout        = 500 * time.Millisecond
	storeTimeout      = 2 * time.Second
	storeRetryDelay   = 5 * time.Second
)

// Watcher runs the failover of the groups that this VM watches. Its methods may
// be called from several goroutines.
type Watcher struct {
	cfg     Config
	metrics metrics
	// baseCtx ends when Run ends.
	baseCtx      context.Context
	cancelBase   context.CancelFunc
	failoverPool pond.Pool
	readPool     pond.Pool
	// taskMu keeps tasks from being started after baseCtx has ended.
	taskMu sync.Mutex
	tasks  sync.WaitGroup

	mu            sync.Mutex
	rand          *rand.Rand
	monitors      map[ident.Group]*groupMonitor
	suspectSentAt map[ident.Group]time.Time
	lastResorts   map[ident.Group]watchWindow
	readConns     map[readConnKey]*targetConn
	floorQueues   map[ident.Group]*floorQueue
	pendingHints  map[ident.Group]*pendingHint
	// live and groups are the inputs of the last assignment; watchers is its
	// result, by group in the order of rank.
	live         []member.Info
	groups       []ident.Group
	watchers     map[ident.Group][]ident.VM
	hintsChanged bool
}

// watchWindow is the time in which this VM watches a group as a last resort.
type watchWindow struct{ start, end time.Time }

type metrics struct {
	suspicions, elections, abandoned, promotions tally.Counter
	probeFailures, floorBatches, floorCallers    tally.Counter
	// gap is the time from the suspicion of a primary to the election of the next.
	gap tally.Timer
}

// New returns a Watcher that watches no group until Run is called.
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
		cfg:           cfg,
		rand:          rand.New(rand.NewPCG(cfg.Seed, 1)),
		monitors:      map[ident.Group]*groupMonitor{},
		suspectSentAt: map[ident.Group]time.Time{},
		lastResorts:   map[ident.Group]watchWindow{},
		readConns:     map[readConnKey]*targetConn{},
		floorQueues:   map[ident.Group]*floorQueue{},
		pendingHints:  map[ident.Group]*pendingHint{},
	}
	w.baseCtx, w.cancelBase = context.WithCancel(context.Background())
	w.failoverPool = pond.NewPool(cfg.Workers)
	w.readPool = pond.NewPool(cfg.Workers)
	s := cfg.Metrics.SubScope("failover")
	w.metrics = metrics{
		suspicions: s.Counter("suspicions"), elections: s.Counter("elections"),
		abandoned: s.Counter("abandoned"), promotions: s.Counter("promotions"),
		probeFailures: s.Counter("probe_failures"), floorBatches: s.Counter("floor_batches"),
		floorCallers: s.Counter("floor_callers"), gap: s.Timer("gap"),
	}
	return w
}

// Run watches groups until ctx ends, then cancels all calls and closes all
// connections. It may be called once.
func (w *Watcher) Run(ctx context.Context) {
	defer w.shutdown()
	w.loadHints()
	tick := time.NewTicker(elect.Resolution)
	defer tick.Stop()
	var nextReconcile time.Time
	for {
		now := time.Now()
		if w.takeHintsChanged() || !now.Before(nextReconcile) {
			w.reconcile(now)
			w.writeHints(now)
			nextReconcile = now.Add(reconcileInterval)
		}
		for _, g := range w.activeMonitors() {
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
	w.cancelBase()
	w.taskMu.Unlock()
	// A pool needs no stop: its workers end when it has no more tasks.
	w.tasks.Wait()
	for _, g := range w.activeMonitors() {
		g.close()
	}
	w.mu.Lock()
	conns := w.readConns
	w.readConns = nil
	w.mu.Unlock()
	for _, tc := range conns {
		tc.conn.Close()
	}
}

func (w *Watcher) takeHintsChanged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := w.hintsChanged
	w.hintsChanged = false
	return changed
}

func (w *Watcher) activeMonitors() []*groupMonitor {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]*groupMonitor, 0, len(w.monitors))
	for _, g := range w.monitors {
		out = append(out, g)
	}
	return out
}

func (w *Watcher) monitor(id ident.Group) *groupMonitor {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.monitors[id]
}

// reconcile starts and stops groupMonitors after changes of the fleet, the
// catalogue or the last-resort windows.
func (w *Watcher) reconcile(now time.Time) {
	live, groups := w.liveVMs(), w.cfg.Table.Groups()
	watchers := w.assignWatchers(live, groups)
	w.mu.Lock()
	if watchers != nil {
		w.live, w.groups, w.watchers = live, groups, watchers
	}
	var ended []*groupMonitor
	for id, g := range w.monitors {
		if w.rank(id, now) < 0 {
			delete(w.monitors, id)
			ended = append(ended, g)
		}
	}
	for _, id := range groups {
		rank := w.rank(id, now)
		if rank < 0 {
			continue
		}
		g := w.monitors[id]
		if g == nil {
			g = newGroupMonitor(w, id, w.rand.Uint64())
			w.monitors[id] = g
			evlog.At(w.cfg.Log, evlog.WatchStarted).Str("group", string(id)).Int("rank", rank).Send()
		}
		g.setRank(rank)
	}
	readConns := w.pruneReadConns()
	w.mu.Unlock()
	for _, g := range ended {
		evlog.At(w.cfg.Log, evlog.WatchStopped).Str("group", string(g.id)).Send()
		g.close()
	}
	for _, tc := range readConns {
		tc.conn.CloseIdle(idleTimeout)
	}
}

// assignWatchers returns the watchers of each group, nil when neither the live
// VMs nor the groups have changed. Only the loop of Run writes w.watchers, so it
// may be read here without the lock; hashing a large fleet takes too long to hold
// the lock meanwhile.
func (w *Watcher) assignWatchers(live []member.Info, groups []ident.Group) map[ident.Group][]ident.VM {
	if w.watchers != nil && slices.Equal(live, w.live) && slices.Equal(groups, w.groups) {
		return nil
	}
	watchers := make(map[ident.Group][]ident.VM, len(groups))
	for _, id := range groups {
		watchers[id] = watchersOf(id, live, w.cfg.Watchers)
	}
	return watchers
}

// rank returns this VM's index among the watchers of a group, -1 when it does
// not watch the group. A last-resort watcher ranks behind all others. The caller
// holds mu.
func (w *Watcher) rank(id ident.Group, now time.Time) int {
	watchers, ok := w.watchers[id]
	if !ok {
		return -1
	}
	if i := slices.Index(watchers, w.cfg.Self); i >= 0 {
		return i
	}
	if window, ok := w.lastResorts[id]; ok && !now.Before(window.start) && now.Before(window.end) {
		return len(watchers)
	}
	return -1
}

// submit runs f in a pool. It returns false and does not run f after the Watcher
// has stopped.
func (w *Watcher) submit(p pond.Pool, f func()) bool {
	w.taskMu.Lock()
	defer w.taskMu.Unlock()
	if w.baseCtx.Err() != nil {
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

func (w *Watcher) regionOf(z ident.Zone) ident.Region {
	if w.cfg.RegionOf == nil {
		return ""
	}
	return w.cfg.RegionOf(z)
}
