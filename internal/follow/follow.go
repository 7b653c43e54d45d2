// Package follow keeps the catalogue of a VM up to date when operators write it
// to the platform's store: it watches the store and gossips versions between VMs,
// so that a VM whose calls the store rejects receives them too.
//
// In a large fleet only a few VMs watch the store. The others compare versions with
// the reader VMs that Config.Readers names, and learn with each comparison as of when
// their version was the newest. A VM whose version has not been confirmed for
// maxUnconfirmedAge reads the store itself, so that readers which are dead, frozen or
// cut off delay a version by no more than that.
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
	"chervilspan.example/internal/guard"
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
	// readerInterval is the interval at which a VM that does not watch the store
	// compares versions with a reader.
	readerInterval = 700 * time.Millisecond
	// maxUnconfirmedAge exceeds the age of a confirmation that passes through two
	// readers: two watch requests of ReaderWatchTimeout, and two intervals.
	maxUnconfirmedAge = 4200 * time.Millisecond
	// maxReadBackoff bounds the delay between own reads of the store while it does not
	// answer this VM.
	maxReadBackoff = 8 * time.Second
	// roleInterval is the interval at which a VM checks whether it is to watch.
	roleInterval = 200 * time.Millisecond
	// roleTimeout is how long a VM that does not know yet whether it is to watch the
	// store waits with that.
	roleTimeout = 2 * time.Second
	// callTimeout bounds a call to another VM or to the store.
	callTimeout = time.Second
	// readerTimeout bounds a comparison with a reader, so that the next one is asked
	// in time if it does not answer.
	readerTimeout = 400 * time.Millisecond
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
	// Readers, unless nil, returns the addresses of the VMs from which to learn of
	// versions, in order of preference; none if this VM watches the store itself. known
	// is false while that is not decided.
	Readers func() (addresses []string, known bool)
	// Clock returns the time by which the age of a confirmation is measured; nil means
	// time.Now. Machines that can be suspended need a clock that includes the time of
	// suspension.
	Clock func() time.Time
	Log   zerolog.Logger
}

// ReaderWatchTimeout is how long the store may hold a watch of a VM from which others
// learn of versions.
const ReaderWatchTimeout = time.Second

// Follower holds the catalogue in force. Its methods may be called from several
// goroutines.
type Follower struct {
	cfg   Config
	index atomic.Pointer[access.KeyIndex]

	mu      sync.Mutex
	changed chan struct{}
	// confirmedAt is the last time, by Config.Clock, as of which no version above the
	// one in force was in the store.
	confirmedAt time.Time
	// storeUp is set when the last read of the store succeeded.
	storeUp atomic.Bool
	// newVersion is signalled to start a round of gossip at once.
	newVersion chan struct{}
}

// New returns a Follower without a catalogue.
func New(cfg Config) *Follower {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Readers == nil {
		cfg.Readers = func() ([]string, bool) { return nil, true }
	}
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

// followStore reads the key, and watches it if this VM is to do so, until ctx is
// cancelled.
func (f *Follower) followStore(ctx context.Context) {
	backoff := maxUnconfirmedAge
	for ctx.Err() == nil {
		rev, err := f.readStore(ctx)
		f.setStoreUp(err)
		switch {
		case f.awaitRole(ctx):
			if err == nil {
				f.watchStore(ctx, rev)
			}
			wait.For(ctx, storeRetryDelay/2+rand.N(storeRetryDelay))
		case err == nil:
			backoff = maxUnconfirmedAge
			f.awaitUnconfirmed(ctx, 0)
		default:
			f.awaitUnconfirmed(ctx, backoff)
			backoff = min(2*backoff, maxReadBackoff)
		}
	}
}

// watches reports whether this VM watches the store.
func (f *Follower) watches() bool {
	readers, _ := f.cfg.Readers()
	return len(readers) == 0
}

// awaitRole reports whether this VM watches the store, after waiting until that is
// decided.
func (f *Follower) awaitRole(ctx context.Context) bool {
	for end := time.Now().Add(roleTimeout); time.Now().Before(end); {
		if readers, known := f.cfg.Readers(); known {
			return len(readers) == 0
		}
		if !wait.For(ctx, roleInterval) {
			return false
		}
	}
	return true
}

// watchStore watches the key until the watch fails or this VM is no longer to watch.
func (f *Follower) watchStore(ctx context.Context, rev store.Revision) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := f.cfg.Clock()
	// The watch ends when the store has compacted its history or does not answer; the
	// next read shows which.
	_ = f.cfg.Store.Watch(ctx, f.cfg.Key, rev, func(ev store.Event) {
		switch {
		case ev.Progress:
			f.confirm(asked)
			asked = f.cfg.Clock()
			if !f.watches() {
				cancel()
			}
		case !ev.Deleted && ev.Entry.Key == f.cfg.Key:
			f.applyEntry(ev.Entry)
		}
	})
}

// awaitUnconfirmed returns when the version in force has not been confirmed for
// maxUnconfirmedAge, but not before minDelay has passed, or when this VM is to watch
// the store.
func (f *Follower) awaitUnconfirmed(ctx context.Context, minDelay time.Duration) {
	end := time.Now().Add(minDelay)
	for wait.For(ctx, roleInterval) && !f.watches() {
		if time.Now().After(end) && f.unconfirmedAge() > maxUnconfirmedAge {
			return
		}
	}
}

// confirm records that no version above the one in force was in the store at a time.
func (f *Follower) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

func (f *Follower) unconfirmedAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Clock().Sub(f.confirmedAt)
}

// readStore reads the key and returns the revision from which to watch it.
func (f *Follower) readStore(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := f.cfg.Clock()
	e, err := f.cfg.Store.Get(ctx, f.cfg.Key)
	if err != nil {
		return 0, err
	}
	if e.Revision != 0 {
		f.applyEntry(e)
	}
	f.confirm(asked)
	return max(e.Revision, e.StoreRevision), nil
}

// applyEntry decodes and applies a catalogue from the store.
func (f *Follower) applyEntry(e store.Entry) {
	c, err := guard.Call(f.cfg.Log, "catalogue", "", func() (*catal.Catalogue, error) { return f.cfg.Decode(e.Value) })
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

// gossip compares versions with other VMs until ctx is cancelled: with a reader, or
// with random VMs if this VM watches the store or reaches no reader.
func (f *Follower) gossip(ctx context.Context) {
	t := time.NewTimer(f.gossipDelay())
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
		if !f.compareWithReader(ctx) {
			f.compareWithOthers(ctx, n)
		}
		t.Reset(f.gossipDelay())
	}
}

// gossipDelay returns the time to the next comparison, which differs at random by a
// tenth, so that the VMs that learned of a version together spread out again.
func (f *Follower) gossipDelay() time.Duration {
	d := gossipInterval
	if !f.watches() {
		d = readerInterval
	}
	return d*9/10 + rand.N(d/5)
}

// compareWithReader compares versions with the first reader that answers, and reports
// whether one did.
func (f *Follower) compareWithReader(ctx context.Context) bool {
	readers, _ := f.cfg.Readers()
	for _, address := range readers {
		if f.compare(ctx, address, readerTimeout) {
			return true
		}
	}
	return false
}

// compareWithOthers compares versions with n random VMs.
func (f *Follower) compareWithOthers(ctx context.Context, n int) {
	all := f.cfg.Fleet.Addresses()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var wg sync.WaitGroup
	for _, address := range all[:min(n, len(all))] {
		wg.Go(func() { f.compare(ctx, address, callTimeout) })
	}
	wg.Wait()
}

// compare sends the version in force to a VM, pulls the VM's catalogue if that is
// newer, and takes over its confirmation. It reports whether the VM answered. Errors
// are ignored: the next round asks again or asks another VM.
func (f *Follower) compare(ctx context.Context, address string, timeout time.Duration) bool {
	c, err := f.cfg.Peers.Client(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := f.cfg.Clock()
	r, err := c.PushCatalogue(ctx, &peerpb.PushCatalogueRequest{Version: uint64(f.Version()), Vm: string(f.cfg.VM)})
	if err != nil {
		return false
	}
	if ident.Version(r.GetVersion()) > f.Version() {
		f.pull(ctx, c)
	}
	if age := r.GetConfirmedAgeMs(); age > 0 && ident.Version(r.GetVersion()) <= f.Version() {
		f.confirm(asked.Add(-time.Duration(age) * time.Millisecond))
	}
	return true
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
	reply := &peerpb.PushCatalogueReply{}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Read under the lock, since the confirmation refers to this version.
	reply.Version = uint64(f.Version())
	if !f.confirmedAt.IsZero() {
		reply.ConfirmedAgeMs = uint64(f.cfg.Clock().Sub(f.confirmedAt).Milliseconds()) + 1
	}
	return reply, nil
}
