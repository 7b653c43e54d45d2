package catal

import (
	"cmp"
	"time"

	"chervilspan.example/pkg/ident"
)

// Defaults that replace zero values in a document.
const (
	DefaultWeight         = 1
	DefaultMaxQueue       = 64
	DefaultRequestTimeout = 5 * time.Second
	DefaultShards         = 16
	DefaultSlices         = 12

	DefaultIdleTransactionTimeout = time.Minute
)

// FairWeight returns the weight in fair queues, DefaultWeight if none is stated.
func (c Class) FairWeight() uint32 { return cmp.Or(c.Weight, DefaultWeight) }

// QueueLimit returns the greatest number of waiting requests of a workspace on
// one VM.
func (c Class) QueueLimit() uint32 { return cmp.Or(c.MaxQueue, DefaultMaxQueue) }

// RequestTimeout returns the total time that a statement may wait and run.
func (c Class) RequestTimeout() time.Duration {
	return cmp.Or(time.Duration(c.DeadlineMS)*time.Millisecond, DefaultRequestTimeout)
}

// AckPolicy returns when commits of the group are acknowledged.
func (g Group) AckPolicy() Ack { return cmp.Or(g.Ack, AckMajority) }

// Majority returns the smallest number of targets that is more than half of
// them.
func (g Group) Majority() int { return len(g.Targets)/2 + 1 }

// ReadOnly reports whether the route refuses writes.
func (r Route) ReadOnly() bool { return r.Mode == ModeReadOnly }

// MaxAge returns the greatest age of data that reads accept, 0 if they accept no
// stale data.
func (r Route) MaxAge() time.Duration { return time.Duration(r.MaxAgeMS) * time.Millisecond }

// Allows reports whether the workspace may use the route.
func (r Route) Allows(w ident.Workspace) bool {
	if len(r.Workspaces) == 0 {
		return true
	}
	for _, id := range r.Workspaces {
		if id == w {
			return true
		}
	}
	return false
}

// ShardCount returns the number of workspace shards.
func (s Sharing) ShardCount() uint32 { return cmp.Or(s.Shards, DefaultShards) }

// SliceCount returns the number of slices of each shard.
func (s Sharing) SliceCount() uint32 { return cmp.Or(s.Slices, DefaultSlices) }

// IdleTransactionTimeout returns how long an open transaction may wait for its
// next statement.
func (s Sessions) IdleTransactionTimeout() time.Duration {
	return cmp.Or(time.Duration(s.IdleTransactionMS)*time.Millisecond, DefaultIdleTransactionTimeout)
}
