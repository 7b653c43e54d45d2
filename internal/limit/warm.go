package limit

import (
	"context"
	"slices"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
)

// maxWarm bounds the connections that are opened in advance, so that their
// number does not grow with the fleet.
const maxWarm = 16

// warmed are the VMs that have been asked since they were last live.
type warmed map[ident.VM]bool

// warm sends an empty request to the nearest holders that have not had one, so
// that the first request that waits for tokens finds an open connection: a
// handshake between regions takes most of the waiting time. Only refresh calls
// it.
func (l *Limiter) warm(v *view) {
	for vm := range l.warmed {
		if !slices.ContainsFunc(v.live, isVM(vm)) {
			delete(l.warmed, vm)
		}
	}
	if l.cfg.StaticSplit {
		return
	}
	for vm, ws := range l.nearest(v) {
		if !l.warmed[vm] {
			l.warmed[vm] = true
			l.background(func() { l.ping(vm, ws) })
		}
	}
}

// nearest returns up to maxWarm VMs that hold slices of this VM's workspaces,
// the first choices of each shard before the second ones.
func (l *Limiter) nearest(v *view) map[ident.VM]ident.Workspace {
	out := map[ident.VM]ident.Workspace{}
	for rank := range v.slices {
		for ws := range v.entries {
			holders := v.holders[quota.ShardOf(ws, v.shards)]
			if rank < len(holders) {
				out[holders[rank]] = ws
			}
			if len(out) == maxWarm {
				return out
			}
		}
	}
	return out
}

// ping opens the connection; a failure shows again when tokens are needed.
func (l *Limiter) ping(vm ident.VM, ws ident.Workspace) {
	c, err := l.cfg.Peers.Client(vm)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, _ = c.Borrow(ctx, &peerpb.BorrowRequest{Workspace: string(ws)})
}

// background runs f in the pool; Run waits for its end.
func (l *Limiter) background(f func()) {
	l.asks.Add(1)
	if l.pool.Go(func() { defer l.asks.Done(); f() }) != nil {
		l.asks.Done()
	}
}
