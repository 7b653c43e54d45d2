package conns

import (
	"sync"
	"time"
)

const (
	// watchAfter is how long a read may be silent before its target is probed,
	// and watchEvery how often the result is looked at.
	watchAfter = 500 * time.Millisecond
	watchEvery = 50 * time.Millisecond
	// watchGrace is what an answer of a replaced primary is waited for. One
	// that comes tells the position of the commit, and so its fate.
	watchGrace = 300 * time.Millisecond
)

// watch follows a statement that waits for its target.
type watch struct {
	p     *Pools
	c     *Conn
	mu    sync.Mutex
	timer *time.Timer
	done  bool
	// probe is when a read that is still silent has its target probed.
	probe time.Time
	// replaced is when the target was first seen to be a replaced primary.
	replaced time.Time
}

// WatchRead interrupts a read on the connection when its target stays silent
// and a new connection to it fails, so that the read can go elsewhere before its
// deadline. The caller calls stop when the answer is complete.
func (p *Pools) WatchRead(c *Conn) (stop func()) {
	w := &watch{p: p, c: c}
	w.probe = time.Now().Add(watchAfter)
	return w.start(pathSilence, w.readHopeless)
}

// WatchWrite interrupts a statement on the connection to a primary when the
// primary was replaced and still gives no answer, or when the connection was
// lost on the way. A failed probe alone is no reason, because an interruption
// makes the outcome of a write unknown.
func (p *Pools) WatchWrite(c *Conn) (stop func()) {
	w := &watch{p: p, c: c}
	return w.start(watchEvery, w.writeHopeless)
}

// WatchPath interrupts a statement when its connection was lost on the way.
func (p *Pools) WatchPath(c *Conn) (stop func()) {
	w := &watch{p: p, c: c}
	return w.start(pathSilence, func() bool { return false })
}

func (w *watch) start(after time.Duration, hopeless func() bool) (stop func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(after, func() { w.look(hopeless) })
	return w.stop
}

// look interrupts the statement when its connection is lost or hopeless says
// that no answer is to be expected, and otherwise looks again later.
func (w *watch) look(hopeless func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.done:
	case w.lostPath() || hopeless():
		w.interrupt()
	default:
		w.timer.Reset(watchEvery)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}

func (w *watch) interrupt() { _ = w.c.net.SetReadDeadline(time.Unix(1, 0)) }

// readHopeless reports whether the target has failed, and has it probed when the
// read is silent. The caller holds w.mu.
func (w *watch) readHopeless() bool {
	now, silent := time.Now(), !w.c.heard.Load()
	if silent && w.c.pool.hasFailed() {
		return true
	}
	if silent && !now.Before(w.probe) && w.c.pool.due(now) {
		w.p.judge(w.c.pool, w.c.database, 0)
	}
	return false
}

// writeHopeless reports whether the primary was replaced a while ago. The caller
// holds w.mu.
func (w *watch) writeHopeless() bool {
	g, _ := w.p.cfg.Groups.Group(w.c.group)
	now := time.Now()
	switch {
	case g.Term <= w.c.term:
	case w.replaced.IsZero():
		w.replaced = now
	default:
		return now.Sub(w.replaced) >= watchGrace
	}
	return false
}

// lostPath reports whether the connection of a silent statement is known to be
// lost. If that is not known its path is tested.
func (w *watch) lostPath() bool {
	if w.c.silence() < pathSilence {
		return false
	}
	if w.c.pool.lost(w.c) {
		return true
	}
	w.p.testPath(w.c)
	return false
}
