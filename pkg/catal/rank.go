package catal

import "time"

// RanksRoutes reports whether routes with a latency objective differ in priority, so
// that statements for which room is short are served by priority.
func (c *Catalogue) RanksRoutes() bool {
	var first uint32
	for _, r := range c.Routes {
		k, ok := c.Classes[r.Class]
		if !ok || k.ObjectiveMS == 0 {
			continue
		}
		if w := k.FairWeight(); first == 0 {
			first = w
		} else if w != first {
			return true
		}
	}
	return false
}

// ShortestObjective returns the shortest latency objective of the routes, 0 if none has
// one.
func (c *Catalogue) ShortestObjective() time.Duration {
	var least uint32
	for _, r := range c.Routes {
		if o := c.Classes[r.Class].ObjectiveMS; o > 0 && (least == 0 || o < least) {
			least = o
		}
	}
	return time.Duration(least) * time.Millisecond
}
