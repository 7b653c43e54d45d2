package node

import (
	"context"
	"time"

	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

// learnsSpeed reports whether the learned speed of a database is used.
func (n *Node) learnsSpeed(m *roster.Member) bool {
	if set := n.settings.LearnSpeed; set != nil && !*set {
		return false
	} else if set != nil {
		return true
	}
	return n.isLent(m.Group)
}

// watchStalls notices when this VM did not run, for example because it has used up
// its processor time, so that this is not taken for slowness of databases.
func (n *Node) watchStalls(ctx context.Context) {
	if set := n.settings.LearnSpeed; set != nil && !*set {
		return
	}
	t := time.NewTicker(speed.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.pools.Tick(time.Now())
		}
	}
}
