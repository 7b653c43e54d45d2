package store

import (
	"context"
	"time"

	"chervilspan.example/pkg/ident"
)

// Revision orders the writes of the store. 0 means that a key does not exist.
type Revision int64

// LeaseID names a lease; 0 means none.
type LeaseID int64

// Entry is a key with its value. Revision is 0 when the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
	// At is the revision of the whole store at a Get, from which a watch can go
	// on; 0 when the store does not tell.
	StoreRevision Revision
}

// Write is a compare-and-swap.
type Write struct {
	Key   string
	Value []byte
	// Expected is the revision that the key must have; 0 means that it must
	// not exist.
	Expected Revision
	// Lease, unless 0, removes the key when the lease ends.
	Lease LeaseID
}

// Result is the answer to a compare-and-swap.
type Result struct {
	Done bool
	// Current is the entry after the write, or what is there when the write
	// was not done.
	Current Entry
}

// Event is a change that a watch reports.
type Event struct {
	Entry   Entry
	Deleted bool
}

// VM is an entry of the platform's list, which lags behind.
type VM struct {
	VM      ident.VM
	Zone    ident.Zone
	Address string
	Leaving bool
}

// Store is the platform's service. Every method returns an *Error of kind
// KindUnavailable when no answer came; a Put or Delete may then have taken
// effect.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) ([]Entry, error)
	Put(ctx context.Context, w Write) (Result, error)
	Delete(ctx context.Context, key string, expected Revision) (Result, error)
	// Watch sends events with a revision after from, in order, until ctx ends
	// or the connection breaks; then it returns.
	Watch(ctx context.Context, prefix string, from Revision, f func(Event)) error
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease reports false when the lease has ended.
	RenewLease(ctx context.Context, id LeaseID) (bool, error)
	RevokeLease(ctx context.Context, id LeaseID) error
	ListVMs(ctx context.Context) ([]VM, error)
}

// StaleLister is implemented by stores with a cheaper List whose answer may be
// some seconds old.
type StaleLister interface {
	ListStale(ctx context.Context, prefix string) ([]Entry, error)
}

// ListEntries returns the entries under a prefix, out of a copy that may be some
// seconds old when the store has such a call, unless fresh is set.
func ListEntries(ctx context.Context, s Store, prefix string, fresh bool) ([]Entry, error) {
	if l, ok := s.(StaleLister); ok && !fresh {
		return l.ListStale(ctx, prefix)
	}
	return s.List(ctx, prefix)
}

// Batcher is implemented by stores that do several writes or none of them.
type Batcher interface {
	// PutAll takes at most MaxBatch writes. done is false when a revision was
	// not the expected one; nothing was written then.
	PutAll(ctx context.Context, ws []Write) (done bool, rev Revision, err error)
}

// MaxBatchWrites is the greatest number of writes of a batch.
const MaxBatchWrites = 30
