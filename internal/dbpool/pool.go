package dbpool

import (
	"errors"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

const (
	// dialTimeout bounds the start of a connection. It is above two round trips
	// between regions and a handshake that waits for a slot.
	dialTimeout = 600 * time.Millisecond
	// idleLife is how long an unused connection stays open.
	idleLife = 20 * time.Second
	// fullPause is how long a pool opens nothing after the database said that
	// it has too many connections.
	fullPause = 100 * time.Millisecond
	// longWait is how long requests of other workspaces may be served before one
	// that waits, since its connection has to begin first.
	longWait = 150 * time.Millisecond
)

// pool has the connections to one database process.
type pool struct {
	parent *Pools
	member roster.Member

	mu sync.Mutex
	// conns has the connections in use and the idle ones; idle has these, the one
	// that was idle for longest first.
	conns map[*Conn]bool
	idle  []*Conn
	// dialing is the number of connections being opened.
	dialing int
	// wait has the requests that wait, in the order in which they began to.
	wait   []*waiter
	closed bool
	// full is when the database last refused for too many connections.
	full time.Time
	// faults is the part of the statements that failed lately.
	faults faults
}

// open returns the number of connections that are open or being opened, busy
// that of those in use. The caller holds p.mu.
func (p *pool) open() int { return len(p.conns) + p.dialing }

func (p *pool) busy() int { return len(p.conns) - len(p.idle) }

// noteResult counts statements that failed for no fault of the caller, and notes
// that a connection answered.
func (p *pool) noteResult(c *Conn, heard, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.faults.note(failed, now)
	if heard {
		c.heard = now
	}
}

// waiter is a request that waits for a connection.
type waiter struct {
	ws    ident.Workspace
	owner Owner
	// turn is made, and since set, when the request first waits.
	turn  chan struct{}
	since time.Time
}

// get returns a connection for a workspace. It waits until the deadline when
// the pool is at its bound.
func (p *pool) get(deadline time.Time, ws ident.Workspace, owner Owner) (*Conn, error) {
	w := &waiter{ws: ws, owner: owner}
	defer p.leave(w)
	for {
		c, dial, err := p.take(w)
		switch {
		case err != nil:
			return nil, err
		case c != nil:
			return c, nil
		case dial:
			c, err := p.dial(deadline, ws, owner)
			if !p.retries(err, deadline) {
				return c, err
			}
		default:
			if !w.sleep(deadline) {
				return nil, &Error{Op: "get", Kind: KindWaitTimeout, Target: p.member.ID}
			}
		}
	}
}

// retries reports whether a connection was refused only because the database
// has too many, so that one may become free before the deadline.
func (p *pool) retries(err error, deadline time.Time) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == dbop.TooMany && time.Until(deadline) > fullPause
}

// take returns an idle connection or the right to dial, or puts the request into
// the list of those that wait.
func (p *pool) take(w *waiter) (c *Conn, dial bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, &Error{Op: "get", Kind: KindClosed, Target: p.member.ID}
	}
	if i := p.pick(w.ws, w.owner); i >= 0 {
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		c.owner = w.owner
		return c, false, nil
	}
	refused := time.Since(p.full) < fullPause
	bound := p.parent.dialBound(&p.member)
	switch {
	case bound > 0 && p.dialing >= bound:
	case p.open() < p.parent.ConnLimit(&p.member) && !refused:
		p.dialing++
		return nil, true, nil
	case len(p.idle) > 0:
		// The connection that was idle for longest makes room.
		p.shut(p.idle[0])
		p.idle = p.idle[1:]
		p.dialing++
		return nil, true, nil
	}
	p.enqueue(w)
	return nil, false, nil
}

// enqueue puts a request into the list, at its former place when it had one.
func (p *pool) enqueue(w *waiter) {
	if slices.Contains(p.wait, w) {
		return
	}
	if w.turn == nil {
		w.turn, w.since = make(chan struct{}, 1), time.Now()
	}
	select {
	case <-w.turn: // it came with the timer, and the request has tried since
	default:
	}
	i := slices.IndexFunc(p.wait, func(o *waiter) bool { return o.since.After(w.since) })
	if i < 0 {
		i = len(p.wait)
	}
	p.wait = slices.Insert(p.wait, i, w)
}

// pick returns the index of the idle connection to use: the session's last one,
// else the workspace's that was used last. ws "" takes any.
func (p *pool) pick(ws ident.Workspace, owner Owner) int {
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

// shut closes a connection. The caller has taken it out of the idle ones.
func (p *pool) shut(c *Conn) {
	delete(p.conns, c)
	// An error means that it was closed by the other side.
	_ = c.link.Close()
}

// sleep waits for the request's turn. A pool that paused because of a full
// database has nothing that wakes it.
func (w *waiter) sleep(deadline time.Time) bool {
	d := min(time.Until(deadline), fullPause)
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.turn:
	case <-t.C:
	}
	return time.Now().Before(deadline)
}

// leave removes a request; a turn that it has got and not used goes to the next.
func (p *pool) leave(w *waiter) {
	if w.turn == nil {
		return // it never waited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wait = slices.DeleteFunc(p.wait, func(o *waiter) bool { return o == w })
	select {
	case <-w.turn:
		p.wake("")
	default:
	}
}

// wake gives a turn to the first request for a connection of a workspace, else
// to the first of all, which may open one. The first of all has it when it has
// waited for long.
func (p *pool) wake(ws ident.Workspace) {
	if len(p.wait) == 0 {
		return
	}
	i := slices.IndexFunc(p.wait, func(w *waiter) bool { return w.ws == ws || w.ws == "" })
	if i < 0 || time.Since(p.wait[0].since) > longWait {
		i = 0
	}
	w := p.wait[i]
	p.wait = slices.Delete(p.wait, i, i+1)
	w.turn <- struct{}{}
}

func (p *pool) dial(deadline time.Time, ws ident.Workspace, owner Owner) (*Conn, error) {
	if d := time.Now().Add(dialTimeout); d.Before(deadline) {
		deadline = d
	}
	link, a, err := p.parent.Dialer.Dial(deadline, &p.member, ws)
	now := time.Now()
	p.parent.noteDial(&p.member, a.Code, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil || a.Code != dbop.OK {
		if a.Code == dbop.TooMany {
			p.full = now
		}
		p.wake("")
		switch {
		case errors.Is(err, ErrStartTimeout):
			return nil, &Error{Op: "dial", Kind: KindStartTimeout, Target: p.member.ID, Err: err}
		case err != nil:
			return nil, &Error{Op: "dial", Kind: KindUnreachable, Target: p.member.ID, Err: err}
		}
		return nil, &Error{Op: "dial", Kind: KindRefused, Target: p.member.ID, Code: a.Code}
	}
	c := &Conn{
		pool: p, link: link, Target: p.member.ID, Group: p.member.Group, Workspace: ws,
		state: a.State, answered: now, opened: now, owner: owner,
	}
	if p.conns == nil {
		p.conns = map[*Conn]bool{}
	}
	p.conns[c] = true
	p.wake("") // another one may open a connection
	return c, nil
}

func (p *pool) put(c *Conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep && !p.closed && p.open() <= p.parent.ConnLimit(&p.member) {
		p.idle = append(p.idle, c)
	} else {
		p.shut(c)
	}
	p.wake(c.Workspace)
}

// sweep closes connections that were idle for long.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		if c.AnswerAge() < idleLife {
			return false
		}
		p.shut(c)
		return true
	})
}

// dropSilent closes the idle connections after a statement that was sent at a
// time got no answer, unless a connection of before has answered since: then
// only that one was silent, or its statement takes long.
func (p *pool) dropSilent(since time.Time) {
	p.mu.Lock()
	for c := range p.conns {
		if c.opened.Before(since) && c.heard.After(since) {
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	p.drop()
}

// drop closes the idle connections.
func (p *pool) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.shut(c)
	}
	p.idle = nil
	p.wake("")
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.drop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.wait) > 0 {
		p.wake("")
	}
}
