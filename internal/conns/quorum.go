package conns

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
	"chervilspan.example/pkg/topo"
)

const (
	// quorumIdle is how long a listener stays open with nobody waiting.
	quorumIdle = 60 * time.Second
	// quorumSilence is how long a listener with waiters may be silent before
	// it asks the primary, which also shows a connection that went silent.
	quorumSilence = 250 * time.Millisecond
	// quorumAnswer bounds the answer to that question.
	quorumAnswer = pathAnswer
	// quorumRetry is the wait before a listener is opened again.
	quorumRetry = 50 * time.Millisecond
	// quorumChannel is where a primary notifies its quorum position.
	quorumChannel = "chervil_quorum"
)

// quorum follows the quorum position of a group's primary.
type quorum struct {
	mu       sync.Mutex
	position ident.Position
	changed  chan struct{}
	waiters  int
	// wanted is when somebody last waited.
	wanted  time.Time
	running bool
	// tested tells that a silent statement wants the path to be tested.
	tested bool
}

func (q *quorum) advance(p ident.Position) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.position.Less(p) {
		q.position = p
		close(q.changed)
		q.changed = make(chan struct{})
	}
}

func (p *Pools) follow(group ident.Group) *quorum {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.quorum[group]
	if q == nil {
		q = &quorum{changed: make(chan struct{})}
		p.quorum[group] = q
	}
	return q
}

// WaitForQuorum returns when a majority of the group holds the entry at pos, which this
// VM's caller committed. The error is of KindSuperseded when the term of pos
// has ended before that was known, and of KindDeadline when ctx ended.
func (p *Pools) WaitForQuorum(ctx context.Context, group ident.Group, pos ident.Position) error {
	q := p.follow(group)
	q.mu.Lock()
	q.waiters++
	q.wanted = time.Now()
	if !q.running {
		q.running = true
		p.background(func() { p.listen(group, q) })
	}
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		q.waiters--
		q.wanted = time.Now()
		q.mu.Unlock()
	}()
	// The group table has no notification, so its term is looked at in steps.
	tick := time.NewTicker(quorumRetry)
	defer tick.Stop()
	for {
		q.mu.Lock()
		held, changed := q.position, q.changed
		q.mu.Unlock()
		if held.Term == pos.Term && !held.Less(pos) {
			return nil
		}
		g, _ := p.cfg.Groups.Group(group)
		if held.Term > pos.Term || g.Term > pos.Term {
			return &Error{Op: "wait for quorum", Target: g.Primary, Kind: KindSuperseded, Outcome: retry.Unknown}
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-ctx.Done():
			return &Error{Op: "wait for quorum", Target: g.Primary, Kind: KindDeadline, Outcome: retry.Unknown, Err: ctx.Err()}
		}
	}
}

// listen keeps a listener open until nobody has waited for a while.
func (p *Pools) listen(group ident.Group, q *quorum) {
	for {
		p.listenOnce(group, q)
		q.mu.Lock()
		if p.ctx.Err() != nil || q.waiters == 0 && time.Since(q.wanted) >= quorumIdle {
			q.running = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		select {
		case <-time.After(quorumRetry):
		case <-p.ctx.Done():
		}
	}
}

// listenOnce follows the present primary until its connection fails, it is
// replaced, or nobody needs it.
func (p *Pools) listenOnce(group ident.Group, q *quorum) {
	g, ok := p.cfg.Groups.Group(group)
	row, known := g.Target(g.Primary)
	if !ok || !known {
		return
	}
	l := p.pool(group, g.Primary)
	ctx, end := p.WhilePrimary(p.ctx, group, g.Primary)
	c, err := p.connect(ctx, l, row, "")
	superseded := Is(context.Cause(ctx), KindSuperseded)
	end()
	if err != nil {
		if !answered(err) && !superseded && p.ctx.Err() == nil {
			p.failed(l)
			p.judge(l, "", probeEvery)
		}
		return
	}
	stop := context.AfterFunc(p.ctx, c.close)
	defer stop()
	defer c.close()
	l.listens(c)
	defer l.listens(nil)
	evlog.At(p.cfg.Log, evlog.QuorumListenerOpen).Str("group", string(group)).Str("target", string(g.Primary)).Send()
	if err := p.read(c, g, q); err != nil && p.ctx.Err() == nil {
		evlog.At(p.cfg.Log, evlog.QuorumListenerLost).Str("group", string(group)).Str("target", string(g.Primary)).Err(err).Send()
		p.judge(l, "", 0)
	}
}

// read follows the notifications on one connection. It returns nil when the
// connection is no longer needed.
func (p *Pools) read(c *Conn, g topo.Group, q *quorum) error {
	c.Send(&pgproto3.Query{String: "LISTEN " + quorumChannel})
	if err := ask(c); err != nil {
		return err
	}
	asked := true
	f := finding{asked: p.elapsed()}
	for {
		wait := quorumSilence
		if asked {
			wait = quorumAnswer
		}
		_ = c.net.SetReadDeadline(time.Now().Add(wait))
		m, err := c.fe.Receive()
		if isTimeout(err) && !asked {
			if now, ok := p.cfg.Groups.Group(g.ID); !ok || now.Primary != g.Primary || now.Term != g.Term || q.unneeded() {
				return nil
			}
			if !q.takeTest() && !q.waited() {
				continue
			}
			f.asked = p.elapsed()
			if err := ask(c); err != nil {
				return err
			}
			asked = true
			continue
		}
		if isTimeout(err) {
			f.before = time.Duration(c.last.Load())
			f.asked = max(f.asked, f.before)
			p.compare(c, f)
		}
		if err != nil {
			return err
		}
		c.hear(false)
		if answer(m, q) {
			c.outstanding--
		}
		asked = c.outstanding > 0
	}
}

// ask requests the status, which has the quorum position.
func ask(c *Conn) error {
	_ = c.net.SetWriteDeadline(time.Now().Add(quorumAnswer))
	c.Send(&pgproto3.Query{String: "SELECT quorum_term, quorum_index FROM chervil_status()"})
	return c.Flush()
}

// answer takes a message of a listener and reports whether it ends an answer.
func answer(m pgproto3.BackendMessage, q *quorum) bool {
	switch m := m.(type) {
	case *pgproto3.NotificationResponse:
		if m.Channel == quorumChannel {
			q.take(m.Payload)
		}
	case *pgproto3.DataRow:
		if len(m.Values) == 2 {
			q.take(string(m.Values[0]) + "/" + string(m.Values[1]))
		}
	case *pgproto3.ReadyForQuery:
		return true
	}
	return false
}

func (q *quorum) take(text string) {
	if p, err := ident.ParsePosition(text); err == nil {
		q.advance(p)
	}
}

func (q *quorum) waited() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters > 0
}

func (q *quorum) unneeded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters == 0 && time.Since(q.wanted) >= quorumIdle
}
