package access

import (
	"time"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// Authorization is what an authenticated session may do.
type Authorization struct {
	Workspace ident.Workspace
	Route     ident.Route
	// KeyID names the key that the session proved; empty on open routes.
	KeyID string
	// KeyHash is the hash of that key (catal.Key.SHA256). An id may be given
	// again with another secret, which must not revive sessions of the former.
	KeyHash string
	// Open routes need no key.
	Open     bool
	Group    ident.Group
	ReadOnly bool
	// MaxAge is the accepted age of data, 0 for none.
	MaxAge time.Duration
	// Reads says which commits a read has to see.
	ReadConsistency catal.ReadConsistency
	// Deadline is the time a statement may wait and run.
	RequestTimeout time.Duration
	// Objective is the latency that callers expect of an operation; 0 says
	// nothing.
	LatencyObjective time.Duration
	// Weight is the workspace's in fair queues.
	Weight uint32
	// Class of the workspace, or of the route when the workspace has none.
	Class ident.Class
	// Database is the name at the targets; empty stands for the adapter's own.
	Database string
}
