package engine

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/roster"
)

// getConn returns a connection to a database for a statement. Where routes differ in
// priority, the statement waits for its turn first.
func (s *Session) getConn(c *call, deadline time.Time, m *roster.Member) (*dbpool.Conn, error) {
	sched := c.scheduling
	sched.Spent = time.Since(c.start)
	return s.e.cfg.Pools.GetScheduled(deadline, m, s.auth.Workspace, s.owner, sched)
}
