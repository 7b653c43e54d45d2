package lists

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/store"
)

const (
	// readerTimeout bounds a call to a reader, which may have to call the store.
	readerTimeout = 400 * time.Millisecond
	// avoidPeriod is how long a reader is not asked after a failed call.
	avoidPeriod = 2 * time.Second
	// maxStaleAge and maxFreshAge are the greatest ages at which a reader returns
	// a cached list, for requests that accept a stale list and those that don't.
	maxStaleAge = 500 * time.Millisecond
	maxFreshAge = 800 * time.Millisecond
)

// Peers returns clients of other VMs by address.
type Peers interface {
	Client(address string) (peerpb.PeerClient, error)
}

// Config configures a Reader.
type Config struct {
	Store store.Store
	Peers Peers
	// Readers returns the addresses of the VMs to ask, in order; none if this VM
	// reads the store itself.
	Readers func() []string
	Log     zerolog.Logger
	// Clock returns the time by which ages are measured; nil means time.Now.
	// Machines that can be suspended need a clock that includes the time of
	// suspension.
	Clock func() time.Time
}

// Reader reads lists and serves them to other VMs. Its methods may be called from
// several goroutines.
type Reader struct {
	cfg Config

	avoid peer.AvoidList

	mu    sync.Mutex
	cache map[query]*cachedList
}

// query identifies a cached list.
type query struct {
	prefix string
	fresh  bool
}

// cachedList is a list with the time at which the call to the store began. Its lock
// is held during the call, so that concurrent requests share one answer.
type cachedList struct {
	mu      sync.Mutex
	readAt  time.Time
	entries []store.Entry
}

// New returns a Reader.
func New(cfg Config) *Reader {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Reader{cfg: cfg, cache: map[query]*cachedList{}}
}

// List returns the entries under a prefix, and the time, by the runtime's clock,
// as of which they were current. Unless fresh is set, the store may answer with a
// copy that is some seconds older. The error is that of the store.
func (r *Reader) List(ctx context.Context, prefix string, fresh bool) ([]store.Entry, time.Time, error) {
	for _, address := range r.cfg.Readers() {
		if r.avoid.Has(address) {
			continue
		}
		sent := time.Now()
		entries, age, err := r.readFrom(ctx, address, prefix, fresh)
		if err == nil {
			return entries, sent.Add(-age), nil
		}
		r.avoidReader(address, prefix, err)
	}
	sent := time.Now()
	entries, err := store.ListEntries(ctx, r.cfg.Store, prefix, fresh)
	return entries, sent, err
}

func (r *Reader) avoidReader(address, prefix string, err error) {
	evlog.At(r.cfg.Log, evlog.ReaderAvoided).Str("reader", address).Str("prefix", prefix).Dur("for", avoidPeriod).Err(err).Send()
	r.avoid.Add(address, avoidPeriod)
}

func (r *Reader) readFrom(ctx context.Context, address, prefix string, fresh bool) ([]store.Entry, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	client, err := r.cfg.Peers.Client(address)
	if err != nil {
		return nil, 0, err
	}
	reply, err := client.ReadList(ctx, &peerpb.ReadListRequest{Prefix: prefix, Fresh: fresh})
	if err != nil {
		return nil, 0, err
	}
	out := make([]store.Entry, len(reply.Entries))
	for i, e := range reply.Entries {
		out[i] = store.Entry{Key: e.Key, Value: e.Value, Revision: store.Revision(e.Revision), Lease: store.LeaseID(e.Lease)}
	}
	return out, time.Duration(reply.AgeMs) * time.Millisecond, nil
}

// ReadList implements peer.ListReader.
func (r *Reader) ReadList(ctx context.Context, req *peerpb.ReadListRequest) (*peerpb.ReadListReply, error) {
	c := r.cacheEntry(query{req.Prefix, req.Fresh})
	c.mu.Lock()
	defer c.mu.Unlock()
	maxAge := maxStaleAge
	if req.Fresh {
		maxAge = maxFreshAge
	}
	now := r.cfg.Clock()
	if c.readAt.IsZero() || now.Sub(c.readAt) > maxAge {
		entries, err := store.ListEntries(ctx, r.cfg.Store, req.Prefix, req.Fresh)
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		c.readAt, c.entries = now, entries
	}
	reply := &peerpb.ReadListReply{AgeMs: uint32(r.cfg.Clock().Sub(c.readAt).Milliseconds()) + 1}
	for _, e := range c.entries {
		reply.Entries = append(reply.Entries, &peerpb.ListEntry{Key: e.Key, Value: e.Value, Revision: int64(e.Revision), Lease: int64(e.Lease)})
	}
	return reply, nil
}

func (r *Reader) cacheEntry(q query) *cachedList {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.cache[q]
	if c == nil {
		c = &cachedList{}
		r.cache[q] = c
	}
	return c
}
