// Package ident defines the named types for identifiers and units that the
// other packages of chervilspan share.
//
// Identifiers are short strings of lower-case letters, digits, '-', '_' and
// '.', as operators write them in the catalogue; Check validates them. Rate
// tokens are counted as integers: MicroTokens are millionths of a token.
//
// # Usage
//
// A Position orders the entries of a database group's log, first by term and
// then by index, as the log positions of Raft do (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014). Its text form is
// "term/index":
//
//	p, err := ident.ParsePosition("3/1017")
//	if err != nil {
//		return err
//	}
//	if p.Less(floor) {
//		// the database has not applied the session's last write
//	}
package ident
