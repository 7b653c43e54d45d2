package conns

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/internal/evlog"
)

const (
	// pathSilenceTimeout is how long a statement may wait for an answer before
	// the path to its target is tested.
	pathSilenceTimeout = 250 * time.Millisecond
	// pathAnswerTimeout bounds a status query that tests a path.
	pathAnswerTimeout = 250 * time.Millisecond
	// pathGracePeriod is how long the old connection may still answer after the
	// new one has, so that the end of a stall of the target does not count as a
	// lost path.
	pathGracePeriod = 50 * time.Millisecond
	// pathTestInterval is the minimum time between two path tests of a target.
	pathTestInterval = 500 * time.Millisecond
)

// pathLoss is the result of a path test in which an existing connection gave no
// answer and a new one did.
type pathLoss struct {
	// lastHeard is when the silent connection last received a message.
	// Connections opened until then were open when the path was lost.
	lastHeard time.Duration
	// askedAt is when the status was queried on the silent connection.
	// Connections that received a message since then are not lost.
	askedAt time.Duration
}

// elapsed returns the time since the pools were created. It is never 0, because
// 0 stands for an event that has not happened.
func (p *Pools) elapsed() time.Duration { return time.Since(p.startTime) + 1 }

// recordReceived records that a message was received; awaiting tells whether the
// answer to the session's statement is still to come.
func (c *Conn) recordReceived(awaiting bool) {
	now := int64(c.pool.pools.elapsed())
	c.heardAt.Store(now)
	if awaiting {
		c.awaitedSince.Store(now)
	} else {
		c.awaitedSince.Store(0)
	}
}

// precedesExecution reports whether a message is sent before the statement runs.
func precedesExecution(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.ParameterDescription, *pgproto3.RowDescription, *pgproto3.NoData:
		return true
	}
	return false
}

// silentFor returns how long an answer has been awaited, 0 when it has begun. A
// caller that reads slowly delays only the rest of an answer, so it does not
// make the connection count as silent.
func (c *Conn) silentFor() time.Duration {
	sent := time.Duration(c.awaitedSince.Load())
	if sent == 0 {
		return 0
	}
	return c.pool.pools.elapsed() - sent
}

// isLost reports whether a connection that waits for an answer is among those
// that a path test found to be lost.
func (l *pool) isLost(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	loss := l.pathLoss
	return loss.askedAt > 0 && c.openedAt <= loss.lastHeard && time.Duration(c.heardAt.Load()) <= loss.askedAt
}

// recordPathLoss retires the generation of the lost connections and lets the
// statements on them be interrupted.
func (l *pool) recordPathLoss(loss pathLoss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pathLoss = loss
	l.startGeneration()
	if l.listener != nil && l.listener.openedAt <= loss.lastHeard {
		l.listener.close() // a new one is opened after listenerRetryDelay
	}
}

// setListener sets the connection that follows the quorum position; nil stands
// for none.
func (l *pool) setListener(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = c
}

// beginPathTest reports whether a path test may begin now, and marks it as begun.
func (l *pool) beginPathTest() bool {
	now := l.pools.elapsed()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.testingPath || l.pathTestAt > 0 && now-l.pathTestAt < pathTestInterval {
		return false
	}
	l.testingPath, l.pathTestAt = true, now
	return true
}

func (l *pool) endPathTest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.testingPath = false
}

// takeIdleOpenAt takes the most recently used idle connection that was open at
// the given time. One opened later could not show that the path was lost.
func (l *pool) takeIdleOpenAt(at time.Duration) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.idle) - 1; i >= 0; i-- {
		if c := l.idle[i]; c.openedAt <= at && c.generation == l.generation {
			l.idle = slices.Delete(l.idle, i, i+1)
			l.outstanding++
			return c
		}
	}
	return nil
}

// testPath tests in the background whether connections as old as c are lost. It
// uses an idle connection, or if there is none and the target is the primary,
// the quorum listener.
func (p *Pools) testPath(c *Conn) {
	l := c.pool
	if !l.beginPathTest() {
		return
	}
	sent := time.Duration(c.awaitedSince.Load())
	test := func() {
		defer l.endPathTest()
		if old := l.takeIdleOpenAt(sent); old != nil {
			p.testIdleConn(old)
			return
		}
		if g, ok := p.cfg.Groups.Group(l.group); ok && g.Primary == l.target {
			p.quorumOf(l.group).requestPathTest()
		}
	}
	if !p.background(test) {
		l.endPathTest()
	}
}

// testIdleConn queries the status on an idle connection and puts it back, which
// closes it if it did not answer.
func (p *Pools) testIdleConn(old *Conn) {
	loss := pathLoss{lastHeard: time.Duration(old.heardAt.Load()), askedAt: p.elapsed()}
	old.SetDeadline(time.Now().Add(pathAnswerTimeout))
	_, err := old.LogPosition()
	if isTimeout(err) {
		p.compareWithNew(old, loss)
	}
	tgt, term, err := p.lookupTarget(old.group, old.target)
	if err != nil {
		old.CloseOnPut()
	}
	old.pool.put(old, tgt, term, time.Now())
}

// compareWithNew queries the status on a new connection after old gave no
// answer. If the new one answers and old still doesn't, the connections that
// were open when old was last heard are lost. If neither answers, the target
// itself is slow or failed, which probes and the failover decide.
func (p *Pools) compareWithNew(old *Conn, loss pathLoss) {
	l := old.pool
	if !p.newConnAnswers(l, old.database) {
		return
	}
	_ = old.netConn.SetReadDeadline(time.Now().Add(pathGracePeriod))
	if _, err := old.frontend.Receive(); err == nil {
		return
	}
	l.recordPathLoss(loss)
	evlog.At(p.cfg.Log, evlog.PathLost).Str("group", string(l.group)).Str("target", string(l.target)).Send()
	p.cfg.Scope.Tagged(map[string]string{"target": string(l.target)}).Counter("paths_lost").Inc(1)
}

// newConnAnswers reports whether a new connection to the target gets an answer.
func (p *Pools) newConnAnswers(l *pool, database string) bool {
	tgt, _, err := p.lookupTarget(l.group, l.target)
	if err != nil {
		return false
	}
	deadline := time.Now().Add(pathAnswerTimeout)
	ctx, cancel := context.WithDeadline(p.ctx, deadline)
	defer cancel()
	newConn, err := p.connect(ctx, l, tgt, database)
	if err != nil {
		return false
	}
	defer newConn.close()
	newConn.SetDeadline(deadline)
	_, err = newConn.LogPosition()
	return err == nil
}

// requestPathTest makes a silent listener query the status of its primary.
func (q *quorumTracker) requestPathTest() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pathTestRequested = true
}

// takePathTest reports whether a path test was requested, and clears the request.
func (q *quorumTracker) takePathTest() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.pathTestRequested
	q.pathTestRequested = false
	return t
}
