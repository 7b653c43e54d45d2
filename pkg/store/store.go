package store

import (
	"context"
	"time"

	"chervilspan.example/pkg/ident"
)

// Revision orders the writes of the store; 0 means that a key does not exist. A later
// write has a higher revision, also when the store was restored in between: the epoch is
// in the high bits, the store's own counter in the low ones.
type Revision int64

// counterBits is the number of low bits that hold the store's counter. It leaves room
// for 8 million restorations.
const counterBits = 40

const (
	// MaxCounter is the greatest counter of a store that fits a Revision.
	MaxCounter = 1<<counterBits - 1
	// MaxEpoch is the last epoch that fits a Revision.
	MaxEpoch Epoch = 1<<(63-counterBits) - 1
)

// NewRevision returns the revision at which the store's counter stood in an epoch. In
// the first epoch, and in stores that don't count epochs, it equals the counter.
func NewRevision(e Epoch, counter int64) Revision {
	return Revision(int64(max(e, FirstEpoch)-FirstEpoch)<<counterBits | counter)
}

// Epoch returns the epoch in which the revision was given out, at least FirstEpoch.
func (r Revision) Epoch() Epoch { return Epoch(r>>counterBits) + FirstEpoch }

// Counter returns the store's own number of the revision.
func (r Revision) Counter() int64 { return int64(r & (1<<counterBits - 1)) }

// LeaseID identifies a lease; 0 means none.
type LeaseID int64

// Entry is a key with its value. Revision is 0 when the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
	// StoreRevision is the revision of the whole store at the time of a Get, from
	// which a watch can continue; 0 when the store does not report it.
	StoreRevision Revision
}

// Write is the request of a compare-and-swap.
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
	// Current is the entry after the write, or the present entry when the write
	// was not done.
	Current Entry
}

// Event is a change reported by a watch.
type Event struct {
	// Progress events have no entry but its StoreRevision, up to which all changes have been
	// delivered. They report that the watch had delivered all changes up to the time of the
	// previous event, or of the start of the watch. Not every store sends them.
	Progress bool
	Entry    Entry
	Deleted  bool
}

// VM is an entry of the platform's list of VMs, which lags behind the actual state.
type VM struct {
	VM      ident.VM
	Zone    ident.Zone
	Address string
	Leaving bool
}

// Store is the platform's key-value service. Every method returns an *Error of
// kind KindUnavailable when the service did not answer; a Put or Delete may then
// have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) ([]Entry, error)
	Put(ctx context.Context, w Write) (Result, error)
	Delete(ctx context.Context, key string, expected Revision) (Result, error)
	// Watch calls f for the events with a revision above from, in order, and
	// returns when ctx ends or the connection breaks.
	Watch(ctx context.Context, prefix string, from Revision, f func(Event)) error
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease reports false when the lease has ended.
	RenewLease(ctx context.Context, id LeaseID) (bool, error)
	RevokeLease(ctx context.Context, id LeaseID) error
	ListVMs(ctx context.Context) ([]VM, error)
}

// StaleLister is implemented by stores that offer a cheaper List whose answer
// may be some seconds old.
type StaleLister interface {
	ListStale(ctx context.Context, prefix string) ([]Entry, error)
}

// ListEntries returns the entries under a prefix. Unless fresh is set, a
// StaleLister answers from a copy that may be some seconds old.
func ListEntries(ctx context.Context, s Store, prefix string, fresh bool) ([]Entry, error) {
	if l, ok := s.(StaleLister); ok && !fresh {
		return l.ListStale(ctx, prefix)
	}
	return s.List(ctx, prefix)
}

// Poller is implemented by stores that answer at about once what has changed.
type Poller interface {
	// Poll reports the changes after a revision as Watch does, ends with an event that has
	// Progress set, and returns.
	Poll(ctx context.Context, prefix string, from Revision, f func(Event)) error
}

// Batcher is implemented by stores that can apply several writes atomically.
type Batcher interface {
	// PutAll takes at most MaxBatchWrites writes. When a revision is not the
	// expected one, it writes nothing and done is false.
	PutAll(ctx context.Context, ws []Write) (done bool, rev Revision, err error)
}

// MaxBatchWrites is the greatest number of writes in a batch.
const MaxBatchWrites = 30
