// Package limit enforces the rates of workspaces and shares out the slots of
// targets on one VM. It runs the decisions of quota, gate and fairq: it claims
// slices in the store, borrows tokens from other VMs and lends them, and asks
// the gates of targets for slots.
//
// Locks are taken in the order refresh, entry, shares for rates and target or
// gate for slots; no lock is held across I/O. A request that has tokens or a slot at
// hand takes one lock and sends nothing.
//
// # Usage
//
//	l := limit.New(limit.Config{Catalogue: c, Fleet: f, Peers: p, Store: s, Log: log, Scope: scope})
//	go l.Run(ctx)
//	...
//	if err := l.Admit(ctx, ws); err != nil {
//		return err // err has SQLState() and says "not run"
//	}
//	release, err := l.Acquire(ctx, target, ws, weight)
//	if err != nil {
//		return err
//	}
//	defer release()
//
// The peer server passes its methods Borrow and Slots on to the Limiter. On a
// planned stop Drain gives the slices back.
package limit
