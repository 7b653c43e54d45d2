package catal

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
