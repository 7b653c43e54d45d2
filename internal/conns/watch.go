package conns

import (
	"sync"
	"time"
)

const (
	// watchAfter is how long a read may be silent before its target is probed,
	// and watchEvery how often the result is looked at.
	watchAfter = 500 * time.Millisecond
	watchEvery = 100 * time.Millisecond
)

// watch follows a read that waits for its target.
type watch struct {
	p     *Pools
	c     *Conn
	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

// Watch interrupts a read on the connection when its target stays silent and a
// new connection to it fails, so that the read can go elsewhere before its
// deadline. The caller calls stop when the answer is complete. Writes are not
// watched: an interruption would make their outcome unknown.
func (p *Pools) Watch(c *Conn) (stop func()) {
	w := &watch{p: p, c: c}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchAfter, w.look)
	return w.stop
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}

// look interrupts the read when the target has failed, else has it probed.
func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done || w.c.heard.Load() {
		return
	}
	if w.c.pool.hasFailed() {
		_ = w.c.net.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if w.c.pool.due(time.Now()) {
		w.p.judge(w.c.pool, w.c.database, 0)
	}
	w.timer.Reset(watchEvery)
}
