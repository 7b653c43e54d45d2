package catal

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// Catalogue is the document that operators edit. Its maps are keyed by
// identifier; a nil map is an empty one.
type Catalogue struct {
	// Version is set by the daemon that accepts an edit.
	Version ident.Version `json:"version"`
	// Zones of the deployment, each with its region.
	Zones      map[ident.Zone]Zone           `json:"zones"`
	Classes    map[ident.Class]Class         `json:"classes,omitempty"`
	Groups     map[ident.Group]Group         `json:"groups,omitempty"`
	Workspaces map[ident.Workspace]Workspace `json:"workspaces,omitempty"`
	Routes     map[ident.Route]Route         `json:"routes,omitempty"`
	Sharing    Sharing                       `json:"sharing,omitzero"`
	Sessions   Sessions                      `json:"sessions,omitzero"`
}

// Zone is an availability zone.
type Zone struct {
	Region ident.Region `json:"region"`
}

// Class gives the defaults of the entries that name it. Zero fields say
// nothing.
type Class struct {
	// Weight of a workspace in fair queues; 0 stands for 1.
	Weight uint32 `json:"weight,omitempty"`
	// MaxQueue is the greatest number of waiting requests of a workspace on
	// one VM; 0 stands for 64.
	MaxQueue uint32 `json:"max_queue,omitempty"`
	// DeadlineMS is the time a statement may wait and run; 0 stands for 5000.
	DeadlineMS uint32 `json:"deadline_ms,omitempty"`
	// ObjectiveMS is the latency that callers expect of an operation; 0 says
	// nothing.
	ObjectiveMS uint32 `json:"objective_ms,omitempty"`
}

// Ack says when a commit is acknowledged.
type Ack string

// Values of Ack. The zero value stands for AckMajority.
const (
	// AckMajority holds the answer until a majority of the group has the commit.
	AckMajority Ack = "majority"
	// AckPrimary answers when the primary has committed. A failover can lose
	// such a write.
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
	// the group accepts; it is for groups whose targets are discovered.
	Connections uint32 `json:"connections,omitempty"`
}

// Target is one database of a group.
type Target struct {
	// Address is IP:port.
	Address string     `json:"address"`
	Zone    ident.Zone `json:"zone"`
	// Slots is the number of statements the target runs at once.
	Slots uint32 `json:"slots"`
	// Connections is the number of connections the target accepts.
	Connections uint32 `json:"connections"`
	// Leaving targets get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Workspace is a tenant.
type Workspace struct {
	Owner string      `json:"owner"`
	Class ident.Class `json:"class,omitempty"`
	// Rate is in statements a second, counted over all VMs.
	Rate float64 `json:"rate"`
	// Burst is in statements, counted over all VMs.
	Burst uint32 `json:"burst"`
	// Keys by key id.
	Keys map[string]Key `json:"keys,omitempty"`
}

// Key is a caller's key. The secret itself is not stored.
type Key struct {
	Label string `json:"label,omitempty"`
	// SHA256 is the hexadecimal SHA-256 of the whole key text.
	SHA256    string    `json:"sha256"`
	NotBefore time.Time `json:"not_before,omitzero"`
	Expires   time.Time `json:"expires,omitzero"`
	// Withdrawn keys are refused; the entry stays for the record.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Mode says what a route lets through.
type Mode string

// Values of Mode. The zero value stands for ModeReadWrite.
const (
	ModeReadWrite Mode = "read_write"
	ModeReadOnly  Mode = "read_only"
)

// ReadConsistency says which commits a read on a route has to see.
type ReadConsistency string

// Values of Reads. The zero value leaves the choice to MaxAgeMS: the session's
// floor without an age, the age otherwise.
const (
	// ReadsPrimary needs every commit acknowledged before the read.
	ConsistencyPrimary ReadConsistency = "primary"
	// ReadsBounded needs the commits acknowledged longer ago than MaxAgeMS.
	ConsistencyBounded ReadConsistency = "bounded"
	// ReadsSession needs those, and the session's own.
	ConsistencySession ReadConsistency = "session"
)

// Route is what callers name as the database.
type Route struct {
	Owner string      `json:"owner"`
	Class ident.Class `json:"class,omitempty"`
	Group ident.Group `json:"group"`
	Mode  Mode        `json:"mode,omitempty"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// MaxAgeMS, unless 0, lets reads run on data that is at most so old.
	MaxAgeMS uint32 `json:"max_age_ms,omitempty"`
	// Reads is "primary", "bounded" or "session"; it is for targets that speak
	// a line protocol.
	Reads ReadConsistency `json:"reads,omitempty"`
	// Workspaces that may use the route; empty means all.
	Workspaces []ident.Workspace `json:"workspaces,omitempty"`
	// Database is the name of the database at the targets.
	Database string `json:"database,omitempty"`
}

// Sessions has limits of callers' sessions.
type Sessions struct {
	// IdleTransactionMS bounds the wait for the next statement of an open
	// transaction; 0 stands for 60000.
	IdleTransactionMS uint32 `json:"idle_transaction_ms,omitempty"`
}

// Sharing has the parameters of the fleet-wide rate limit.
type Sharing struct {
	// Shards is the number of workspace shards; 0 stands for 16.
	Shards uint32 `json:"shards,omitempty"`
	// Slices is the number of slices of each shard; 0 stands for 12.
	Slices uint32 `json:"slices,omitempty"`
}
