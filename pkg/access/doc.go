// Package access authenticates callers and decides, by the catalogue in force,
// whether they may use a route. Its functions keep no state: they get the
// catalogue and the time as arguments.
//
// On routes that need a key, a session proves its workspace with the key. On
// open routes Authenticate accepts any workspace of the catalogue without proof
// and ignores a key.
//
// Authenticate is for callers that name their workspace. KeyIndex.Identify is
// for callers that send only a key.
//
// # Usage
//
//	a, err := access.Authenticate(c, "taller", "orders", password, time.Now())
//	...
//	// before each statement, with the catalogue in force at that time
//	if err := access.Check(c, a, time.Now()); err != nil {
//		var e *access.Error
//		errors.As(err, &e) // e.SQLState() is 28P01, 28000 or 3D000
//	}
//	// after a new version of the catalogue: current limits and group
//	a, err = access.Refresh(c, a, time.Now())
package access
