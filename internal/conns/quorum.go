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
	// listenerIdleTimeout is how long a listener stays open without waiters.
	listenerIdleTimeout = 60 * time.Second
	// listenerSilenceTimeout is how long a listener with waiters may be silent
	// before it queries the primary, which also detects a connection that went
	// silent.
	listenerSilenceTimeout = 250 * time.Millisecond
	// listenerAnswerTimeout bounds the answer to that query.
	listenerAnswerTimeout = pathAnswerTimeout
	// listenerRetryDelay is the delay before a listener is opened again, and the
	// interval at which WaitForQuorum polls the group's term.
	listenerRetryDelay = 50 * time.Millisecond
	// quorumChannel is the channel on which a primary notifies its quorum
	// position.
	quorumChannel = "chervil_quorum"
)

// quorumTracker follows the quorum position of a group's primary.
type quorumTracker struct {
	mu       sync.Mutex
	position ident.Position
	changed  chan struct{}
	waiters  int
	// lastWaited is when a wait last began or ended.
	lastWaited time.Time
	listening  bool
	// pathTestRequested tells that a silent statement needs a path test.
	pathTestRequested bool
}

func (q *quorumTracker) advance(p ident.Position) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.position.Less(p) {
		q.position = p
		close(q.changed)
		q.changed = make(chan struct{})
	}
}

func (p *Pools) quorumOf(group ident.Group) *quorumTracker {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.quorums[group]
	if q == nil {
		q = &quorumTracker{changed: make(chan struct{})}
		p.quorums[group] = q
	}
	return q
}

// WaitForQuorum returns when a majority of the group holds the entry at pos,
// which a caller of this VM committed. The error is of KindSuperseded when the
// term of pos ended before that was known, and of KindDeadline when ctx ended.
func (p *Pools) WaitForQuorum(ctx context.Context, group ident.Group, pos ident.Position) error {
	q := p.quorumOf(group)
	q.mu.Lock()
	q.waiters++
	q.lastWaited = time.Now()
	if !q.listening {
		q.listening = true
		p.background(func() { p.runListener(group, q) })
	}
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		q.waiters--
		q.lastWaited = time.Now()
		q.mu.Unlock()
	}()
	// The group table sends no notifications, so its term is polled.
	tick := time.NewTicker(listenerRetryDelay)
	defer tick.Stop()
	for {
		q.mu.Lock()
		quorum, changed := q.position, q.changed
		q.mu.Unlock()
		if quorum.Term == pos.Term && !quorum.Less(pos) {
			return nil
		}
		g, _ := p.cfg.Groups.Group(group)
		if quorum.Term > pos.Term || g.Term > pos.Term {
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

// runListener keeps a listener open until there was no waiter for
// listenerIdleTimeout.
func (p *Pools) runListener(group ident.Group, q *quorumTracker) {
	for {
		p.listenOnce(group, q)
		q.mu.Lock()
		if p.ctx.Err() != nil || q.waiters == 0 && time.Since(q.lastWaited) >= listenerIdleTimeout {
			q.listening = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		select {
		case <-time.After(listenerRetryDelay):
		case <-p.ctx.Done():
		}
	}
}

// listenOnce follows the present primary until the connection fails, the primary
// is replaced, or the listener is no longer needed.
func (p *Pools) listenOnce(group ident.Group, q *quorumTracker) {
	g, ok := p.cfg.Groups.Group(group)
	tgt, known := g.Target(g.Primary)
	if !ok || !known {
		return
	}
	l := p.poolOf(group, g.Primary)
	ctx, stopWatch := p.WhilePrimary(p.ctx, group, g.Primary)
	c, err := p.connect(ctx, l, tgt, "")
	superseded := Is(context.Cause(ctx), KindSuperseded)
	stopWatch()
	if err != nil {
		if !refusedByServer(err) && !superseded && p.ctx.Err() == nil {
			p.recordFailure(l)
			p.startProbing(l, "", probeInterval)
		}
		return
	}
	stop := context.AfterFunc(p.ctx, c.close)
	defer stop()
	defer c.close()
	l.setListener(c)
	defer l.setListener(nil)
	evlog.At(p.cfg.Log, evlog.QuorumListenerOpen).Str("group", string(group)).Str("target", string(g.Primary)).Send()
	if err := p.readNotifications(c, g, q); err != nil && p.ctx.Err() == nil {
		evlog.At(p.cfg.Log, evlog.QuorumListenerLost).Str("group", string(group)).Str("target", string(g.Primary)).Err(err).Send()
		p.startProbing(l, "", 0)
	}
}

// readNotifications follows the notifications on one connection. It returns nil
// when the connection is no longer needed.
func (p *Pools) readNotifications(c *Conn, g topo.Group, q *quorumTracker) error {
	c.Send(&pgproto3.Query{String: "LISTEN " + quorumChannel})
	if err := requestStatus(c); err != nil {
		return err
	}
	awaitingAnswer := true
	loss := pathLoss{askedAt: p.elapsed()}
	for {
		wait := listenerSilenceTimeout
		if awaitingAnswer {
			wait = listenerAnswerTimeout
		}
		_ = c.netConn.SetReadDeadline(time.Now().Add(wait))
		m, err := c.frontend.Receive()
		if isTimeout(err) && !awaitingAnswer {
			if now, ok := p.cfg.Groups.Group(g.ID); !ok || now.Primary != g.Primary || now.Term != g.Term || q.idleExpired() {
				return nil
			}
			if !q.takePathTest() && !q.hasWaiters() {
				continue
			}
			loss.askedAt = p.elapsed()
			if err := requestStatus(c); err != nil {
				return err
			}
			awaitingAnswer = true
			continue
		}
		if isTimeout(err) {
			loss.lastHeard = time.Duration(c.heardAt.Load())
			loss.askedAt = max(loss.askedAt, loss.lastHeard)
			p.compareWithNew(c, loss)
		}
		if err != nil {
			return err
		}
		c.recordReceived(false)
		if handleMessage(m, q) {
			c.outstanding--
		}
		awaitingAnswer = c.outstanding > 0
	}
}

// requestStatus queries the status, which has the quorum position.
func requestStatus(c *Conn) error {
	_ = c.netConn.SetWriteDeadline(time.Now().Add(listenerAnswerTimeout))
	c.Send(&pgproto3.Query{String: "SELECT quorum_term, quorum_index FROM chervil_status()"})
	return c.Flush()
}

// handleMessage handles a message on a listener and reports whether it ends an
// answer.
func handleMessage(m pgproto3.BackendMessage, q *quorumTracker) bool {
	switch m := m.(type) {
	case *pgproto3.NotificationResponse:
		if m.Channel == quorumChannel {
			q.recordText(m.Payload)
		}
	case *pgproto3.DataRow:
		if len(m.Values) == 2 {
			q.recordText(string(m.Values[0]) + "/" + string(m.Values[1]))
		}
	case *pgproto3.ReadyForQuery:
		return true
	}
	return false
}

func (q *quorumTracker) recordText(text string) {
	if p, err := ident.ParsePosition(text); err == nil {
		q.advance(p)
	}
}

func (q *quorumTracker) hasWaiters() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters > 0
}

func (q *quorumTracker) idleExpired() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters == 0 && time.Since(q.lastWaited) >= listenerIdleTimeout
}
