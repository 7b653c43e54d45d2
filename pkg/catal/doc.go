// Package catal has the catalogue: the one document by which operators drive
// chervilspan. Each entry names an owner, a class and limits, and is a
// database group, a workspace or a route.
//
// The document is JSON with names in snake case. Read refuses unknown fields
// and reports every error at once with its JSON Pointer (RFC 6901), its line
// and what is allowed. Validate holds the rules of one document and
// ValidateChange those between a version and its successor.
//
// A Delta has the entries that differ between two versions and the SHA-256 of
// the whole result, so that a receiver with another base notices it. Keys are
// random texts of 256 bits; the catalogue has only their SHA-256.
//
// # Usage
//
//	c, err := catal.Read(data)
//	var bad *catal.Error
//	if errors.As(err, &bad) {
//		for _, p := range bad.Problems {
//			fmt.Println(p) // line 4: /routes/r/group: ...
//		}
//	}
//	d, err := catal.NewDelta(old, c)
//	...
//	same, err := d.Apply(old)
//
//	text, key, err := catal.NewKey("office")  // text goes to the caller only
//	id, ok := catal.KeyID(text)
//	ok = key.Matches(text)
package catal
