// Package store is the interface to the platform's key-value service, which
// holds the catalogue and the leases of rate slices.
//
// The service offers compare-and-swap, leases and watches, holds values of up
// to one megabyte, and counts each call, a waiting watch as one. It has
// outages, and an answer can be lost after the write took effect. Swap hides
// the lost answer: each value it writes carries an operation id, and after an
// error the entry is read back and its id compared.
//
// # Usage
//
//	e, err := s.Get(ctx, "catalogue")
//	...
//	res, err := store.Swap(ctx, s, store.Write{Key: "catalogue", Value: doc, Expected: e.Revision})
//	switch {
//	case err != nil:
//		// unknown: neither the write nor the read back was answered
//	case !res.Done:
//		// lost a race; res.Current is what is there
//	}
package store
