package wire

import (
	"context"
	"errors"

	"chervilspan.example/internal/conns"
)

// cancel ends what the session runs at this moment. Nothing that the caller
// sends later is hit: a connection that was sent a cancel request is not used
// for another transaction, and the next statement of the same one waits until
// the target has taken the request.
func (s *session) cancel() {
	s.mu.Lock()
	c := s.runningConn
	if c == nil {
		if s.cancelUnit != nil {
			s.cancelUnit(errCancelled)
		}
		s.mu.Unlock()
		return
	}
	ctx, done := context.WithCancel(s.srv.ctx)
	finish := c.BeginCancel()
	s.mu.Unlock()
	task := func() {
		defer done()
		defer finish()
		_ = s.srv.cfg.Pools.Cancel(ctx, c)
	}
	if !s.srv.startTask(task) {
		task()
	}
}

// setRunning makes cancel requests go to the connection. It reports false when
// the unit was cancelled before.
func (s *session) setRunning(ctx context.Context, c *conns.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(context.Cause(ctx), errCancelled) {
		return false
	}
	s.runningConn = c
	return true
}

// clearRunning ends that, and waits for a cancel request that is under way.
func (s *session) clearRunning(c *conns.Conn) {
	s.mu.Lock()
	s.runningConn = nil
	s.mu.Unlock()
	c.AwaitCancel()
}
