// Package catal defines the catalogue: the document by which operators configure
// chervilspan. Its main entries are database groups, workspaces and routes, each
// with an owner and an optional class; zones, classes and parameters of the
// sessions and the fleet-wide rate limit complete it.
//
// The document is JSON with names in snake case. Read rejects unknown fields
// and reports all errors at once, each with its JSON Pointer (RFC 6901), its
// line and the allowed values. Validate checks the rules for one document and
// ValidateChange those for the change from one version to the next.
//
// A Delta holds the entries that differ between two versions and the SHA-256 of
// the complete new document, by which a receiver detects that its base differs.
// Keys contain 256 random bits; the catalogue holds only their SHA-256.
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
//	next, err := d.Apply(old) // equal to c
//
//	text, key, err := catal.NewKey("office")  // only the caller gets text
//	id, ok := catal.KeyID(text)
//	ok = key.Matches(text)
package catal
