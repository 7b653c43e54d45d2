package catal

import (
	"cmp"
	"time"

	"chervilspan.example/pkg/ident"
)

// Defaults of the zero values in a document.
const (
	DefaultWeight         = 1
	DefaultMaxQueue       = 64
	DefaultRequestTimeout = 5 * time.Second
	DefaultShards         = 16
	DefaultSlices         = 12

	DefaultIdleTransactionTimeout = time.Minute
)

// FairWeight returns the weight in fair queues, at least 1.
func (c Class) FairWeight() uint32 { return cmp.Or(c.Weight, DefaultWeight) }

// QueueLimit returns the greatest number of waiting requests of a workspace.
func (c Class) QueueLimit() uint32 { return cmp.Or(c.MaxQueue, DefaultMaxQueue) }

// RequestTimeout returns the time a statement may wait and run.
func (c Class) RequestTimeout() time.Duration {
	return cmp.Or(time.Duration(c.DeadlineMS)*time.Millisecond, DefaultRequestTimeout)
}

// AckPolicy returns when commits of the group are acknowledged.
func (g Group) AckPolicy() Ack { return cmp.Or(g.Ack, AckMajority) }

// Majority returns the least number of targets that is more than half.
func (g Group) Majority() int { return len(g.Targets)/2 + 1 }

// ReadOnly reports whether the route refuses writes.
func (r Route) ReadOnly() bool { return r.Mode == ModeReadOnly }

// MaxAge returns the accepted age of data, 0 when the route accepts none.
func (r Route) MaxAge() time.Duration { return time.Duration(r.MaxAgeMS) * time.Millisecond }

// Allows reports whether the route lists the workspace or is for all.
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

// IdleTransactionTimeout bounds the wait for the next statement of a transaction.
func (s Sessions) IdleTransactionTimeout() time.Duration {
	return cmp.Or(time.Duration(s.IdleTransactionMS)*time.Millisecond, DefaultIdleTransactionTimeout)
}
