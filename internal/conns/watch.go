package conns

import (
	"sync"
	"time"
)

const (
	// readProbeDelay is how long a read may be silent before its target is
	// probed, and watchInterval how often watched statements and primaries are
	// checked.
	readProbeDelay = 500 * time.Millisecond
	watchInterval  = 50 * time.Millisecond
	// replacedGracePeriod is how long to wait for the answer of a replaced
	// primary. An answer that arrives gives the position of the commit, by which
	// its outcome can be determined.
	replacedGracePeriod = 300 * time.Millisecond
)

// statementWatch checks a statement that waits for its target.
type statementWatch struct {
	pools *Pools
	c     *Conn
	mu    sync.Mutex
	timer *time.Timer
	done  bool
	// probeAt is when the target is probed if the read is still silent.
	probeAt time.Time
	// replacedAt is when the target was first seen to be a replaced primary.
	replacedAt time.Time
}

// WatchRead interrupts a read on the connection when its target stays silent
// and a new connection to it fails, so that the read can be retried at another
// target before its deadline. It also does so when the path of the connection
// was lost. The caller calls stop when the answer is complete.
func (p *Pools) WatchRead(c *Conn) (stop func()) {
	w := &statementWatch{pools: p, c: c}
	w.probeAt = time.Now().Add(readProbeDelay)
	return w.start(pathSilenceTimeout, w.targetFailed)
}

// WatchWrite interrupts a statement on the connection to a primary when the
// primary was replaced and still gives no answer, or when the path of the
// connection was lost. A failed probe alone does not suffice, because an
// interruption makes the outcome of a write unknown.
func (p *Pools) WatchWrite(c *Conn) (stop func()) {
	w := &statementWatch{pools: p, c: c}
	return w.start(watchInterval, w.primaryReplaced)
}

// WatchPath interrupts a statement when the path of its connection was lost.
func (p *Pools) WatchPath(c *Conn) (stop func()) {
	w := &statementWatch{pools: p, c: c}
	return w.start(pathSilenceTimeout, func() bool { return false })
}

func (w *statementWatch) start(delay time.Duration, shouldInterrupt func() bool) (stop func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(delay, func() { w.check(shouldInterrupt) })
	return w.stop
}

// check interrupts the statement when its path is lost or shouldInterrupt
// reports true, and otherwise schedules the next check.
func (w *statementWatch) check(shouldInterrupt func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.done:
	case w.pathLost() || shouldInterrupt():
		w.interrupt()
	default:
		w.timer.Reset(watchInterval)
	}
}

func (w *statementWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}

func (w *statementWatch) interrupt() { _ = w.c.netConn.SetReadDeadline(time.Unix(1, 0)) }

// targetFailed reports whether the read is silent and its target has failed, and
// starts a probe of the target when one is due. The caller holds w.mu.
func (w *statementWatch) targetFailed() bool {
	now, silent := time.Now(), !w.c.received.Load()
	if silent && w.c.pool.hasFailed() {
		return true
	}
	if silent && !now.Before(w.probeAt) && w.c.pool.beginReadProbe(now) {
		w.pools.startProbing(w.c.pool, w.c.database, 0)
	}
	return false
}

// primaryReplaced reports whether the primary was replaced at least
// replacedGracePeriod ago. The caller holds w.mu.
func (w *statementWatch) primaryReplaced() bool {
	g, _ := w.pools.cfg.Groups.Group(w.c.group)
	now := time.Now()
	switch {
	case g.Term <= w.c.term:
	case w.replacedAt.IsZero():
		w.replacedAt = now
	default:
		return now.Sub(w.replacedAt) >= replacedGracePeriod
	}
	return false
}

// pathLost reports whether the connection of a silent statement is known to be
// lost. If that is not known, its path is tested.
func (w *statementWatch) pathLost() bool {
	if w.c.silentFor() < pathSilenceTimeout {
		return false
	}
	if w.c.pool.isLost(w.c) {
		return true
	}
	w.pools.testPath(w.c)
	return false
}
