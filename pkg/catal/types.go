package catal

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// Catalogue is the document that operators edit. Its maps are keyed by
// identifier; a nil map is the same as an empty one.
type Catalogue struct {
	// Version is set by the daemon that accepts an edit.
	Version ident.Version `json:"version"`
	// Zones are the availability zones of the deployment, each with its region.
	Zones      map[ident.Zone]Zone           `json:"zones"`
	Classes    map[ident.Class]Class         `json:"classes,omitempty"`
	Groups     map[ident.Group]Group         `json:"groups,omitempty"`
	Workspaces map[ident.Workspace]Workspace `json:"workspaces,omitempty"`
	Routes     map[ident.Route]Route         `json:"routes,omitempty"`
	Sharing    Sharing                       `json:"sharing,omitzero"`
	Sessions   Sessions                      `json:"sessions,omitzero"`
	// Skipped has the entries of the document that are not in the catalogue because they
	// can't be used. Only documents of platforms whose lists are decoded entry by entry
	// have any.
	Skipped []SkippedEntry `json:"-"`
}

// SkippedEntry is an entry of a list in a document that can't be used.
type SkippedEntry struct {
	List  string
	Index int
	Err   error
}

// Zone is an availability zone.
type Zone struct {
	Region ident.Region `json:"region"`
}

// Class holds limits for the entries that name it. A field that is 0 states no
// value.
type Class struct {
	// Weight is the weight of a workspace in fair queues; 0 means 1.
	Weight uint32 `json:"weight,omitempty"`
	// MaxQueue is the greatest number of waiting requests of a workspace on
	// one VM; 0 means 64.
	MaxQueue uint32 `json:"max_queue,omitempty"`
	// DeadlineMS bounds the total time that a statement waits and runs; 0 means
	// 5000.
	DeadlineMS uint32 `json:"deadline_ms,omitempty"`
	// ObjectiveMS is the latency that callers expect of an operation; 0
	// means that none is stated.
	ObjectiveMS uint32 `json:"objective_ms,omitempty"`
}

// Ack says when a commit is acknowledged.
type Ack string

// Values of Ack. The zero value means AckMajority.
const (
	// AckMajority delays the answer until a majority of the group has the commit.
	AckMajority Ack = "majority"
	// AckPrimary answers as soon as the primary has committed. A failover can
	// lose such a write.
	AckPrimary Ack = "primary"
)

// Group is a database group.
type Group struct {
	Owner string      `json:"owner"`
	Class ident.Class `json:"class,omitempty"`
	// Ack is "majority" (default) or "primary".
	Ack     Ack                     `json:"ack,omitempty"`
	Targets map[ident.Target]Target `json:"targets"`
	// Connections, unless 0, is the number of connections that each target of
	// the group accepts. It is used for groups whose targets are discovered.
	Connections uint32 `json:"connections,omitempty"`
	// WarmUp limits the requests to databases of the group after their start. Only
	// documents of platforms whose databases report when they are warm set it.
	WarmUp WarmUp `json:"-"`
}

// WarmUp limits the requests that reach a database until it is warm. The zero value
// sets no limit.
type WarmUp struct {
	// Rate is the number of requests per second to one database, from all VMs
	// together; 0 means no limit.
	Rate float64
	// Duration is how long after its start a database counts as cold unless it
	// reports itself as warm.
	Duration time.Duration
	// Invalid, unless empty, says which value of the document was not usable.
	Invalid string
}

// Target is one database of a group.
type Target struct {
	// Address has the form IP:port.
	Address string     `json:"address"`
	Zone    ident.Zone `json:"zone"`
	// Slots is the number of statements that the target runs at once.
	Slots uint32 `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections uint32 `json:"connections"`
	// Leaving targets get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Workspace is a tenant.
type Workspace struct {
	Owner string      `json:"owner"`
	Class ident.Class `json:"class,omitempty"`
	// Rate is the limit in statements per second, over all VMs together.
	Rate float64 `json:"rate"`
	// Burst is the capacity of the token bucket in statements, over all VMs
	// together.
	Burst uint32 `json:"burst"`
	// Regions, unless empty, lists the regions whose databases may serve the workspace.
	// It applies to targets that speak a line protocol.
	Regions []ident.Region `json:"regions,omitempty"`
	// Keys are the keys of the workspace by key id.
	Keys map[string]Key `json:"keys,omitempty"`
}

// Key describes a caller's key. The secret itself is not stored.
type Key struct {
	Label string `json:"label,omitempty"`
	// SHA256 is the hexadecimal SHA-256 of the complete key text.
	SHA256    string    `json:"sha256"`
	NotBefore time.Time `json:"not_before,omitzero"`
	Expires   time.Time `json:"expires,omitzero"`
	// Withdrawn keys are refused; their entries are kept as a record.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Mode says whether a route admits writes.
type Mode string

// Values of Mode. The zero value means ModeReadWrite.
const (
	ModeReadWrite Mode = "read_write"
	ModeReadOnly  Mode = "read_only"
)

// ReadConsistency says which commits a read on a route has to see.
type ReadConsistency string

// Values of ReadConsistency. With the zero value, Route.MaxAgeMS decides:
// if it is 0, reads must see the session's floor; otherwise their data may have
// that age.
const (
	// ConsistencyPrimary requires every commit acknowledged before the read.
	ConsistencyPrimary ReadConsistency = "primary"
	// ConsistencyBounded requires the commits acknowledged more than MaxAgeMS
	// before the read.
	ConsistencyBounded ReadConsistency = "bounded"
	// ConsistencySession requires the commits of ConsistencyBounded and the
	// session's own.
	ConsistencySession ReadConsistency = "session"
)

// Route is the entry point to a group. Callers give its id as the database name.
type Route struct {
	Owner string      `json:"owner"`
	Class ident.Class `json:"class,omitempty"`
	Group ident.Group `json:"group"`
	Mode  Mode        `json:"mode,omitempty"`
	// Open is true for routes that need no key.
	Open bool `json:"open,omitempty"`
	// MaxAgeMS, unless 0, allows reads of data up to this age.
	MaxAgeMS uint32 `json:"max_age_ms,omitempty"`
	// Reads is "primary", "bounded" or "session". It applies to targets that
	// speak a line protocol.
	Reads ReadConsistency `json:"reads,omitempty"`
	// Workspaces lists the workspaces that may use the route; an empty list
	// admits all.
	Workspaces []ident.Workspace `json:"workspaces,omitempty"`
	// Database is the name of the database at the targets.
	Database string `json:"database,omitempty"`
	// Regions, unless empty, lists the regions whose databases may serve the route. It
	// applies to targets that speak a line protocol.
	Regions []ident.Region `json:"regions,omitempty"`
}

// Sessions holds limits for callers' sessions.
type Sessions struct {
	// IdleTransactionMS bounds the wait for the next statement of an open
	// transaction; 0 means 60000. It applies to sessions of a line
	// protocol.
	IdleTransactionMS uint32 `json:"idle_transaction_ms,omitempty"`
}

// Sharing holds the parameters of the fleet-wide rate limit.
type Sharing struct {
	// Shards is the number of workspace shards; 0 means 16.
	Shards uint32 `json:"shards,omitempty"`
	// Slices is the number of slices of each shard; 0 means 12.
	Slices uint32 `json:"slices,omitempty"`
}
