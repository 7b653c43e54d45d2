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
	// askTimeout bounds the answer of a reader, which may ask the store first.
	askTimeout = 400 * time.Millisecond
	// avoidTime is how long a reader is passed over after a failure.
	avoidTime = 2 * time.Second
	// staleAge and freshAge are how old a list may be that a reader gives on.
	staleAge = 500 * time.Millisecond
	freshAge = 800 * time.Millisecond
)

// Peers gives clients of other VMs by address.
type Peers interface {
	Client(address string) (peerpb.PeerClient, error)
}

// Config has the parts of a Reader.
type Config struct {
	Store store.Store
	Peers Peers
	// Readers returns the addresses of the VMs to ask, in order; none when this
	// VM reads for itself.
	Readers func() []string
	Log     zerolog.Logger
	// Clock tells the time by which ages count; nil stands for the runtime's
	// clock. Machines that can be suspended need one that counts the suspension.
	Clock func() time.Time
}

// Reader reads lists. Its methods may be called from several goroutines.
type Reader struct {
	cfg Config

	avoid peer.Avoid

	mu    sync.Mutex
	cache map[query]*cached
}

// query names a list.
type query struct {
	prefix string
	fresh  bool
}

// cached is a list with the time before it was asked for. Its lock is held
// while the store is asked, so that others wait for the same answer.
type cached struct {
	mu      sync.Mutex
	at      time.Time
	entries []store.Entry
}

// New returns a Reader.
func New(cfg Config) *Reader {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Reader{cfg: cfg, cache: map[query]*cached{}}
}

// List returns the entries under a prefix, and the time by the runtime's clock
// since when they may be outdated. Unless fresh is set, the store may answer
// with a copy that is some seconds older. The error is that of the store.
func (r *Reader) List(ctx context.Context, prefix string, fresh bool) ([]store.Entry, time.Time, error) {
	for _, address := range r.cfg.Readers() {
		if r.avoid.Has(address) {
			continue
		}
		sent := time.Now()
		entries, age, err := r.ask(ctx, address, prefix, fresh)
		if err == nil {
			return entries, sent.Add(-age), nil
		}
		r.note(address, prefix, err)
	}
	sent := time.Now()
	entries, err := store.ListEntries(ctx, r.cfg.Store, prefix, fresh)
	return entries, sent, err
}

func (r *Reader) note(address, prefix string, err error) {
	evlog.At(r.cfg.Log, evlog.ReaderAvoided).Str("reader", address).Str("prefix", prefix).Dur("for", avoidTime).Err(err).Send()
	r.avoid.Add(address, avoidTime)
}

func (r *Reader) ask(ctx context.Context, address, prefix string, fresh bool) ([]store.Entry, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// ReadList implements peer.Lists.
func (r *Reader) ReadList(ctx context.Context, req *peerpb.ReadListRequest) (*peerpb.ReadListReply, error) {
	c := r.of(query{req.Prefix, req.Fresh})
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := staleAge
	if req.Fresh {
		limit = freshAge
	}
	now := r.cfg.Clock()
	if c.at.IsZero() || now.Sub(c.at) > limit {
		entries, err := store.ListEntries(ctx, r.cfg.Store, req.Prefix, req.Fresh)
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		c.at, c.entries = now, entries
	}
	reply := &peerpb.ReadListReply{AgeMs: uint32(r.cfg.Clock().Sub(c.at).Milliseconds()) + 1}
	for _, e := range c.entries {
		reply.Entries = append(reply.Entries, &peerpb.ListEntry{Key: e.Key, Value: e.Value, Revision: int64(e.Revision), Lease: int64(e.Lease)})
	}
	return reply, nil
}

func (r *Reader) of(q query) *cached {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.cache[q]
	if c == nil {
		c = &cached{}
		r.cache[q] = c
	}
	return c
}
