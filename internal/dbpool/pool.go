package dbpool

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

const (
	// dialTimeout limits the start of a connection. It exceeds two round trips
	// between regions plus a handshake that waits for a slot.
	dialTimeout = 600 * time.Millisecond
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 20 * time.Second
	// tooManyBackoff is how long a pool opens no additional connection after the
	// database has refused one because it has too many. Replacing an idle
	// connection is still allowed.
	tooManyBackoff = 100 * time.Millisecond
	// starvationTimeout is how long requests of other workspaces may overtake a
	// waiting request because its own connection would have to be opened first.
	starvationTimeout = 150 * time.Millisecond
)

// pool holds the connections to one database process.
type pool struct {
	parent *Pools
	member roster.Member

	mu sync.Mutex
	// conns has all open connections, in use or idle. idle has only the idle ones,
	// the one that has been idle for longest first.
	conns map[*Conn]bool
	idle  []*Conn
	// dialing is the number of connections being opened.
	dialing int
	// waiters has the waiting requests, ordered by when they first waited.
	waiters []*waiter
	closed  bool
	// refusedAt is when the database last refused a connection because it had too
	// many.
	refusedAt time.Time
	// speed is what has been learned from the answers.
	speed speed.Model
	// running is the number of statements with a class that are in progress.
	running atomic.Int32
}

// openCount returns the number of connections that are open or being opened. The
// caller holds p.mu.
func (p *pool) openCount() int { return len(p.conns) + p.dialing }

// busyCount returns the number of connections in use. The caller holds p.mu.
func (p *pool) busyCount() int { return len(p.conns) - len(p.idle) }

// recordResult counts an exchange as failed or not in the failure rate, where a
// failure is one not caused by the caller, and records when c last answered.
func (p *pool) recordResult(c *Conn, answered, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.speed.Failures.Record(failed, now)
	if answered {
		c.heardAt = now
	}
}

// waiter is a request that waits for a connection.
type waiter struct {
	ws    ident.Workspace
	owner Owner
	// wakeup is created, and waitingSince set, when the request first waits.
	wakeup       chan struct{}
	waitingSince time.Time
}

// get returns a connection for a workspace. It waits until the deadline when
// the pool has reached its limit.
func (p *pool) get(deadline time.Time, ws ident.Workspace, owner Owner) (*Conn, error) {
	w := &waiter{ws: ws, owner: owner}
	defer p.removeWaiter(w)
	for {
		c, dial, err := p.takeOrEnqueue(w)
		switch {
		case err != nil:
			return nil, err
		case c != nil:
			return c, nil
		case dial:
			c, err := p.dial(deadline, ws, owner)
			if !p.shouldRetry(err, deadline) {
				return c, err
			}
		default:
			if !w.await(deadline) {
				return nil, &Error{Op: "get", Kind: KindWaitTimeout, Target: p.member.ID}
			}
		}
	}
}

// shouldRetry reports whether a connection was refused only because the database
// has too many, so that one may become available before the deadline.
func (p *pool) shouldRetry(err error, deadline time.Time) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == dbop.TooMany && time.Until(deadline) > tooManyBackoff
}

// takeOrEnqueue returns an idle connection, or sets dial and counts the connection
// that the caller then opens in p.dialing, or adds the request to the waiters.
func (p *pool) takeOrEnqueue(w *waiter) (c *Conn, dial bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, &Error{Op: "get", Kind: KindClosed, Target: p.member.ID}
	}
	if i := p.pickIdle(w.ws, w.owner); i >= 0 {
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		c.owner = w.owner
		return c, false, nil
	}
	backingOff := time.Since(p.refusedAt) < tooManyBackoff
	maxDialing := p.parent.dialLimit(&p.member)
	switch {
	case maxDialing > 0 && p.dialing >= maxDialing:
	case p.openCount() < p.parent.ConnLimit(&p.member) && !backingOff:
		p.dialing++
		return nil, true, nil
	case len(p.idle) > 0:
		// Replace the connection that has been idle for longest.
		p.closeConn(p.idle[0])
		p.idle = p.idle[1:]
		p.dialing++
		return nil, true, nil
	}
	p.enqueue(w)
	return nil, false, nil
}

// enqueue adds a request to the waiters. A request that waited before returns to
// its former place.
func (p *pool) enqueue(w *waiter) {
	if slices.Contains(p.waiters, w) {
		return
	}
	if w.wakeup == nil {
		w.wakeup, w.waitingSince = make(chan struct{}, 1), time.Now()
	}
	select {
	case <-w.wakeup: // sent as the timer fired; the request has tried again since
	default:
	}
	i := slices.IndexFunc(p.waiters, func(o *waiter) bool { return o.waitingSince.After(w.waitingSince) })
	if i < 0 {
		i = len(p.waiters)
	}
	p.waiters = slices.Insert(p.waiters, i, w)
}

// pickIdle returns the index of the idle connection to use, or -1: the one that
// owner used last, or else the most recently used one of the workspace, with
// preference for one without session variables. ws "" matches any workspace.
func (p *pool) pickIdle(ws ident.Workspace, owner Owner) int {
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if ws != "" && c.Workspace != ws {
			continue
		}
		if owner != 0 && c.owner == owner {
			return i
		}
		if best < 0 || len(c.Vars) == 0 && len(p.idle[best].Vars) > 0 {
			best = i
		}
	}
	return best
}

// closeConn closes a connection. The caller holds p.mu and removes the connection
// from p.idle.
func (p *pool) closeConn(c *Conn) {
	delete(p.conns, c)
	// An error means that the other side has closed it already.
	_ = c.link.Close()
}

// await waits for a wake-up, for at most tooManyBackoff: nothing wakes the waiters
// when the back-off after a refused connection ends. It returns false once the
// deadline has passed.
func (w *waiter) await(deadline time.Time) bool {
	d := min(time.Until(deadline), tooManyBackoff)
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.wakeup:
	case <-t.C:
	}
	return time.Now().Before(deadline)
}

// removeWaiter removes a request from the waiters and passes a wake-up that it has
// not used on to the next one.
func (p *pool) removeWaiter(w *waiter) {
	if w.wakeup == nil {
		return // the request never waited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters = slices.DeleteFunc(p.waiters, func(o *waiter) bool { return o == w })
	select {
	case <-w.wakeup:
		p.wakeNext("")
	default:
	}
}

// wakeNext wakes the first waiter for a connection of the workspace, or else the
// first waiter of all, which may open one. The first of all is also preferred
// once it has waited for longer than starvationTimeout. The caller holds p.mu.
func (p *pool) wakeNext(ws ident.Workspace) {
	if len(p.waiters) == 0 {
		return
	}
	i := slices.IndexFunc(p.waiters, func(w *waiter) bool { return w.ws == ws || w.ws == "" })
	if i < 0 || time.Since(p.waiters[0].waitingSince) > starvationTimeout {
		i = 0
	}
	w := p.waiters[i]
	p.waiters = slices.Delete(p.waiters, i, i+1)
	w.wakeup <- struct{}{}
}

func (p *pool) dial(deadline time.Time, ws ident.Workspace, owner Owner) (*Conn, error) {
	if d := time.Now().Add(dialTimeout); d.Before(deadline) {
		deadline = d
	}
	link, a, err := p.parent.Dialer.Dial(deadline, &p.member, ws)
	now := time.Now()
	p.parent.recordDial(&p.member, a.Code, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil || a.Code != dbop.OK {
		if a.Code == dbop.TooMany {
			p.refusedAt = now
		}
		p.wakeNext("")
		if code := notSentCode(err); code != dbop.OK {
			p.parent.recordNotSent(&p.member, ws, err)
			return nil, &Error{Op: "dial", Kind: KindRefused, Target: p.member.ID, Code: code, Err: err}
		}
		switch {
		case errors.Is(err, ErrStartTimeout):
			return nil, &Error{Op: "dial", Kind: KindStartTimeout, Target: p.member.ID, Err: err}
		case err != nil:
			return nil, &Error{Op: "dial", Kind: KindUnreachable, Target: p.member.ID, Err: err}
		}
		return nil, &Error{Op: "dial", Kind: KindRefused, Target: p.member.ID, Code: a.Code}
	}
	c := &Conn{
		pool: p, link: link, Target: p.member.ID, Zone: p.member.Zone, Group: p.member.Group, Workspace: ws,
		state: a.State, answeredAt: now, openedAt: now, owner: owner,
	}
	if p.conns == nil {
		p.conns = map[*Conn]bool{}
	}
	p.conns[c] = true
	p.wakeNext("") // another waiter may open a connection now
	return c, nil
}

// put takes back a connection, which is kept open only if keep is set and the
// pool is within its limit.
func (p *pool) put(c *Conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep && !p.closed && p.openCount() <= p.parent.ConnLimit(&p.member) {
		p.idle = append(p.idle, c)
	} else {
		p.closeConn(c)
	}
	p.wakeNext(c.Workspace)
}

// sweep closes connections that have been idle for idleTimeout.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		if c.AnswerAge() < idleTimeout {
			return false
		}
		p.closeConn(c)
		return true
	})
}

// closeIdleIfSilent closes the idle connections after a statement sent at the
// given time got no answer. It closes none when a connection opened before that
// time has answered since: then only one connection failed, or its statement is
// slow.
func (p *pool) closeIdleIfSilent(sent time.Time) {
	p.mu.Lock()
	for c := range p.conns {
		if c.openedAt.Before(sent) && c.heardAt.After(sent) {
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.closeConn(c)
	}
	p.idle = nil
	p.wakeNext("")
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.waiters) > 0 {
		p.wakeNext("")
	}
}
