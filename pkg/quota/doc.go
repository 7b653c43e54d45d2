// Package quota counts the rate and burst of workspaces over the whole fleet.
//
// The right to mint a workspace's tokens is divided into slices. A VM holds a
// slice under a store lease and keeps a bucket for it; a VM without enough
// tokens borrows them from holders as grants with a lifetime. For each bucket
// level + outstanding grants <= burst, so that for every window of time the
// fleet admits at most rate x time + burst. The bucket itself is the token
// bucket of RFC 2697; the argument for lending is in section 9 of the design.
//
// The package is pure: callers pass the time, carry messages and talk to the
// store. Its types are not safe for concurrent use.
//
// # Usage
//
// Holdings tracks which slices the VM may use; an Account admits the requests
// of one workspace:
//
//	a := quota.NewAccount(quota.Config{Self: "vm-1"})
//	a.Configure(quota.Setup{Limit: limit, Slices: 12, Held: held}, now)
//	if !a.Admit(now, lease) {
//		ticket := a.Enqueue(now)
//	}
//	out := a.Poll(now, lease)
//	// send out.Asks, answer out.Admitted and out.Refused, poll again at out.Wake
//
// A fast path that may be delayed after Admit calls Fresh with the time that
// it passed to Admit before it lets the request through.
//
// Static splits the limit evenly over the live VMs. It is the baseline of the
// measurements and refuses requests that the fleet as a whole has tokens for.
package quota
