package conns

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
	"chervilspan.example/pkg/sessn"
	"chervilspan.example/pkg/topo"
)

// Pools holds the connections to all targets. It is safe for concurrent use.
type Pools struct {
	cfg       Config
	startTime time.Time
	workers   pond.Pool
	// tasks counts the background tasks. It replaces the stop method of workers,
	// which waits through a pool that is global to the process; tests with a
	// paused clock cannot do that.
	tasks sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc

	mu      sync.Mutex
	pools   map[poolKey]*pool
	quorums map[ident.Group]*quorumTracker
}

// poolKey identifies a target; two groups may have targets of the same name.
type poolKey struct {
	group  ident.Group
	target ident.Target
}

const (
	// sweepInterval is the time between two searches for unused connections.
	sweepInterval = time.Second
	// excessIdleTimeout is how long a connection beyond the VM's share stays open
	// unused. Opening one takes 10 to 30 ms, more than most statements.
	excessIdleTimeout = 2 * time.Second
)

// New returns Pools without connections. Close ends their background tasks.
func New(cfg Config) *Pools {
	ctx, stop := context.WithCancel(context.Background())
	p := &Pools{
		cfg: cfg.withDefaults(), startTime: time.Now(), workers: pond.NewPool(0), ctx: ctx, stop: stop,
		pools: map[poolKey]*pool{}, quorums: map[ident.Group]*quorumTracker{},
	}
	p.background(p.closeUnusedLoop)
	return p
}

// background runs f on the worker pool; it reports false when the pools are
// closed.
func (p *Pools) background(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.tasks.Add(1)
	task := func() {
		defer p.tasks.Done()
		f()
	}
	if p.workers.Go(task) != nil {
		p.tasks.Done()
		return false
	}
	return true
}

// stopBackground ends running background tasks and prevents new ones.
func (p *Pools) stopBackground() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
}

// Close closes all idle connections and waits for the background tasks to end.
func (p *Pools) Close() {
	p.stopBackground()
	for _, l := range p.allPools() {
		l.retireConns()
	}
	p.tasks.Wait()
}

func (p *Pools) allPools() []*pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.pools))
}

func (p *Pools) closeUnusedLoop() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			for _, l := range p.allPools() {
				tgt, _, err := p.lookupTarget(l.group, l.target)
				if err != nil {
					tgt = topo.Target{}
				}
				l.closeUnused(now, p.cfg.IdleTimeout, max(1, p.cfg.ConnShare(tgt)))
			}
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *Pools) poolOf(g ident.Group, t ident.Target) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey{g, t}
	l := p.pools[key]
	if l == nil {
		l = &pool{pools: p, group: g, target: t}
		p.pools[key] = l
	}
	return l
}

// Get returns a connection to a target for one transaction; Put gives it back.
// The outcome of every error is NotRun.
func (p *Pools) Get(ctx context.Context, group ident.Group, target ident.Target, database string) (*Conn, error) {
	if p.ctx.Err() != nil {
		return nil, &Error{Op: "get", Target: target, Kind: KindClosed, Outcome: retry.NotRun}
	}
	tgt, term, err := p.lookupTarget(group, target)
	if err != nil {
		return nil, err
	}
	l := p.poolOf(group, target)
	c, err := l.get(ctx, tgt, term, database)
	if Is(err, KindConnect) && ctx.Err() == nil && !refusedByServer(err) {
		// A new connection failed, so the target counts as failed at once.
		p.recordFailure(l)
		p.startProbing(l, database, probeInterval)
	}
	return c, err
}

func (p *Pools) lookupTarget(group ident.Group, target ident.Target) (topo.Target, ident.Term, error) {
	g, ok := p.cfg.Groups.Group(group)
	if !ok {
		return topo.Target{}, 0, &Error{Op: "get", Target: target, Kind: KindUnknownTarget, Outcome: retry.NotRun}
	}
	tgt, ok := g.Target(target)
	if !ok {
		return topo.Target{}, 0, &Error{Op: "get", Target: target, Kind: KindUnknownTarget, Outcome: retry.NotRun}
	}
	return tgt, g.Term, nil
}

// Put gives a connection back. It is kept when another transaction may use it,
// else closed. If the connection failed, the target is probed.
func (p *Pools) Put(c *Conn) {
	tgt, term, err := p.lookupTarget(c.group, c.target)
	if err != nil {
		c.CloseOnPut()
	}
	failed := c.failure != nil
	if failed && !c.received.Load() {
		// Other connections of the same generation may be silent too.
		c.pool.retireGeneration(c.generation)
	}
	c.pool.put(c, tgt, term, time.Now())
	if failed {
		p.startProbing(c.pool, c.database, 0)
	}
}

// startProbing probes a target by new connections until one succeeds, the first
// time after delay. At most one such loop runs for a target. A target that
// failed a probe counts as failed until a probe succeeds, so that statements
// don't have to try it.
func (p *Pools) startProbing(l *pool, database string, delay time.Duration) {
	if !l.setProbing(true) {
		return
	}
	loop := func() {
		defer l.setProbing(false)
		for p.sleep(delay) && !p.probe(l, database) {
			delay = probeInterval + time.Duration(rand.Int64N(int64(probeInterval)/5))
		}
	}
	if !p.background(loop) {
		l.setProbing(false)
	}
}

const (
	// probeInterval is the time between probes of a failed target; a jitter of
	// up to 20% is added.
	probeInterval = time.Second
	// probeTimeout bounds a probe. Opening a connection takes some 30 ms, and a
	// round trip between regions 60 ms.
	probeTimeout = 500 * time.Millisecond
)

// sleep waits for d; it reports false when the pools are closed.
func (p *Pools) sleep(d time.Duration) bool {
	if d > 0 {
		select {
		case <-time.After(d):
		case <-p.ctx.Done():
		}
	}
	return p.ctx.Err() == nil
}

// probe opens a connection and closes it. It reports false when the target
// could not be reached and has to be probed again.
func (p *Pools) probe(l *pool, database string) bool {
	tgt, _, err := p.lookupTarget(l.group, l.target)
	if err != nil {
		return true // no longer in the catalogue
	}
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	c, err := p.connect(ctx, l, tgt, database)
	if err == nil {
		c.close()
	}
	if err == nil || refusedByServer(err) {
		p.recordReachable(l)
		return true
	}
	if p.ctx.Err() == nil {
		p.recordFailure(l)
	}
	return false
}

// recordReachable records that a target can be reached.
func (p *Pools) recordReachable(l *pool) {
	if l.markReachable(time.Now()) {
		evlog.At(p.cfg.Log, evlog.TargetReturned).Str("group", string(l.group)).Str("target", string(l.target)).Send()
	}
	p.cfg.Groups.RecordApplied(l.group, l.target, ident.Position{})
}

// recordFailure records that a new connection to the target failed.
func (p *Pools) recordFailure(l *pool) {
	l.retireConns()
	p.cfg.Groups.RecordFailure(l.group, l.target, time.Now())
	if l.markFailed() {
		evlog.At(p.cfg.Log, evlog.TargetFailed).Str("group", string(l.group)).Str("target", string(l.target)).Send()
		p.cfg.Scope.Tagged(map[string]string{"target": string(l.target)}).Counter("target_failures").Inc(1)
	}
	if g, ok := p.cfg.Groups.Group(l.group); ok && g.Primary == l.target {
		p.cfg.SuspectPrimary(l.group)
	}
}

// Load returns this VM's load on a target and when the target last reported.
func (p *Pools) Load(g ident.Group, t ident.Target) sessn.Load { return p.poolOf(g, t).load() }

// Budget returns the retry budget of a target.
func (p *Pools) Budget(g ident.Group, t ident.Target) *retry.Budget { return &p.poolOf(g, t).budget }

// Size returns the number of open connections to a target, and how many of them
// are idle.
func (p *Pools) Size(g ident.Group, t ident.Target) (open, idle int) { return p.poolOf(g, t).size() }
