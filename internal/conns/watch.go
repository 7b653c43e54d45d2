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
	return w.start(pathSilence, w.lookRead)
}

// WatchWrite interrupts a statement on the connection to a primary when the
// primary was replaced and still gives no answer, or when the connection was
// lost on the way. A failed probe alone is no reason, because an interruption
// makes the outcome of a write unknown.
func (p *Pools) WatchWrite(c *Conn) (stop func()) {
	w := &watch{p: p, c: c}
	return w.start(watchEvery, w.lookWrite)
}

// WatchPath interrupts a statement when its connection was lost on the way.
func (p *Pools) WatchPath(c *Conn) (stop func()) {
	w := &watch{p: p, c: c}
	return w.start(pathSilence, w.lookPath)
}

func (w *watch) start(after time.Duration, look func()) (stop func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(after, look)
	return w.stop
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}

func (w *watch) interrupt() { _ = w.c.net.SetReadDeadline(time.Unix(1, 0)) }

// lookRead interrupts the read when the target has failed, else has it probed.
func (w *watch) lookRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	now, silent := time.Now(), !w.c.heard.Load()
	if w.lostPath() || silent && w.c.pool.hasFailed() {
		w.interrupt()
		return
	}
	if silent && !now.Before(w.probe) && w.c.pool.due(now) {
		w.p.judge(w.c.pool, w.c.database, 0)
	}
	w.timer.Reset(watchEvery)
}

// lookWrite interrupts the statement a while after the primary was replaced.
func (w *watch) lookWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	if w.lostPath() {
		w.interrupt()
		return
	}
	g, _ := w.p.cfg.Groups.Group(w.c.group)
	switch now := time.Now(); {
	case g.Term <= w.c.term:
	case w.replaced.IsZero():
		w.replaced = now
	case now.Sub(w.replaced) >= watchGrace:
		w.interrupt()
		return
	}
	w.timer.Reset(watchEvery)
}

// lookPath interrupts the statement when its connection is lost.
func (w *watch) lookPath() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	if w.lostPath() {
		w.interrupt()
		return
	}
	w.timer.Reset(watchEvery)
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
