// Package limit enforces the rates of workspaces and allocates the slots of
// targets on one VM. It carries out the decisions of packages quota, gate and
// fairq: it claims slices in the store, borrows tokens from other VMs and lends
// tokens to them, and requests slots from the gates of targets.
//
// The requests to single databases are limited in the same way: a database with a limit
// in Config.Targets has an account beside those of the workspaces, and AdmitAt takes its
// tokens.
//
// For rates, locks are taken in the order Limiter.refreshMu, workspaceEntry.mu,
// sliceState.mu; for slots, a target or a gate is locked. No lock is held
// across I/O. A request for which tokens or a slot are available takes one lock
// and sends nothing.
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
// The peer server forwards its methods Borrow and Slots to the Limiter. On a
// planned stop Drain releases the slices.
package limit
