// Package access decides whether a caller may use a route, from the catalogue
// in force. It is pure: the caller passes the catalogue and the time.
//
// On keyed routes a session proves its workspace with a key. On open routes
// the workspace that the caller names is taken as it is, and a key that comes
// along is ignored.
//
// # Usage
//
//	g, err := access.Authenticate(c, "taller", "orders", password, time.Now())
//	...
//	// before each statement, with the catalogue then in force
//	if err := access.Check(c, g, time.Now()); err != nil {
//		var e *access.Error
//		errors.As(err, &e) // e.SQLState() is 28P01, 28000 or 3D000
//	}
//	// after a new version: limits and group as they are now
//	g, err = access.Refresh(c, g, time.Now())
package access
