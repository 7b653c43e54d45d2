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
const maxPreconnects = 16

// warmed are the VMs that have been asked since they were last live.
type vmSet map[ident.VM]bool

// warm sends an empty request to the nearest holders that have not had one, so
// that the first request that waits for tokens finds an open connection: a
// handshake between regions takes most of the waiting time. Only refresh calls
// it.
func (l *Limiter) preconnectHolders(v *view) {
	for vm := range l.preconnected {
		if !slices.ContainsFunc(v.live, isVM(vm)) {
			delete(l.preconnected, vm)
		}
	}
	if l.cfg.StaticSplit {
		return
	}
	for vm, ws := range l.nearestHolders(v) {
		if !l.preconnected[vm] {
			l.preconnected[vm] = true
			l.runInBackground(func() { l.preconnect(vm, ws) })
		}
	}
}

// nearest returns up to maxWarm VMs that hold slices of this VM's workspaces,
// the first choices of each shard before the second ones.
func (l *Limiter) nearestHolders(v *view) map[ident.VM]ident.Workspace {
	out := map[ident.VM]ident.Workspace{}
	for rank := range v.sliceCount {
		for ws := range v.workspaces {
			holders := v.holders[quota.ShardOf(ws, v.shardCount)]
			if rank < len(holders) {
				out[holders[rank]] = ws
			}
			if len(out) == maxPreconnects {
				return out
			}
		}
	}
	return out
}

// ping opens the connection; a failure shows again when tokens are needed.
func (l *Limiter) preconnect(vm ident.VM, ws ident.Workspace) {
	c, err := l.cfg.Peers.Client(vm)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, _ = c.Borrow(ctx, &peerpb.BorrowRequest{Workspace: string(ws)})
}

// background runs f in the pool; Run waits for its end.
func (l *Limiter) runInBackground(f func()) {
	l.tasks.Add(1)
	if l.pool.Go(func() { defer l.tasks.Done(); f() }) != nil {
		l.tasks.Done()
	}
}
