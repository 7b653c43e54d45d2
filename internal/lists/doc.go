// Package lists reads lists of keys from the platform's store through a cache
// that VMs share: a few VMs of each zone, the readers, read the store, and the
// others ask them, so that the number of calls to the store does not grow with
// the number of VMs.
//
// A VM reads the store itself if it reaches no reader, or only readers whose own
// calls to the store fail.
//
// # Usage
//
//	r := lists.New(lists.Config{Store: s, Peers: cache, Readers: readers})
//	entries, at, err := r.List(ctx, "targets/", true)
package lists
