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
)

// pool has the connections to one database process.
type pool struct {
	parent *Pools
	member roster.Member

	mu     sync.Mutex
	open   int // connections in use, idle or being opened
	idle   []*Conn
	wait   []chan struct{}
	closed bool
	// full is when the database last refused for too many connections.
	full time.Time
	// busy is the number of connections in use.
	busy int
	// faults is the part of the statements that failed lately.
	faults faults
}

// noteResult counts statements that were answered, or failed for no fault of
// the caller.
func (p *pool) noteResult(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.note(failed, time.Now())
}

// get returns a connection for a workspace. It waits until the deadline when
// the pool is at its bound.
func (p *pool) get(deadline time.Time, ws ident.Workspace, owner Owner) (*Conn, error) {
	for {
		c, dial, wait, err := p.take(ws, owner)
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
			if !p.sleep(wait, deadline) {
				return nil, &Error{Op: "get", Kind: KindWait, Target: p.member.ID}
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

// take returns an idle connection, the right to dial, or a channel to wait on.
func (p *pool) take(ws ident.Workspace, owner Owner) (c *Conn, dial bool, wait chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, nil, &Error{Op: "get", Kind: KindClosed, Target: p.member.ID}
	}
	if i := p.pick(ws, owner); i >= 0 {
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		c.owner = owner
		p.busy++
		return c, false, nil, nil
	}
	refused := time.Since(p.full) < fullPause
	if p.open < p.parent.Limit(&p.member) && !refused {
		p.open++
		return nil, true, nil, nil
	}
	if len(p.idle) > 0 {
		// The connection that was idle for longest makes room.
		p.shut(p.idle[0])
		p.idle = p.idle[1:]
		return nil, true, nil, nil
	}
	wait = make(chan struct{}, 1)
	p.wait = append(p.wait, wait)
	return nil, false, wait, nil
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

// shut closes a connection in the background; the caller reuses its place.
func (p *pool) shut(c *Conn) {
	// An error means that it was closed by the other side.
	_ = c.link.Close()
}

func (p *pool) sleep(wait chan struct{}, deadline time.Time) bool {
	// A pool that paused because of a full database has nothing that wakes it.
	d := min(time.Until(deadline), fullPause)
	if d <= 0 {
		p.leave(wait)
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-wait:
	case <-t.C:
		p.leave(wait)
	}
	return time.Now().Before(deadline)
}

// leave removes a waiting request; a wake-up that it has got goes to the next.
func (p *pool) leave(wait chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.wait, wait); i >= 0 {
		p.wait = slices.Delete(p.wait, i, i+1)
		return
	}
	p.wake()
}

func (p *pool) wake() {
	if len(p.wait) > 0 {
		p.wait[0] <- struct{}{}
		p.wait = p.wait[1:]
	}
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
	if err != nil || a.Code != dbop.OK {
		p.open--
		if a.Code == dbop.TooMany {
			p.full = now
		}
		p.wake()
		switch {
		case errors.Is(err, ErrSlow):
			return nil, &Error{Op: "dial", Kind: KindSlow, Target: p.member.ID, Err: err}
		case err != nil:
			return nil, &Error{Op: "dial", Kind: KindUnreachable, Target: p.member.ID, Err: err}
		}
		return nil, &Error{Op: "dial", Kind: KindRefused, Target: p.member.ID, Code: a.Code}
	}
	p.busy++
	return &Conn{
		pool: p, link: link, Target: p.member.ID, Group: p.member.Group, Workspace: ws,
		state: a.State, answered: now, owner: owner,
	}, nil
}

func (p *pool) put(c *Conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
	if keep && !p.closed && p.open <= p.parent.Limit(&p.member) {
		p.idle = append(p.idle, c)
	} else {
		p.open--
		p.shut(c)
	}
	p.wake()
}

// sweep closes connections that were idle for long.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		if c.Quiet() < idleLife {
			return false
		}
		p.open--
		p.shut(c)
		return true
	})
}

// drop closes the idle connections, which may have gone silent.
func (p *pool) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.open--
		p.shut(c)
	}
	p.idle = nil
	p.wake()
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.drop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.wait) > 0 {
		p.wake()
	}
}
