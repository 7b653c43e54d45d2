// Package quota enforces the rate and burst of workspaces across all VMs.
//
// The right to mint a workspace's tokens is divided into slices. A VM holds a
// slice under a store lease and keeps a token bucket for it; a VM without enough
// tokens borrows them from holders as grants with a limited lifetime. Each
// bucket keeps level + outstanding grants <= burst, so in any time window all
// VMs together admit at most rate x time + burst. The bucket is the token bucket
// of RFC 2697; section 9 of docs/design.md gives the argument for lending.
//
// A permit is the token that an admitted request has taken. Like a grant, it may
// be used for one lifetime.
//
// The package does no I/O and reads no clock: callers pass the time, carry
// messages and access the store. Its types are not safe for concurrent use.
//
// # Usage
//
// SliceSet tracks which slices the VM may use; an Account admits the requests
// of one workspace:
//
//	a := quota.NewAccount(quota.Config{Self: "vm-1"})
//	a.Configure(quota.Setup{Limit: limit, SliceCount: 12, HeldSlices: held}, now)
//	if !a.Admit(now, leaseDeadline) {
//		ticket := a.Enqueue(now)
//	}
//	out := a.Poll(now, leaseDeadline)
//	// send out.Borrows, answer out.Admitted and out.Refused, poll again at out.NextPoll
//
// A fast path that may be delayed after Admit calls PermitValid with the time
// that it passed to Admit before it forwards the request.
//
// StaticShare splits the limit evenly over the live VMs. It is the baseline for
// measurements and refuses requests for which other VMs still have tokens.
package quota
