package lists

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
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
	// minCompressedBytes is the size of a list from which on it is sent compressed; a smaller
	// one is sent in the time that this would take.
	minCompressedBytes = 4 << 10
	// maxHops is the number of VMs that pass a request on: a reader of a zone and one
	// of its region. VMs whose lists of VMs differ could otherwise ask each other.
	maxHops = 2
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
	// copies has the last list received from a reader. Its digest identifies it to
	// every reader.
	copies map[query]list
}

// query identifies a list.
type query struct {
	prefix string
	fresh  bool
}

// list is a list with the time, by Config.Clock, at which the call to the store began,
// and a digest that is not 0. The entries are not changed once they are set.
type list struct {
	readAt  time.Time
	digest  uint64
	entries []store.Entry
}

func newList(entries []store.Entry, readAt time.Time) list {
	var d xxhash.Digest
	var rev [8]byte
	for _, e := range entries {
		_, _ = d.WriteString(e.Key) // the digest's writes never fail
		binary.LittleEndian.PutUint64(rev[:], uint64(e.Revision))
		_, _ = d.Write(rev[:])
	}
	return list{readAt: readAt, digest: max(1, d.Sum64()), entries: entries}
}

// cachedList is a list that is served to other VMs. Its lock is held while it is read,
// so that concurrent requests share one answer.
type cachedList struct {
	mu sync.Mutex
	list
}

// New returns a Reader.
func New(cfg Config) *Reader {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Reader{cfg: cfg, cache: map[query]*cachedList{}, copies: map[query]list{}}
}

// List returns the entries under a prefix, and the time, by the runtime's clock,
// as of which they were current. Unless fresh is set, the store may answer with a
// copy that is some seconds older. The error is that of the store. The caller must
// not modify the entries; a list that has not changed is returned as the same slice.
func (r *Reader) List(ctx context.Context, prefix string, fresh bool) ([]store.Entry, time.Time, error) {
	l, err := r.read(ctx, query{prefix, fresh}, 0)
	if err != nil {
		return nil, time.Time{}, err
	}
	return l.entries, time.Now().Add(-r.cfg.Clock().Sub(l.readAt)), nil
}

// read reads a list from a reader, or from the store if no reader answers or other VMs
// have passed the request on maxHops times.
func (r *Reader) read(ctx context.Context, q query, hops uint32) (list, error) {
	var readers []string
	if hops < maxHops {
		readers = r.cfg.Readers()
	}
	for _, address := range readers {
		if r.avoid.Has(address) {
			continue
		}
		l, err := r.readFrom(ctx, address, q, hops)
		if err == nil {
			return l, nil
		}
		r.avoidReader(address, q.prefix, err)
	}
	sent := r.cfg.Clock()
	entries, err := store.ListEntries(ctx, r.cfg.Store, q.prefix, q.fresh)
	if err != nil {
		return list{}, err
	}
	return newList(entries, sent), nil
}

func (r *Reader) avoidReader(address, prefix string, err error) {
	evlog.At(r.cfg.Log, evlog.ReaderAvoided).Str("reader", address).Str("prefix", prefix).Dur("for", avoidPeriod).Err(err).Send()
	r.avoid.Add(address, avoidPeriod)
}

// readFrom asks a reader for a list, which answers without entries when this VM has
// the same list from it already.
func (r *Reader) readFrom(ctx context.Context, address string, q query, hops uint32) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	client, err := r.cfg.Peers.Client(address)
	if err != nil {
		return list{}, err
	}
	r.mu.Lock()
	known := r.copies[q]
	r.mu.Unlock()
	sent := r.cfg.Clock()
	reply, err := client.ReadList(ctx, &peerpb.ReadListRequest{Prefix: q.prefix, Fresh: q.fresh, Known: known.digest, Hops: hops + 1})
	if err != nil {
		return list{}, err
	}
	out := list{readAt: sent.Add(-time.Duration(reply.AgeMs) * time.Millisecond), digest: reply.Digest, entries: known.entries}
	if !reply.Unchanged {
		out.entries = fromReply(reply)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copies[q] = out
	return out, nil
}

func fromReply(reply *peerpb.ReadListReply) []store.Entry {
	out := make([]store.Entry, len(reply.Entries))
	for i, e := range reply.Entries {
		out[i] = store.Entry{Key: e.Key, Value: e.Value, Revision: store.Revision(e.Revision), Lease: store.LeaseID(e.Lease)}
	}
	return out
}

// ReadList implements peer.ListReader.
func (r *Reader) ReadList(ctx context.Context, req *peerpb.ReadListRequest) (*peerpb.ReadListReply, error) {
	q := query{req.Prefix, req.Fresh}
	c := r.cacheEntry(q)
	c.mu.Lock()
	defer c.mu.Unlock()
	maxAge := maxStaleAge
	if req.Fresh {
		maxAge = maxFreshAge
	}
	if c.readAt.IsZero() || r.cfg.Clock().Sub(c.readAt) > maxAge {
		l, err := r.read(ctx, q, req.Hops)
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		c.list = l
	}
	reply := &peerpb.ReadListReply{AgeMs: uint32(r.cfg.Clock().Sub(c.readAt).Milliseconds()) + 1, Digest: c.digest}
	if reply.Unchanged = req.Known == c.digest; reply.Unchanged {
		return reply, nil
	}
	size := 0
	for _, e := range c.entries {
		size += len(e.Key) + len(e.Value)
		reply.Entries = append(reply.Entries, &peerpb.ListEntry{Key: e.Key, Value: e.Value, Revision: int64(e.Revision), Lease: int64(e.Lease)})
	}
	if size > minCompressedBytes {
		compressReply(ctx)
	}
	return reply, nil
}

// compressReply has the reply to a call compressed, unless the caller is a VM of an earlier
// release, which can't read it then. The entries of a list repeat their fields.
func compressReply(ctx context.Context) {
	if names, err := grpc.ClientSupportedCompressors(ctx); err == nil && slices.Contains(names, gzip.Name) {
		_ = grpc.SetSendCompressor(ctx, gzip.Name) // an error means that the reply is sent as it is
	}
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
