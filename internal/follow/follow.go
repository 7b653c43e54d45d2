// Package follow keeps the catalogue of a VM up to date when operators write it
// to the platform's store: it watches the store and gossips versions between VMs,
// so that a VM whose calls the store rejects receives them too.
//
// The version in force never decreases, whatever the source of a catalogue.
//
// # Usage
//
//	f := follow.New(follow.Config{Store: s, Key: "catalogue", Decode: decode, Fleet: fleet, Peers: peers})
//	go f.Run(ctx)
//	idx := f.Index() // nil while there is no catalogue
package follow

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

const (
	// gossipInterval is the interval at which a VM compares versions with another
	// VM chosen at random.
	gossipInterval = time.Second
	// gossipFanout is the number of VMs notified at once of a new version.
	gossipFanout = 2
	// callTimeout bounds a call to another VM or to the store.
	callTimeout = time.Second
	// storeRetryDelay is the delay before the store is read again after a watch
	// ended or a read failed, with a jitter of up to a half so that the calls of
	// VMs spread out.
	storeRetryDelay = 250 * time.Millisecond
)

// Fleet returns the addresses of other VMs, which may be outdated.
type Fleet interface {
	Addresses() []string
}

// Peers returns clients of other VMs by address.
type Peers interface {
	Client(address string) (peerpb.PeerClient, error)
}

// Config configures a Follower.
type Config struct {
	Store store.Store
	// Key is the key of the catalogue in the store, Decode decodes its value.
	Key    string
	Decode func([]byte) (*catal.Catalogue, error)
	VM     ident.VM
	Fleet  Fleet
	Peers  Peers
	Log    zerolog.Logger
}

// Follower holds the catalogue in force. Its methods may be called from several
// goroutines.
type Follower struct {
	cfg   Config
	index atomic.Pointer[access.KeyIndex]

	mu      sync.Mutex
	changed chan struct{}
	// storeUp is set when the last read of the store succeeded.
	storeUp atomic.Bool
	// newVersion is signalled to start a round of gossip at once.
	newVersion chan struct{}
}

// New returns a Follower without a catalogue.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, changed: make(chan struct{}), newVersion: make(chan struct{}, 1)}
}

// Index returns the catalogue in force with its key index, nil if there is none.
func (f *Follower) Index() *access.KeyIndex { return f.index.Load() }

// Catalogue returns the catalogue in force, nil if there is none.
func (f *Follower) Catalogue() *catal.Catalogue {
	if x := f.index.Load(); x != nil {
		return x.Catalogue
	}
	return nil
}

// Version returns the version in force, 0 if there is none.
func (f *Follower) Version() ident.Version {
	if c := f.Catalogue(); c != nil {
		return c.Version
	}
	return 0
}

// Changed returns a channel that is closed at the next change of the catalogue.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// StoreUp reports whether the last read of the store succeeded.
func (f *Follower) StoreUp() bool { return f.storeUp.Load() }

// Apply puts a catalogue in force if its version is higher than the present one,
// and reports whether it did. from names the source in the log.
func (f *Follower) Apply(c *catal.Catalogue, from string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Version <= f.Version() {
		return false
	}
	f.index.Store(access.NewKeyIndex(c))
	close(f.changed)
	f.changed = make(chan struct{})
	evlog.At(f.cfg.Log, evlog.CatalogueTaken).Uint64("version", uint64(c.Version)).Str("from", from).Send()
	select {
	case f.newVersion <- struct{}{}:
	default:
	}
	return true
}

// Run follows the store and other VMs until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.followStore(ctx) })
	wg.Go(func() { f.gossip(ctx) })
	wg.Wait()
}

// followStore reads and watches the key until ctx is cancelled.
func (f *Follower) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		rev, err := f.readStore(ctx)
		f.setStoreUp(err)
		if err == nil {
			// The watch ends when the store has compacted its history or does
			// not answer; the next read shows which.
			_ = f.cfg.Store.Watch(ctx, f.cfg.Key, rev, func(ev store.Event) {
				if !ev.Deleted && ev.Entry.Key == f.cfg.Key {
					f.applyEntry(ev.Entry)
				}
			})
		}
		wait.For(ctx, storeRetryDelay/2+rand.N(storeRetryDelay))
	}
}

// readStore reads the key and returns the revision from which to watch it.
func (f *Follower) readStore(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := f.cfg.Store.Get(ctx, f.cfg.Key)
	if err != nil {
		return 0, err
	}
	if e.Revision != 0 {
		f.applyEntry(e)
	}
	return max(e.Revision, e.StoreRevision), nil
}

// applyEntry decodes and applies a catalogue from the store.
func (f *Follower) applyEntry(e store.Entry) {
	c, err := f.cfg.Decode(e.Value)
	if err != nil {
		evlog.At(f.cfg.Log, evlog.CatalogueUnread).Int64("revision", int64(e.Revision)).Err(err).Send()
		return
	}
	f.Apply(c, "store")
}

// setStoreUp records whether a read of the store succeeded, and logs changes.
func (f *Follower) setStoreUp(err error) {
	up := err == nil
	if f.storeUp.Swap(up) == up {
		return
	}
	if up {
		evlog.At(f.cfg.Log, evlog.StoreRegained).Send()
		return
	}
	evlog.At(f.cfg.Log, evlog.StoreLost).Err(err).Uint64("version", uint64(f.Version())).Send()
}

// gossip compares versions with other VMs until ctx is cancelled.
func (f *Follower) gossip(ctx context.Context) {
	t := time.NewTicker(gossipInterval)
	defer t.Stop()
	for {
		n := 1
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.newVersion:
			n = gossipFanout
		}
		all := f.cfg.Fleet.Addresses()
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		var wg sync.WaitGroup
		for _, address := range all[:min(n, len(all))] {
			wg.Go(func() { f.compare(ctx, address) })
		}
		wg.Wait()
	}
}

// compare sends the version in force to a VM and pulls the VM's catalogue if that
// is newer. Errors are ignored: the next round asks another VM.
func (f *Follower) compare(ctx context.Context, address string) {
	c, err := f.cfg.Peers.Client(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.PushCatalogue(ctx, &peerpb.PushCatalogueRequest{Version: uint64(f.Version()), Vm: string(f.cfg.VM)})
	if err != nil {
		return
	}
	if ident.Version(r.GetVersion()) > f.Version() {
		f.pull(ctx, c)
	}
}

// pull fetches a newer catalogue from a VM, verifies its hash and applies it.
func (f *Follower) pull(ctx context.Context, c peerpb.PeerClient) {
	r, err := c.GetCatalogue(ctx, &peerpb.GetCatalogueRequest{HaveVersion: uint64(f.Version())})
	if err != nil || len(r.GetDocument()) == 0 {
		return // the next comparison tries again
	}
	sum := sha256.Sum256(r.GetDocument())
	var cat catal.Catalogue
	if string(sum[:]) != string(r.GetSha256()) || json.Unmarshal(r.GetDocument(), &cat) != nil {
		evlog.At(f.cfg.Log, evlog.CatalogueUnread).Str("from", "peer").Send()
		return
	}
	f.Apply(&cat, "peer")
}

// GetCatalogue implements peer.Catalogue.
func (f *Follower) GetCatalogue(_ context.Context, r *peerpb.GetCatalogueRequest) (*peerpb.GetCatalogueReply, error) {
	c := f.Catalogue()
	if c == nil || ident.Version(r.GetHaveVersion()) >= c.Version {
		return &peerpb.GetCatalogueReply{}, nil
	}
	doc, err := catal.Encode(c)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(doc)
	return &peerpb.GetCatalogueReply{Version: uint64(c.Version), Document: doc, Sha256: sum[:]}, nil
}

// PushCatalogue implements peer.Catalogue. A VM that receives a higher version
// starts a round of gossip at once.
func (f *Follower) PushCatalogue(_ context.Context, r *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error) {
	if ident.Version(r.GetVersion()) > f.Version() {
		select {
		case f.newVersion <- struct{}{}:
		default:
		}
	}
	return &peerpb.PushCatalogueReply{Version: uint64(f.Version())}, nil
}
