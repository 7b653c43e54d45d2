// Package epoch keeps rights exclusive that are held under leases of the platform's
// store, when the store is restored from an older copy of itself.
//
// A restored store has forgotten the leases that it granted since the copy was made, and
// the renewals of older ones. It would grant the same right to a second VM while the
// first holds it, until the deadline that the first was told. So nobody is granted a
// right anew until all those that the store may have forgotten have ended: the first VM
// that calls the store in a new epoch writes a key under a lease of their longest
// lifetime, and rights wait until that key is gone. A VM that held a right before the
// restoration may write its key again meanwhile.
//
// # Usage
//
//	g := epoch.New(epoch.Config{Store: s, Lifetimes: []time.Duration{claimTTL, sliceTTL}})
//	e, ok, err := g.Settled(ctx, sliceTTL)
//	// if ok, write the right's key and compare the epoch of its revision with e
package epoch
