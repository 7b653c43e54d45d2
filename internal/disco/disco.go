// Package disco discovers databases: it polls their list in the platform's store
// and updates the roster.
//
// # Usage
//
//	d := &disco.Poller{Store: s, Prefix: "targets/", Decode: decode, Roster: &table}
//	go d.Run(ctx)
package disco

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/guard"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

const (
	// readInterval is the interval of reading the list, with a jitter of up to a
	// tenth. Every freshEvery-th read requires a fresh list, so that a leaving
	// database is noticed in time even when stale answers are seconds old.
	readInterval = 700 * time.Millisecond
	freshEvery   = 3
	// callTimeout bounds one read of the list.
	callTimeout = time.Second
)

// Poller polls the list of databases. Its fields must be set before Run.
type Poller struct {
	Store store.Store
	// List, unless nil, is used instead of the store's List: it returns the
	// entries under a prefix and the time as of which they were current. Unless
	// fresh is set, the list may be some seconds older.
	List   func(ctx context.Context, prefix string, fresh bool) ([]store.Entry, time.Time, error)
	Prefix string
	Decode func(key string, value []byte) (roster.Entry, error)
	Roster *roster.Table
	Log    zerolog.Logger

	storeDown bool

	// mu guards the following fields.
	mu      sync.Mutex
	skipped map[string]store.Revision
	// decoded has the last decoded entry of each key.
	decoded map[string]decodedEntry
	// epoch is the highest epoch of the store that a list has shown.
	epoch store.Epoch
}

// decodedEntry is the decoded value of a key at a revision.
type decodedEntry struct {
	revision store.Revision
	entry    roster.Entry
}

// Run polls until ctx is cancelled.
func (p *Poller) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		p.read(ctx, n%freshEvery != 0)
		wait.For(ctx, readInterval*9/10+rand.N(readInterval/5))
	}
}

func (p *Poller) read(ctx context.Context, stale bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, at, err := p.list(ctx, !stale)
	p.logStoreState(err)
	if err != nil {
		p.Roster.RecordOutage(time.Now())
		return
	}
	if !p.checkEpoch(entries) {
		return
	}
	out := p.decode(entries)
	if stale {
		// A stale list may lack added entries and still hold removed ones.
		p.Roster.Merge(out, at)
		return
	}
	p.Roster.Update(out, at)
}

func (p *Poller) list(ctx context.Context, fresh bool) ([]store.Entry, time.Time, error) {
	if p.List != nil {
		return p.List(ctx, p.Prefix, fresh)
	}
	at := time.Now()
	entries, err := store.ListEntries(ctx, p.Store, p.Prefix, fresh)
	return entries, at, err
}

// Refresh reads the list directly from the store. It is called before decisions
// that must take every database into account.
func (p *Poller) Refresh(ctx context.Context) error {
	at := time.Now()
	entries, err := p.Store.List(ctx, p.Prefix)
	if err != nil {
		p.Roster.RecordOutage(time.Now())
		return err
	}
	if !p.checkEpoch(entries) {
		return &store.Error{Op: "list", Key: p.Prefix, Kind: store.KindUnavailable, Err: errFormerEpoch}
	}
	p.Roster.Update(p.decode(entries), at)
	return nil
}

// errFormerEpoch is the cause of an error when a list is not used.
var errFormerEpoch = errors.New("the store was restored since the list was read")

// checkEpoch returns false for a list from before a restoration that another list has
// shown. The first list after a restoration may lack databases that were listed since the
// copy, and have some that left, until those write again; this counts as an outage.
func (p *Poller) checkEpoch(entries []store.Entry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	epoch := store.EpochOf(p.Store)
	for _, e := range entries {
		epoch = max(epoch, e.Revision.Epoch())
	}
	if len(entries) > 0 && entries[0].Revision.Epoch() < p.epoch {
		return false
	}
	if epoch > max(p.epoch, store.FirstEpoch) {
		p.Roster.RecordOutage(time.Now())
	}
	p.epoch = max(p.epoch, epoch)
	return true
}

// decode returns the entries that can be decoded and logs the others. Values that have
// not changed since they were last decoded are not decoded again.
func (p *Poller) decode(entries []store.Entry) []roster.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]roster.Entry, 0, len(entries))
	decoded := make(map[string]decodedEntry, len(entries))
	for _, e := range entries {
		d, ok := p.decoded[e.Key]
		if !ok || d.revision != e.Revision {
			r, err := guard.Call(p.Log, "database entry", e.Key, func() (roster.Entry, error) { return p.Decode(e.Key, e.Value) })
			if err != nil {
				p.logSkipped(e, err)
				continue
			}
			r.Revision = e.Revision
			d = decodedEntry{e.Revision, r}
		}
		decoded[e.Key] = d
		out = append(out, d.entry)
	}
	p.decoded = decoded
	return out
}

// logSkipped logs an entry that can't be decoded, once per revision. The caller holds
// p.mu.
func (p *Poller) logSkipped(e store.Entry, err error) {
	if p.skipped[e.Key] == e.Revision {
		return
	}
	if p.skipped == nil {
		p.skipped = map[string]store.Revision{}
	}
	p.skipped[e.Key] = e.Revision
	evlog.At(p.Log, evlog.EntrySkipped).Str("key", e.Key).Err(err).Send()
}

// logStoreState logs when reads of the list begin to fail and when they succeed
// again.
func (p *Poller) logStoreState(err error) {
	if (err != nil) == p.storeDown {
		return
	}
	p.storeDown = err != nil
	if err != nil {
		evlog.At(p.Log, evlog.TargetsUnlisted).Err(err).Send()
		return
	}
	evlog.At(p.Log, evlog.TargetsListed).Send()
}
