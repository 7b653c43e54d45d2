// Package follow keeps the catalogue of a VM up to date where operators write it
// to the platform's store: it watches the store, and VMs tell each other of
// versions, so that one that the store turns away learns of them too.
//
// A version is never followed by a lower one, whoever sends it.
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
	// tellEvery is how often a VM compares versions with a random other one.
	tellEvery = time.Second
	// tellFanout is the number of VMs that hear of a new version at once.
	tellFanout = 2
	// callTimeout bounds a call to another VM or to the store.
	callTimeout = time.Second
	// retryStore is the wait after the store did not answer, changed by up to a
	// half so that VMs spread out.
	retryStore = 250 * time.Millisecond
)

// Fleet lists the addresses of other VMs, which may be stale.
type Fleet interface {
	Addresses() []string
}

// Peers gives connections to other VMs.
type Peers interface {
	Client(address string) (peerpb.PeerClient, error)
}

// Config has the parts of a Follower.
type Config struct {
	Store store.Store
	// Key of the catalogue in the store, and Decode to read its value.
	Key    string
	Decode func([]byte) (*catal.Catalogue, error)
	VM     ident.VM
	Fleet  Fleet
	Peers  Peers
	Log    zerolog.Logger
}

// Follower has the catalogue in force. Its methods may be called from several
// goroutines.
type Follower struct {
	cfg   Config
	index atomic.Pointer[access.Index]

	mu      sync.Mutex
	changed chan struct{}
	// up tells that the store answered last.
	up atomic.Bool
	// new is signalled by a version to tell others of.
	fresh chan struct{}
}

// New returns a Follower without a catalogue.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, changed: make(chan struct{}), fresh: make(chan struct{}, 1)}
}

// Index returns the catalogue in force with its keys; nil while there is none.
func (f *Follower) Index() *access.Index { return f.index.Load() }

// Catalogue returns the catalogue in force; nil while there is none.
func (f *Follower) Catalogue() *catal.Catalogue {
	if x := f.index.Load(); x != nil {
		return x.Catalogue
	}
	return nil
}

// Version returns the version in force, 0 for none.
func (f *Follower) Version() ident.Version {
	if c := f.Catalogue(); c != nil {
		return c.Version
	}
	return 0
}

// Changed returns a channel that is closed at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// StoreUp reports whether the store answered the last call.
func (f *Follower) StoreUp() bool { return f.up.Load() }

// Apply puts a catalogue in force unless the present version is as high. It
// reports whether it did.
func (f *Follower) Apply(c *catal.Catalogue, from string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Version <= f.Version() {
		return false
	}
	f.index.Store(access.NewIndex(c))
	close(f.changed)
	f.changed = make(chan struct{})
	evlog.At(f.cfg.Log, evlog.CatalogueTaken).Uint64("version", uint64(c.Version)).Str("from", from).Send()
	select {
	case f.fresh <- struct{}{}:
	default:
	}
	return true
}

// Run follows the store and other VMs until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.followStore(ctx) })
	wg.Go(func() { f.gossip(ctx) })
	wg.Wait()
}

// followStore reads the key and watches it, again and again.
func (f *Follower) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		rev, err := f.read(ctx)
		f.noteStore(err)
		if err == nil {
			// It ends when the store forgets the history or doesn't answer; the
			// next read tells which.
			_ = f.cfg.Store.Watch(ctx, f.cfg.Key, rev, func(ev store.Event) {
				if !ev.Deleted && ev.Entry.Key == f.cfg.Key {
					f.decode(ev.Entry)
				}
			})
		}
		wait.For(ctx, retryStore/2+rand.N(retryStore))
	}
}

func (f *Follower) read(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := f.cfg.Store.Get(ctx, f.cfg.Key)
	if err != nil {
		return 0, err
	}
	if e.Revision != 0 {
		f.decode(e)
	}
	return max(e.Revision, e.StoreRevision), nil
}

func (f *Follower) decode(e store.Entry) {
	c, err := f.cfg.Decode(e.Value)
	if err != nil {
		evlog.At(f.cfg.Log, evlog.CatalogueUnread).Int64("revision", int64(e.Revision)).Err(err).Send()
		return
	}
	f.Apply(c, "store")
}

func (f *Follower) noteStore(err error) {
	up := err == nil
	if f.up.Swap(up) == up {
		return
	}
	if up {
		evlog.At(f.cfg.Log, evlog.StoreRegained).Send()
		return
	}
	evlog.At(f.cfg.Log, evlog.StoreLost).Err(err).Uint64("version", uint64(f.Version())).Send()
}

// gossip compares versions with other VMs.
func (f *Follower) gossip(ctx context.Context) {
	t := time.NewTicker(tellEvery)
	defer t.Stop()
	for {
		n := 1
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.fresh:
			n = tellFanout
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

// compare tells a VM of the version in force, and pulls a higher one. A VM that
// doesn't answer is passed over; another one is asked next time.
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

// PushCatalogue implements peer.Catalogue. A VM that hears of a higher version
// compares with a random other one at once.
func (f *Follower) PushCatalogue(_ context.Context, r *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error) {
	if ident.Version(r.GetVersion()) > f.Version() {
		select {
		case f.fresh <- struct{}{}:
		default:
		}
	}
	return &peerpb.PushCatalogueReply{Version: uint64(f.Version())}, nil
}
