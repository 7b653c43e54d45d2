package relay

import "time"

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
