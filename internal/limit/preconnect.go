package limit

import (
	"context"
	"slices"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
)

// maxPreconnects limits the connections opened in advance, so that their number
// does not grow with the fleet.
const maxPreconnects = 16

// vmSet is a set of VMs.
type vmSet map[ident.VM]bool

// preconnectHolders sends an empty request to the nearest holders that have not
// received one since they became live, so that the first borrow finds an open
// connection: a handshake between regions takes most of the time for which a
// request waits for tokens. Only refresh calls it.
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

// nearestHolders returns up to maxPreconnects VMs to ask for tokens, each with one
// of the workspaces concerned, the first choices of all shards before the second.
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

// preconnect opens the connection to a VM by an empty request. It ignores failures,
// which show again when tokens are needed.
func (l *Limiter) preconnect(vm ident.VM, ws ident.Workspace) {
	c, err := l.cfg.Peers.Client(vm)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, _ = c.Borrow(ctx, &peerpb.BorrowRequest{Workspace: string(ws)})
}

// runInBackground runs f in the pool; Run waits for it to return.
func (l *Limiter) runInBackground(f func()) {
	l.tasks.Add(1)
	if l.pool.Go(func() { defer l.tasks.Done(); f() }) != nil {
		l.tasks.Done()
	}
}
