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

// Pools has the connections to all targets. Its methods may be called from
// several goroutines.
type Pools struct {
	cfg   Config
	start time.Time
	work  pond.Pool
	// tasks counts the background work. The pool's own stop waits through a
	// pool that is global to the process, which tests with a paused clock can't.
	tasks sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc

	mu     sync.Mutex
	pools  map[poolKey]*pool
	quorum map[ident.Group]*quorum
}

// poolKey names a target; two groups may use the same name.
type poolKey struct {
	group  ident.Group
	target ident.Target
}

const (
	// sweepEvery is how often unused connections are looked for.
	sweepEvery = time.Second
	// extraIdle is how long a connection beyond a VM's part stays open unused.
	// A new one costs 10 to 30 ms, more than most statements.
	extraIdle = 2 * time.Second
)

// New returns Pools without connections. Close ends its background work.
func New(cfg Config) *Pools {
	ctx, stop := context.WithCancel(context.Background())
	p := &Pools{
		cfg: cfg.withDefaults(), start: time.Now(), work: pond.NewPool(0), ctx: ctx, stop: stop,
		pools: map[poolKey]*pool{}, quorum: map[ident.Group]*quorum{},
	}
	p.background(p.sweep)
	return p
}

// background runs f on the worker pool; it reports false when the work has
// been ended.
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
	if p.work.Go(task) != nil {
		p.tasks.Done()
		return false
	}
	return true
}

// end makes background start nothing more.
func (p *Pools) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
}

// Close closes all idle connections and ends the background work.
func (p *Pools) Close() {
	p.end()
	for _, l := range p.all() {
		l.retire()
	}
	p.tasks.Wait()
}

func (p *Pools) all() []*pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.pools))
}

func (p *Pools) sweep() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			for _, l := range p.all() {
				row, _, err := p.row(l.group, l.target)
				if err != nil {
					row = topo.Target{}
				}
				l.sweep(now, p.cfg.IdleTimeout, max(1, p.cfg.ConnShare(row)))
			}
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *Pools) pool(g ident.Group, t ident.Target) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey{g, t}
	l := p.pools[key]
	if l == nil {
		l = &pool{p: p, group: g, target: t}
		p.pools[key] = l
	}
	return l
}

// Get returns a connection to a target for one transaction; Put gives it back.
// Each error is NotRun.
func (p *Pools) Get(ctx context.Context, group ident.Group, target ident.Target, database string) (*Conn, error) {
	if p.ctx.Err() != nil {
		return nil, &Error{Op: "get", Target: target, Kind: KindClosed, Outcome: retry.NotRun}
	}
	row, term, err := p.row(group, target)
	if err != nil {
		return nil, err
	}
	l := p.pool(group, target)
	c, err := l.get(ctx, row, term, database)
	if Is(err, KindConnect) && ctx.Err() == nil && !answered(err) {
		// A new connection failed, so the target can be judged at once.
		p.failed(l)
		p.judge(l, database, probeEvery)
	}
	return c, err
}

func (p *Pools) row(group ident.Group, target ident.Target) (topo.Target, ident.Term, error) {
	g, ok := p.cfg.Groups.Group(group)
	if !ok {
		return topo.Target{}, 0, &Error{Op: "get", Target: target, Kind: KindUnknownTarget, Outcome: retry.NotRun}
	}
	row, ok := g.Target(target)
	if !ok {
		return topo.Target{}, 0, &Error{Op: "get", Target: target, Kind: KindUnknownTarget, Outcome: retry.NotRun}
	}
	return row, g.Term, nil
}

// Put gives a connection back. It is kept when another transaction may use it,
// else closed. A connection that failed makes the target be probed.
func (p *Pools) Put(c *Conn) {
	row, term, err := p.row(c.group, c.target)
	if err != nil {
		c.CloseOnPut()
	}
	broken := c.broken != nil
	if broken && !c.heard.Load() {
		// A silent connection says that the others of its time may be too.
		c.pool.retireAs(c.generation)
	}
	c.pool.put(c, row, term, time.Now())
	if broken {
		p.judge(c.pool, c.database, 0)
	}
}

// judge probes a target by new connections until one succeeds, first after the
// given time. There is one such loop for a target at a time. Until a probe has
// succeeded the target counts as failed, so that statements need not find out.
func (p *Pools) judge(l *pool, database string, after time.Duration) {
	if !l.setProbing(true) {
		return
	}
	loop := func() {
		defer l.setProbing(false)
		for p.pause(after) && !p.probe(l, database) {
			after = probeEvery + time.Duration(rand.Int64N(int64(probeEvery)/5))
		}
	}
	if !p.background(loop) {
		l.setProbing(false)
	}
}

const (
	// probeEvery is the time between probes of a failed target; a jitter of up
	// to 20% is added.
	probeEvery = time.Second
	// probeTimeout bounds a probe. A connection takes some 30 ms and a round
	// trip between regions 60 ms.
	probeTimeout = 500 * time.Millisecond
)

// pause waits; it reports false when the pools are closed.
func (p *Pools) pause(d time.Duration) bool {
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
	row, _, err := p.row(l.group, l.target)
	if err != nil {
		return true // no longer in the catalogue
	}
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	c, err := p.connect(ctx, l, row, database)
	if err == nil {
		c.close()
	}
	if err == nil || answered(err) {
		p.returned(l)
		return true
	}
	if p.ctx.Err() == nil {
		p.failed(l)
	}
	return false
}

// returned notes that a target can be reached.
func (p *Pools) returned(l *pool) {
	if l.succeed(time.Now()) {
		evlog.At(p.cfg.Log, evlog.TargetReturned).Str("group", string(l.group)).Str("target", string(l.target)).Send()
	}
	p.cfg.Groups.RecordApplied(l.group, l.target, ident.Position{})
}

// failed notes that a new connection to the target failed.
func (p *Pools) failed(l *pool) {
	l.retire()
	p.cfg.Groups.RecordFailure(l.group, l.target, time.Now())
	if l.fail() {
		evlog.At(p.cfg.Log, evlog.TargetFailed).Str("group", string(l.group)).Str("target", string(l.target)).Send()
		p.cfg.Scope.Tagged(map[string]string{"target": string(l.target)}).Counter("target_failures").Inc(1)
	}
	if g, ok := p.cfg.Groups.Group(l.group); ok && g.Primary == l.target {
		p.cfg.SuspectPrimary(l.group)
	}
}

// Load returns what this VM knows of its traffic to a target.
func (p *Pools) Load(g ident.Group, t ident.Target) sessn.Load { return p.pool(g, t).load() }

// Budget returns the retry budget of a target.
func (p *Pools) Budget(g ident.Group, t ident.Target) *retry.Budget { return &p.pool(g, t).budget }

// Size returns how many connections to a target are open, and how many of them
// are idle.
func (p *Pools) Size(g ident.Group, t ident.Target) (open, idle int) { return p.pool(g, t).size() }
