package relay

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// TurnCount returns the number of turns that count at a database.
func (s *Server) TurnCount(id ident.Target) int {
	q := s.turnsOf(id)
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.current)
}

// ExpireIdleStreams sets back the last use of all idle streams, so that the next
// Sweep closes them.
func (c *Client) ExpireIdleStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idleStreams {
		for _, l := range idle {
			l.usedAt = time.Now().Add(-streamIdleTimeout)
		}
	}
}
