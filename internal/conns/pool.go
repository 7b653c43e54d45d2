package conns

import (
	"context"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
	"chervilspan.example/pkg/sessn"
	"chervilspan.example/pkg/topo"
)

// pool has the connections to one target.
type pool struct {
	p      *Pools
	group  ident.Group
	target ident.Target
	budget retry.Budget

	mu   sync.Mutex
	idle []*Conn
	// open counts the connections in use, idle and being opened.
	open    int
	waiters []chan struct{}
	// generation grows when the target was found silent or failed;
	// connections of an earlier generation are not reused.
	generation  uint64
	outstanding int
	heard       time.Time
	failed      bool
	since       time.Time
	probing     bool
	// probed is when a read last had the target probed.
	probed time.Time
	// testing tells that a path is being tested, and tested when the last
	// test began.
	testing bool
	tested  time.Duration
	finding finding
	// listener, unless nil, is the connection that follows the quorum position.
	listener *Conn
}

// get returns a connection that nobody else uses.
func (l *pool) get(ctx context.Context, row topo.Target, term ident.Term, database string) (*Conn, error) {
	for {
		c, open, wait := l.take(row, term, database)
		if c != nil {
			return c, nil
		}
		if open {
			return l.open1(ctx, row, term, database)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			l.abandon(wait)
			return nil, &Error{Op: "get", Target: l.target, Kind: KindWaitTimeout, Outcome: retry.NotRun, Err: ctx.Err()}
		}
	}
}

// take returns an idle connection, or leave to open one, or a channel that is
// closed when it is worth trying again.
func (l *pool) take(row topo.Target, term ident.Term, database string) (c *Conn, open bool, wait chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.idle) - 1; i >= 0; i-- {
		c := l.idle[i]
		if c.database != database && l.current(c, row, term) {
			continue
		}
		l.idle = slices.Delete(l.idle, i, i+1)
		if l.current(c, row, term) && alive(c.net) {
			l.outstanding++
			return c, false, nil
		}
		l.drop(c)
	}
	limit := max(1, l.p.cfg.ConnLimit(row))
	if l.open >= limit && len(l.idle) > 0 {
		c := l.idle[0]
		l.idle = slices.Delete(l.idle, 0, 1)
		l.drop(c)
	}
	if l.open < limit {
		l.open++
		return nil, true, nil
	}
	wait = make(chan struct{})
	l.waiters = append(l.waiters, wait)
	return nil, false, wait
}

// current reports whether a connection belongs to the target as it is now.
func (l *pool) current(c *Conn, row topo.Target, term ident.Term) bool {
	return c.generation == l.generation && c.term == term && c.address == row.Config.Address
}

// drop closes a connection; the caller holds the lock. Closing a socket does
// not wait for the peer.
func (l *pool) drop(c *Conn) {
	c.close()
	l.open--
	l.wake()
}

func (l *pool) wake() {
	if len(l.waiters) > 0 {
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
	}
}

// abandon gives up waiting; a wake-up that came too late goes to the next.
func (l *pool) abandon(wait chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiters, wait); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
		return
	}
	l.wake()
}

// open1 opens a connection for which take gave leave.
func (l *pool) open1(ctx context.Context, row topo.Target, term ident.Term, database string) (*Conn, error) {
	l.mu.Lock()
	generation := l.generation
	l.mu.Unlock()
	c, err := l.p.connect(ctx, l, row, database)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.open--
		l.wake()
		return nil, &Error{Op: "connect", Target: l.target, Kind: KindConnect, Outcome: retry.NotRun, Err: err}
	}
	c.term, c.generation = term, generation
	l.outstanding++
	return c, nil
}

// put takes a connection back.
func (l *pool) put(c *Conn, row topo.Target, term ident.Term, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outstanding--
	if !c.reusable() || !l.current(c, row, term) {
		l.drop(c)
		return
	}
	c.used = now
	c.SetDeadline(time.Time{})
	l.idle = append(l.idle, c)
	l.wake()
}

// sweep closes the connections that were not used for the idle time, and of
// those beyond keep the ones that were not used for the extra time.
func (l *pool) sweep(now time.Time, idle time.Duration, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rest := l.idle[:0]
	for _, c := range l.idle {
		unused := now.Sub(c.used)
		if unused >= idle || unused >= extraIdle && l.open > keep {
			l.drop(c)
		} else {
			rest = append(rest, c)
		}
	}
	clear(l.idle[len(rest):])
	l.idle = rest
}

// hear notes a position that the target reported.
func (l *pool) hear(c *Conn, p ident.Position) {
	now := time.Now()
	l.mu.Lock()
	l.heard = now
	l.mu.Unlock()
	l.succeed(now)
	l.p.cfg.Groups.RecordApplied(c.group, c.target, p)
}

// fail marks the target as failed and reports whether that is news.
func (l *pool) fail() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	news := !l.failed
	l.failed = true
	return news
}

// succeed marks the target as reachable and reports whether it had failed; its
// slow start begins then.
func (l *pool) succeed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failed {
		return false
	}
	l.failed, l.since = false, now
	return true
}

func (l *pool) hasFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// due reports whether a waiting read may have the target probed: not more often
// than a failed target is probed.
func (l *pool) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.probed) < probeEvery {
		return false
	}
	l.probed = now
	return true
}

// setProbing starts or ends probing; it reports false when it went on already.
func (l *pool) setProbing(on bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.probing != on
	l.probing = on
	return changed
}

func (l *pool) load() sessn.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sessn.Load{Outstanding: l.outstanding, HeardAt: l.heard, ReturnedAt: l.since}
}

// retire makes connections opened so far unfit for reuse.
func (l *pool) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renew()
}

// retireAs retires a generation unless that was done before.
func (l *pool) retireAs(generation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.generation == generation {
		l.renew()
	}
}

// renew begins a generation; the caller holds the lock.
func (l *pool) renew() {
	l.generation++
	for _, c := range l.idle {
		l.drop(c)
	}
	l.idle = nil
}

func (l *pool) size() (open, idle int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, len(l.idle)
}
