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

// pool holds the connections to one target.
type pool struct {
	pools  *Pools
	group  ident.Group
	target ident.Target
	budget retry.Budget

	mu   sync.Mutex
	idle []*Conn
	// openConns counts the connections in use, idle and being opened.
	openConns int
	waiters   []chan struct{}
	// generation grows when the target was found silent or failed; connections
	// of an earlier generation are not reused.
	generation uint64
	// outstanding counts the connections in use.
	outstanding int
	heardAt     time.Time
	failed      bool
	returnedAt  time.Time
	probing     bool
	// readProbeAt is when a silent read last caused a probe of the target.
	readProbeAt time.Time
	// testingPath tells that the path is being tested, and pathTestAt when the
	// last test began.
	testingPath bool
	pathTestAt  time.Duration
	pathLoss    pathLoss
	// listener, unless nil, is the connection that follows the quorum position.
	listener *Conn
}

// get returns a connection for exclusive use.
func (l *pool) get(ctx context.Context, tgt topo.Target, term ident.Term, database string) (*Conn, error) {
	for {
		c, open, wait := l.takeOrWait(tgt, term, database)
		if c != nil {
			return c, nil
		}
		if open {
			return l.openConn(ctx, tgt, term, database)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			l.cancelWait(wait)
			return nil, &Error{Op: "get", Target: l.target, Kind: KindWaitTimeout, Outcome: retry.NotRun, Err: ctx.Err()}
		}
	}
}

// takeOrWait returns an idle connection, or permission to open one, or a channel
// that is closed when the caller should try again.
func (l *pool) takeOrWait(tgt topo.Target, term ident.Term, database string) (c *Conn, open bool, wait chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.idle) - 1; i >= 0; i-- {
		c := l.idle[i]
		if c.database != database && l.isCurrent(c, tgt, term) {
			continue
		}
		l.idle = slices.Delete(l.idle, i, i+1)
		if l.isCurrent(c, tgt, term) && alive(c.netConn) {
			l.outstanding++
			return c, false, nil
		}
		l.closeConn(c)
	}
	limit := max(1, l.pools.cfg.ConnLimit(tgt))
	if l.openConns >= limit && len(l.idle) > 0 {
		c := l.idle[0]
		l.idle = slices.Delete(l.idle, 0, 1)
		l.closeConn(c)
	}
	if l.openConns < limit {
		l.openConns++
		return nil, true, nil
	}
	wait = make(chan struct{})
	l.waiters = append(l.waiters, wait)
	return nil, false, wait
}

// isCurrent reports whether a connection has the pool's generation and the
// target's present term and address.
func (l *pool) isCurrent(c *Conn, tgt topo.Target, term ident.Term) bool {
	return c.generation == l.generation && c.term == term && c.address == tgt.Config.Address
}

// closeConn closes a connection; the caller holds the lock. Closing a socket
// does not wait for the peer.
func (l *pool) closeConn(c *Conn) {
	c.close()
	l.openConns--
	l.wakeWaiter()
}

func (l *pool) wakeWaiter() {
	if len(l.waiters) > 0 {
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
	}
}

// cancelWait removes a waiter; if it was woken already, the next one is woken in
// its place.
func (l *pool) cancelWait(wait chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiters, wait); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
		return
	}
	l.wakeWaiter()
}

// openConn opens a connection after takeOrWait permitted it.
func (l *pool) openConn(ctx context.Context, tgt topo.Target, term ident.Term, database string) (*Conn, error) {
	l.mu.Lock()
	generation := l.generation
	l.mu.Unlock()
	c, err := l.pools.connect(ctx, l, tgt, database)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.openConns--
		l.wakeWaiter()
		return nil, &Error{Op: "connect", Target: l.target, Kind: KindConnect, Outcome: retry.NotRun, Err: err}
	}
	c.term, c.generation = term, generation
	l.outstanding++
	return c, nil
}

// put makes a connection idle, or closes it if it may not be reused.
func (l *pool) put(c *Conn, tgt topo.Target, term ident.Term, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outstanding--
	if !c.reusable() || !l.isCurrent(c, tgt, term) {
		l.closeConn(c)
		return
	}
	c.usedAt = now
	c.SetDeadline(time.Time{})
	l.idle = append(l.idle, c)
	l.wakeWaiter()
}

// closeUnused closes the connections that were not used for idleTimeout, and
// while more than share are open also those not used for excessIdleTimeout.
func (l *pool) closeUnused(now time.Time, idleTimeout time.Duration, share int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.idle[:0]
	for _, c := range l.idle {
		unused := now.Sub(c.usedAt)
		if unused >= idleTimeout || unused >= excessIdleTimeout && l.openConns > share {
			l.closeConn(c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(l.idle[len(kept):])
	l.idle = kept
}

// recordPosition records a position that the target reported.
func (l *pool) recordPosition(c *Conn, p ident.Position) {
	now := time.Now()
	l.mu.Lock()
	l.heardAt = now
	l.mu.Unlock()
	l.markReachable(now)
	l.pools.cfg.Groups.RecordApplied(c.group, c.target, p)
}

// markFailed marks the target as failed and reports whether it was not before.
func (l *pool) markFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := !l.failed
	l.failed = true
	return changed
}

// markReachable marks the target as reachable and reports whether it had failed;
// if so, its slow start begins.
func (l *pool) markReachable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failed {
		return false
	}
	l.failed, l.returnedAt = false, now
	return true
}

func (l *pool) hasFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// beginReadProbe reports whether a silent read may cause a probe of the target
// now, which is limited to one per probeInterval, and records the time.
func (l *pool) beginReadProbe(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.readProbeAt) < probeInterval {
		return false
	}
	l.readProbeAt = now
	return true
}

// setProbing sets whether the target is being probed, and reports whether that
// changed.
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
	return sessn.Load{Outstanding: l.outstanding, HeardAt: l.heardAt, ReturnedAt: l.returnedAt}
}

// retireConns prevents the reuse of all connections opened so far.
func (l *pool) retireConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startGeneration()
}

// retireGeneration prevents the reuse of a generation's connections, unless a
// later generation has begun.
func (l *pool) retireGeneration(generation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.generation == generation {
		l.startGeneration()
	}
}

// startGeneration begins a generation and closes the idle connections of the
// former one; the caller holds the lock.
func (l *pool) startGeneration() {
	l.generation++
	for _, c := range l.idle {
		l.closeConn(c)
	}
	l.idle = nil
}

func (l *pool) size() (open, idle int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns, len(l.idle)
}
