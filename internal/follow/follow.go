// Package follow keeps the catalogue of a VM up to date when operators write it
// to the platform's store: it watches the store and gossips versions between VMs,
// so that a VM whose calls the store rejects receives them too.
//
// In a large fleet only a few VMs watch the store. The others compare versions with
// the reader VMs that Config.Readers names, and learn with each comparison as of when
// their version was the newest. A reader that answers may have lost the store itself: a
// VM whose version is not confirmed then asks its other readers and random VMs, and
// reads the store if none of them can confirm it.
//
// The version in force never decreases, whatever the source of a catalogue. A store that
// was restored from an older copy may show a lower one for a while; this confirms nothing.
//
// With Config.EvacuateWithin, the orders to evacuate availability zones take the same
// ways as the catalogue, and ZoneStatus says how the databases of a zone may be used.
//
// # Usage
//
//	f := follow.New(follow.Config{
//		Store: s, Key: "catalogue", Decode: decode, Fleet: fleet, Peers: peers,
//	})
//	go f.Run(ctx)
//	idx := f.Index() // nil while there is no catalogue
package follow

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
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
	// unconfirmedFanout is the number of random VMs that are asked at once when the version
	// in force is not confirmed. It doubles with each round that fails, at most
	// maxFanoutDoublings times: the few VMs that know more may be hard to find.
	unconfirmedFanout  = 2
	maxFanoutDoublings = 2
	// maxAnswerAge is the age that a confirmation has at the most when it comes through two
	// readers that work: two watch requests of ReaderWatchTimeout, an interval, and the
	// ways between them.
	maxAnswerAge = 3 * time.Second
	// maxUnconfirmedAge is the age of a confirmation after which a VM reads the store
	// itself in any case. It exceeds maxAnswerAge by an interval and a comparison that gets
	// no answer.
	maxUnconfirmedAge = 4200 * time.Millisecond
	// minReadBackoff is the shortest delay after an own read of the store that failed.
	minReadBackoff = 500 * time.Millisecond
	// roleInterval is the interval at which a VM checks whether it is to watch.
	roleInterval = 200 * time.Millisecond
	// roleTimeout is how long a VM that does not know yet whether it is to watch the
	// store waits with that.
	roleTimeout = 2 * time.Second
	// firstReadDelay is how long a VM that starts leaves it to its readers to send it the
	// catalogue, firstRoleTimeout how long it waits to learn which these are, and
	// startInterval the interval at which it asks them.
	firstReadDelay   = 3 * time.Second
	firstRoleTimeout = 500 * time.Millisecond
	startInterval    = 100 * time.Millisecond
	// callTimeout bounds a call to another VM, and the time until the store begins to answer.
	callTimeout = time.Second
	// readTimeout bounds a read of the store with the time in which its answer comes: the
	// largest document takes 1.1 s on an idle link of 10 Mbit/s.
	readTimeout = 10 * time.Second
	// largeAnswer is the size, in bytes, from which on an answer of the store takes a narrow
	// link for long: largeReadTime at most on an idle one of 10 Mbit/s. maxLargeReadDelay is
	// how long such an answer is left to other VMs at most.
	largeAnswer       = 32 << 10
	largeReadTime     = 1300 * time.Millisecond
	maxLargeReadDelay = 3 * time.Second
	// compareTimeout bounds a comparison, so that others are asked in time if a VM does not
	// answer.
	compareTimeout = 400 * time.Millisecond
	// avoidPeriod is how long a VM that did not answer a comparison is asked only after
	// others.
	avoidPeriod = 2 * time.Second
	// storeRetryDelay is the delay before the store is read again after a watch
	// ended or a read failed, with a jitter of up to a half so that the calls of
	// VMs spread out.
	storeRetryDelay = 250 * time.Millisecond
)

// Fleet returns the addresses of other VMs, which may be outdated.
type Fleet interface {
	Addresses() []string
	// Address returns the address of a VM, "" if it is not known.
	Address(ident.VM) string
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
	// Within is the time within which a version must be in force on each VM that is not
	// cut off, from when the store acknowledged it; 0 means 9 s.
	Within time.Duration
	// EvacuateWithin is the time within which the evacuation of a zone must be in force;
	// 0 means that evacuations are not followed. EvacuatePrefix is the prefix of the keys
	// that order one, each followed by the zone. KnowsZone, unless nil, reports whether a
	// zone exists.
	EvacuateWithin time.Duration
	EvacuatePrefix string
	KnowsZone      func(ident.Zone) bool
	VM             ident.VM
	// Address is that of this VM's peer service, by which a VM that is behind calls back.
	Address string
	Fleet   Fleet
	Peers   Peers
	// Readers, unless nil, returns the addresses of the VMs from which to learn of
	// versions, in order of preference; none if this VM watches the store itself. known
	// is false while that is not decided.
	Readers func() (addresses []string, known bool)
	// WatchTimeout, unless nil, returns how long the store holds a watch of this VM; nil
	// means ReaderWatchTimeout.
	WatchTimeout func() time.Duration
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
	// confirmedAt is the last time, by Config.Clock, as of which the version in force
	// was the newest in the store, and confirmedFrom the source of that knowledge.
	confirmedAt   time.Time
	confirmedFrom string
	// confirmedRev is the last revision of the store as of which the version in force was
	// the newest, 0 if none is known.
	confirmedRev store.Revision
	// ahead is the VM that last told of a version above the one in force, and aheadAddress
	// its address, until it is asked for it.
	ahead        ident.VM
	aheadAddress string
	// avoid has the addresses of VMs that did not answer a comparison, uninformed those of
	// VMs that could not confirm the version.
	avoid, uninformed peer.AvoidList
	// reader is the address of the reader that last confirmed the version in force.
	reader string
	// heardAt is when the store last answered a read or watch of this VM.
	heardAt time.Time
	// readFailedAt is when the last read of the store that failed began.
	readFailedAt time.Time
	// confirming is closed when the wait of callers for a confirmation ends, nil if none
	// waits; confirmFailedAt is when such a wait last ended in vain.
	confirming      chan struct{}
	confirmFailedAt time.Time
	// lateReported is set while the last line was catalogue_unconfirmed.
	lateReported bool
	// failedRounds is the number of rounds of comparisons since the last one that confirmed
	// the version in force.
	failedRounds atomic.Int32
	// storeUp is set when the last read of the store succeeded.
	storeUp atomic.Bool
	// storeVersion is the version that the store last showed this VM.
	storeVersion ident.Version
	// compared is set once another VM that was not behind has answered a comparison of
	// versions.
	compared bool
	// olderLogged is the version in force of the last catalogue_older line.
	olderLogged ident.Version
	// newVersion is signalled by startRound.
	newVersion chan struct{}
	// started is when New was called, by Config.Clock.
	started    time.Time
	evacuation evacuation

	// pulling has an element while a document is pulled.
	pulling  chan struct{}
	encodeMu sync.Mutex
	encoded  *encoded
}

// New returns a Follower without a catalogue.
func New(cfg Config) *Follower {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	cfg.Within = cmp.Or(cfg.Within, defaultWithin)
	if cfg.Readers == nil {
		cfg.Readers = func() ([]string, bool) { return nil, true }
	}
	if cfg.WatchTimeout == nil {
		cfg.WatchTimeout = func() time.Duration { return ReaderWatchTimeout }
	}
	f := &Follower{cfg: cfg, changed: make(chan struct{}), newVersion: make(chan struct{}, 1), pulling: make(chan struct{}, 1), started: cfg.Clock()}
	f.evacuation.state.Within, f.evacuation.resumed = cfg.EvacuateWithin, make(chan struct{})
	return f
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

// Compared reports whether another VM that was not behind this one has answered a
// comparison of versions.
func (f *Follower) Compared() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.compared
}

// StoreUp reports whether the last read of the store succeeded.
func (f *Follower) StoreUp() bool { return f.storeUp.Load() }

// Apply puts a catalogue in force if its version is higher than the present one,
// and reports whether it did. from names the source in the log: "store", or the address
// of a VM.
func (f *Follower) Apply(c *catal.Catalogue, from string) bool {
	return f.apply(c, delivery{from: from})
}

// delivery says how a document came to this VM.
type delivery struct {
	from string
	// bytes is the size of the document as it was sent.
	bytes int
	// took is the time that the call for it took, 0 if the store sent it by itself.
	took time.Duration
}

func (f *Follower) apply(c *catal.Catalogue, d delivery) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Version <= f.Version() {
		return false
	}
	f.index.Store(access.NewKeyIndex(c))
	f.confirmedRev = 0
	close(f.changed)
	f.changed = make(chan struct{})
	evlog.At(f.cfg.Log, evlog.CatalogueTaken).Uint64("version", uint64(c.Version)).Str("from", d.from).
		Dur("age", f.confirmation().Age).Int("bytes", d.bytes).Dur("took", d.took).Send()
	f.startRound()
	return true
}

// startRound starts a round of comparisons at once.
func (f *Follower) startRound() {
	select {
	case f.newVersion <- struct{}{}:
	default:
	}
}

// Run follows the store and other VMs until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.followStore(ctx) })
	wg.Go(func() { f.gossip(ctx) })
	if f.evacuates() {
		wg.Go(func() { f.checkPauses(ctx) })
	}
	wg.Wait()
}
