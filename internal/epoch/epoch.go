package epoch

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/store"
)

const (
	keyPrefix = "epoch/"
	// currentKey has the epoch in which the wait was last begun.
	currentKey = keyPrefix + "current"
)

// waitKey returns the key that exists while rights of a lifetime have to wait.
func waitKey(lifetime time.Duration) string {
	return keyPrefix + "wait/" + strconv.FormatInt(lifetime.Milliseconds(), 10)
}

// record is the value of the keys.
type record struct {
	Epoch store.Epoch `json:"epoch"`
}

// Config is the configuration of a Guard.
type Config struct {
	Store store.Store
	// Lifetimes are the lifetimes of the leases under which rights are held.
	Lifetimes []time.Duration
	Log       zerolog.Logger
}

// Guard reports when rights may be granted. Its methods may be called from several
// goroutines. With a store that is never restored, they may be at any time.
type Guard struct {
	cfg   Config
	store countingStore

	mu sync.Mutex
	// settled has the epoch in which the wait for a lifetime is known to be over.
	settled map[time.Duration]store.Epoch
}

// countingStore is a store that counts its restorations.
type countingStore interface {
	store.Store
	store.Batcher
	store.Restorable
}

// New returns a Guard.
func New(cfg Config) *Guard {
	s, _ := cfg.Store.(countingStore)
	return &Guard{cfg: cfg, store: s, settled: map[time.Duration]store.Epoch{}}
}

// Settled reports whether rights under leases of a lifetime, which must be one of
// Config.Lifetimes, may be granted in an epoch, the last one that the store has shown. A
// right whose key gets a revision of another epoch must not be used, since the store may
// be restored meanwhile. In a new epoch, Settled begins the wait. The error is an *Error.
func (g *Guard) Settled(ctx context.Context, lifetime time.Duration) (epoch store.Epoch, ok bool, err error) {
	if g.store == nil || g.store.Epoch() == store.FirstEpoch {
		return store.FirstEpoch, true, nil
	}
	if epoch, ok := g.knownSettled(lifetime); ok {
		return epoch, true, nil
	}
	entries, err := g.store.List(ctx, keyPrefix)
	if err != nil {
		return 0, false, &Error{Op: "list", Kind: KindStore, Err: err}
	}
	epoch = g.store.Epoch()
	if epoch <= store.FirstEpoch {
		return store.FirstEpoch, true, nil
	}
	ok, err = g.check(ctx, lifetime, epoch, entries)
	return epoch, ok, err
}

// check reports whether the wait for a lifetime is over in an epoch, by the guard's keys.
func (g *Guard) check(ctx context.Context, lifetime time.Duration, epoch store.Epoch, entries []store.Entry) (bool, error) {
	keys := make(map[string]store.Entry, len(entries))
	for _, e := range entries {
		keys[e.Key] = e
	}
	switch {
	case g.begun(keys[currentKey]) != epoch:
		return false, g.begin(ctx, epoch, keys)
	case keys[waitKey(lifetime)].Revision != 0:
		return false, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settled[lifetime] = epoch
	return true, nil
}

func (g *Guard) knownSettled(lifetime time.Duration) (store.Epoch, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	epoch, ok := g.settled[lifetime]
	return epoch, ok && epoch == g.store.Epoch()
}

// begun returns the epoch in which the wait was last begun, 0 if it never was or the key
// can't be decoded.
func (g *Guard) begun(e store.Entry) store.Epoch {
	if e.Revision == 0 {
		return 0
	}
	plain, err := store.DecodeEntry(e)
	var r record
	if err == nil {
		err = json.Unmarshal(plain.Value, &r)
	}
	if err != nil {
		evlog.At(g.cfg.Log, evlog.EntrySkipped).Str("key", e.Key).Err(err).Send()
		return 0
	}
	return r.Epoch
}

// begin begins the wait in an epoch, unless another VM does at the same time.
func (g *Guard) begin(ctx context.Context, epoch store.Epoch, keys map[string]store.Entry) error {
	value, err := json.Marshal(record{epoch})
	if err != nil {
		return &Error{Op: "encode", Kind: KindFormat, Err: err}
	}
	ws := []store.Write{{Key: currentKey, Value: value, Expected: keys[currentKey].Revision}}
	for _, l := range g.cfg.Lifetimes {
		lease, err := g.store.GrantLease(ctx, l)
		if err != nil {
			return &Error{Op: "grant lease", Kind: KindStore, Err: err}
		}
		ws = append(ws, store.Write{Key: waitKey(l), Value: value, Lease: lease, Expected: keys[waitKey(l)].Revision})
	}
	done, _, err := store.SwapAll(ctx, g.store, g.store, ws)
	if err != nil {
		return &Error{Op: "begin", Kind: KindStore, Err: err}
	}
	if done {
		evlog.At(g.cfg.Log, evlog.EpochBegun).Int64("epoch", int64(epoch)).Dur("wait", slices.Max(g.cfg.Lifetimes)).Send()
	}
	return nil
}
