package wire

import (
	"context"
	"errors"

	"chervilspan.example/internal/conns"
)

// cancel cancels the unit that the session is running. It never affects a later
// unit: a connection for which a cancel request was sent is not used for another
// transaction, and the next statement of the same transaction waits until the
// target has received the request.
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

// setRunning directs cancel requests to the connection. It reports false when the
// unit has already been cancelled.
func (s *session) setRunning(ctx context.Context, c *conns.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(context.Cause(ctx), errCancelled) {
		return false
	}
	s.runningConn = c
	return true
}

// clearRunning stops directing cancel requests to the connection, and waits for one
// that is in progress.
func (s *session) clearRunning(c *conns.Conn) {
	s.mu.Lock()
	s.runningConn = nil
	s.mu.Unlock()
	c.AwaitCancel()
}
