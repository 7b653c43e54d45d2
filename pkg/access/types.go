package access

import (
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
)

// Authorization holds the permissions and limits of an authenticated session.
type Authorization struct {
	Workspace ident.Workspace
	Route     ident.Route
	// KeyID is the id of the key that the session was authenticated with. It is
	// empty after Authenticate on an open route.
	KeyID string
	// KeyHash is the hash of that key (catal.Key.SHA256). When an id is reused
	// with another secret, sessions of the former secret must stay refused.
	KeyHash string
	// Open is true on routes that need no key.
	Open     bool
	Group    ident.Group
	ReadOnly bool
	// MaxAge is the greatest age of data that reads accept; 0 means that they
	// accept no stale data.
	MaxAge time.Duration
	// ReadConsistency says which commits a read has to see.
	ReadConsistency catal.ReadConsistency
	// RequestTimeout bounds the total time that a statement waits and runs.
	RequestTimeout time.Duration
	// LatencyObjective is the latency that callers expect of an operation; 0
	// means that none is stated.
	LatencyObjective time.Duration
	// Weight is the weight of the workspace in fair queues.
	Weight uint32
	// Class is the class of the workspace, or of the route when the workspace
	// has none.
	Class ident.Class
	// Regions are the regions that both the route and the workspace allow.
	Regions place.Regions
	// Database is the name of the database at the targets; empty means that the
	// protocol adapter uses its default.
	Database string
}
