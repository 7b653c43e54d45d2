// Package store is the interface to the platform's key-value service, which
// holds the catalogue and the leases of rate slices.
//
// The service offers compare-and-swap, leases and watches. A value may have up to
// one megabyte. The service counts the calls; an open watch counts as one. It has
// outages, and an answer can be lost after the write took effect. Swap resolves a
// lost answer: each value it writes carries an operation id, and after an error
// the entry is read back and its id compared.
//
// # Usage
//
//	e, err := s.Get(ctx, "catalogue")
//	...
//	res, err := store.Swap(ctx, s, store.Write{Key: "catalogue", Value: doc, Expected: e.Revision})
//	switch {
//	case err != nil:
//		// the outcome is unknown: neither Put nor the read back settled it
//	case !res.Done:
//		// another write came first; res.Current is the present entry
//	}
package store
