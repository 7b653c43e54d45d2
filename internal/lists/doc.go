// Package lists reads lists of keys from the platform's store for several VMs:
// a few VMs of each zone read, and the others ask them, so that the calls to the
// store don't grow with the number of VMs.
//
// A VM that reaches no reader, or only readers that the store turns away, reads
// for itself.
//
// # Usage
//
//	r := lists.New(lists.Config{Store: s, Peers: cache, Readers: readers})
//	entries, at, err := r.List(ctx, "targets/", true)
package lists
