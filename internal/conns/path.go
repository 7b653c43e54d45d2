package conns

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/evlog"
)

const (
	// pathSilence is how long a statement may be silent before its path is
	// tested.
	pathSilence = 250 * time.Millisecond
	// pathAnswer bounds the answer to a question that tests a path.
	pathAnswer = 250 * time.Millisecond
	// pathGrace is what the older connection gets after the newer one has
	// answered, so that the end of a stall of the target is no loss.
	pathGrace = 50 * time.Millisecond
	// pathEvery is the least time between two tests of a target.
	pathEvery = 500 * time.Millisecond
)

// finding is the result of a test in which an existing connection gave no
// answer and a new one did.
type finding struct {
	// before is when the silent connection was last heard. Connections opened
	// until then were open when the path was lost.
	before time.Duration
	// asked is when the silent connection was asked. Connections heard since
	// then are not lost.
	asked time.Duration
}

// elapsed returns the time since the pools were made; it is never 0, which
// stands for no time.
func (p *Pools) elapsed() time.Duration { return time.Since(p.start) + 1 }

// hear notes that a message was received, and whether the answer to the
// session's statement is still to come.
func (c *Conn) hear(awaits bool) {
	now := int64(c.pool.p.elapsed())
	c.last.Store(now)
	if awaits {
		c.sent.Store(now)
	} else {
		c.sent.Store(0)
	}
}

// precedes reports whether a message comes before a statement runs.
func precedes(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.ParameterDescription, *pgproto3.RowDescription, *pgproto3.NoData:
		return true
	}
	return false
}

// silence returns how long an answer has been awaited, 0 when it has begun. A
// caller that reads slowly delays only what follows the beginning, so it makes
// no silence.
func (c *Conn) silence() time.Duration {
	sent := time.Duration(c.sent.Load())
	if sent == 0 {
		return 0
	}
	return c.pool.p.elapsed() - sent
}

// lost reports whether a connection that waits for an answer is among those
// that a test found to be lost.
func (l *pool) lost(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.finding
	return f.asked > 0 && c.opened <= f.before && time.Duration(c.last.Load()) <= f.asked
}

// lose retires the generation of lost connections and has their statements
// interrupted.
func (l *pool) lose(f finding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finding = f
	l.renew()
	if l.listener != nil && l.listener.opened <= f.before {
		l.listener.close() // a new one is opened at once
	}
}

// listens notes the connection that follows the quorum position.
func (l *pool) listens(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = c
}

// beginTest reports whether a test of the path may begin now.
func (l *pool) beginTest() bool {
	now := l.p.elapsed()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.testing || l.tested > 0 && now-l.tested < pathEvery {
		return false
	}
	l.testing, l.tested = true, now
	return true
}

func (l *pool) endTest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.testing = false
}

// neighbour takes the idle connection that was used last among those that were
// open at a time; one opened later proves nothing.
func (l *pool) neighbour(at time.Duration) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.idle) - 1; i >= 0; i-- {
		if c := l.idle[i]; c.opened <= at && c.generation == l.generation {
			l.idle = slices.Delete(l.idle, i, i+1)
			l.outstanding++
			return c
		}
	}
	return nil
}

// testPath compares a connection as old as c with a new one in the background.
// Without an idle connection the quorum listener of a primary is tested.
func (p *Pools) testPath(c *Conn) {
	l := c.pool
	if !l.beginTest() {
		return
	}
	sent := time.Duration(c.sent.Load())
	test := func() {
		defer l.endTest()
		if x := l.neighbour(sent); x != nil {
			p.testIdle(x)
			return
		}
		if g, ok := p.cfg.Groups.Group(l.group); ok && g.Primary == l.target {
			p.follow(l.group).test()
		}
	}
	if !p.background(test) {
		l.endTest()
	}
}

// testIdle asks an idle connection and gives it back when it answers.
func (p *Pools) testIdle(x *Conn) {
	f := finding{before: time.Duration(x.last.Load()), asked: p.elapsed()}
	x.SetDeadline(time.Now().Add(pathAnswer))
	_, err := x.LogPosition()
	if isTimeout(err) {
		p.compare(x, f)
	}
	row, term, err := p.row(x.group, x.target)
	if err != nil {
		x.CloseOnPut()
	}
	x.pool.put(x, row, term, time.Now())
}

// compare asks a new connection after x gave no answer. When that one answers
// and x still doesn't, the connections of the time of x are lost. When neither
// answers the target is slow, which is for others to judge.
func (p *Pools) compare(x *Conn, f finding) {
	l := x.pool
	if !p.answers(l, x.database) {
		return
	}
	_ = x.net.SetReadDeadline(time.Now().Add(pathGrace))
	if _, err := x.fe.Receive(); err == nil {
		return
	}
	l.lose(f)
	evlog.At(p.cfg.Log, evlog.PathLost).Str("group", string(l.group)).Str("target", string(l.target)).Send()
	p.cfg.Scope.Tagged(map[string]string{"target": string(l.target)}).Counter("paths_lost").Inc(1)
}

// answers reports whether a new connection to the target gets an answer.
func (p *Pools) answers(l *pool, database string) bool {
	row, _, err := p.row(l.group, l.target)
	if err != nil {
		return false
	}
	deadline := time.Now().Add(pathAnswer)
	ctx, cancel := context.WithDeadline(p.ctx, deadline)
	defer cancel()
	n, err := p.connect(ctx, l, row, database)
	if err != nil {
		return false
	}
	defer n.close()
	n.SetDeadline(deadline)
	_, err = n.LogPosition()
	return err == nil
}

// test makes the listener ask its primary when it is silent.
func (q *quorum) test() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tested = true
}

// takeTest reports whether a test was wanted, once.
func (q *quorum) takeTest() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.tested
	q.tested = false
	return t
}
