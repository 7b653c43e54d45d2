package relay

import "time"

// Expire makes the unused streams old.
func (c *Client) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		for _, l := range idle {
			l.used = time.Now().Add(-idleLife)
		}
	}
}
