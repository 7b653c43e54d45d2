// Package lists reads lists of keys from the platform's store through a cache
// that VMs share. A few VMs of each region read the store, a few of each zone ask
// them, and the others ask those of their zone, so that the number of calls to the
// store does not grow with the number of VMs. A list that has not changed is not
// sent again.
//
// A VM reads the store itself if it reaches no reader, or only readers whose own
// calls to the store fail.
//
// # Usage
//
//	r := lists.New(lists.Config{Store: s, Peers: cache, Readers: readers})
//	entries, at, err := r.List(ctx, "targets/", true)
package lists
