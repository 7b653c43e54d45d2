// Package disco reads the list of databases from the platform's store into the
// roster.
//
// # Usage
//
//	d := &disco.Poller{Store: s, Prefix: "targets/", Decode: decode, Roster: &table}
//	go d.Run(ctx)
package disco

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

const (
	// period of reading the list, changed by up to a tenth. Every fullEvery-th
	// read is not a stale one, so that a leaving database is known in time even
	// when stale answers are seconds old.
	period    = 700 * time.Millisecond
	fullEvery = 3
	// callTimeout bounds a read.
	callTimeout = time.Second
)

// Poller reads the list. Its fields are set before Run.
type Poller struct {
	Store store.Store
	// List, unless nil, takes the place of the store's: it reads the entries under
	// a prefix, and returns since when they may be outdated. Unless fresh is
	// set, the list may be some seconds older.
	List   func(ctx context.Context, prefix string, fresh bool) ([]store.Entry, time.Time, error)
	Prefix string
	Decode func(key string, value []byte) (roster.Entry, error)
	Roster *roster.Table
	Log    zerolog.Logger

	down bool

	// mu guards skipped.
	mu      sync.Mutex
	skipped map[string]store.Revision
}

// Run reads until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		p.read(ctx, n%fullEvery != 0)
		wait.For(ctx, period*9/10+rand.N(period/5))
	}
}

func (p *Poller) read(ctx context.Context, stale bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, at, err := p.list(ctx, !stale)
	p.note(err)
	if err != nil {
		p.Roster.RecordOutage(time.Now())
		return
	}
	out := p.decode(entries)
	if stale {
		// A stale list may lack what was added and have what was removed.
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

// Refresh reads the list from the store itself, before a decision that needs
// every database.
func (p *Poller) Refresh(ctx context.Context) error {
	at := time.Now()
	entries, err := p.Store.List(ctx, p.Prefix)
	if err != nil {
		p.Roster.RecordOutage(time.Now())
		return err
	}
	p.Roster.Update(p.decode(entries), at)
	return nil
}

// decode returns the entries that can be read.
func (p *Poller) decode(entries []store.Entry) []roster.Entry {
	out := make([]roster.Entry, 0, len(entries))
	for _, e := range entries {
		r, err := p.Decode(e.Key, e.Value)
		if err != nil {
			p.skip(e, err)
			continue
		}
		out = append(out, r)
	}
	return out
}

// skip logs an entry that can't be read, once for each of its values.
func (p *Poller) skip(e store.Entry, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.skipped[e.Key] == e.Revision {
		return
	}
	if p.skipped == nil {
		p.skipped = map[string]store.Revision{}
	}
	p.skipped[e.Key] = e.Revision
	evlog.At(p.Log, evlog.EntrySkipped).Str("key", e.Key).Err(err).Send()
}

func (p *Poller) note(err error) {
	if (err != nil) == p.down {
		return
	}
	p.down = err != nil
	if err != nil {
		evlog.At(p.Log, evlog.TargetsUnlisted).Err(err).Send()
		return
	}
	evlog.At(p.Log, evlog.TargetsListed).Send()
}
