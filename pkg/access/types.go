package access

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// Grant is what an authenticated session may do.
type Grant struct {
	Workspace ident.Workspace
	Route     ident.Route
	// KeyID names the key that the session proved; empty on open routes.
	KeyID string
	// Open routes need no key.
	Open     bool
	Group    ident.Group
	ReadOnly bool
	// MaxAge is the accepted age of data, 0 for none.
	MaxAge time.Duration
	// Deadline is the time a statement may wait and run.
	Deadline time.Duration
	// Weight and MaxQueue are the workspace's in fair queues.
	Weight   uint32
	MaxQueue uint32
	// Class of the workspace, or of the route when the workspace has none.
	Class ident.Class
	// Database is the name at the targets; empty stands for the adapter's own.
	Database string
}
