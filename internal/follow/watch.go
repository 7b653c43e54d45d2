package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/guard"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

// followStore reads the key, and watches it if this VM is to do so, until ctx is
// cancelled.
func (f *Follower) followStore(ctx context.Context) {
	f.awaitReaders(ctx)
	failures := 0
	for ctx.Err() == nil {
		rev, err := f.readStore(ctx)
		if errors.Is(err, errSuperseded) {
			if !f.watches() {
				f.awaitUnconfirmed(ctx, 0)
			}
			continue
		}
		f.setStoreUp(err)
		if failures++; err == nil {
			failures = 0
		}
		switch {
		case f.awaitRole(ctx):
			if err == nil {
				f.watchStore(ctx, rev)
			}
			wait.For(ctx, storeRetryDelay/2+rand.N(storeRetryDelay))
		case err != nil:
			f.awaitUnconfirmed(ctx, f.readBackoff(failures, err))
		case f.storeIsOlder():
			// The store answers, and will show a newer version only once one is written.
			f.awaitUnconfirmed(ctx, f.maxReadDelay())
		default:
			f.awaitUnconfirmed(ctx, 0)
		}
	}
}

// awaitReaders gives the readers of a VM that starts time to send it the catalogue, of which
// the store may have a large one and as many VMs to answer as start at once.
func (f *Follower) awaitReaders(ctx context.Context) {
	end := time.Now().Add(firstReadDelay)
	for time.Now().Before(end) && f.Version() == 0 {
		readers, known := f.cfg.Readers()
		if known && len(readers) == 0 || !known && time.Until(end) < firstReadDelay-firstRoleTimeout {
			return
		}
		if known {
			f.startRound()
		}
		if !wait.For(ctx, startInterval) {
			return
		}
	}
}

// maxReadDelay returns the longest delay between own reads of the store while nothing
// confirms the version in force. Once the store answers again, what is left of
// Config.Within is enough for a read that fails by its timeout and another one.
func (f *Follower) maxReadDelay() time.Duration {
	return max(minReadBackoff, f.cfg.Within-2*callTimeout)
}

// readBackoff returns the delay after a number of own reads of the store that failed, the
// last with err. The first delays differ by up to a half, so that the VMs of a fleet,
// which all lose the store at once, find out at different times that it is back; the first
// of them tells the others.
func (f *Follower) readBackoff(failures int, err error) time.Duration {
	longest := f.maxReadDelay()
	spread := longest / 8
	switch {
	case failures == 1 && errors.Is(err, context.DeadlineExceeded):
		return minReadBackoff // perhaps only the connection has gone silent
	case failures <= 2:
		spread = longest / 2
	}
	return longest - rand.N(spread)
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
	_ = f.cfg.Store.Watch(ctx, f.watchPrefix(), rev, func(ev store.Event) {
		f.applyEvent(&ev, asked)
		if ev.Progress {
			asked = f.cfg.Clock()
			if !f.watches() {
				cancel()
			}
		}
	})
}

// applyEvent applies an event of a request that was sent at a time.
func (f *Follower) applyEvent(ev *store.Event, asked time.Time) {
	switch {
	case ev.Progress:
		f.confirmFromStore(asked, ev.Entry.StoreRevision)
		f.confirmEvacuationFromStore(asked)
	case f.applyEvacuationEvent(ev):
	case ev.Entry.Key != f.cfg.Key:
	case ev.Deleted:
		f.recordStoreVersion(0)
	default:
		f.applyEntry(ev.Entry, 0)
	}
}

// awaitUnconfirmed returns when the version in force needs a read of the store to be
// confirmed, but not before minDelay has passed, or when this VM is to watch the store.
func (f *Follower) awaitUnconfirmed(ctx context.Context, minDelay time.Duration) {
	end := time.Now().Add(minDelay)
	for wait.For(ctx, roleInterval) && !f.watches() {
		if time.Now().After(end) && f.needsRead() {
			return
		}
	}
}

// needsRead reports whether no other VM has confirmed the version in force: a round of
// comparisons has ended without, or none has ended for long.
func (f *Follower) needsRead() bool {
	age := f.unconfirmedAge()
	return age > maxUnconfirmedAge || age > maxAnswerAge && f.failedRounds.Load() > 0
}

// storeIsOlder reports whether the store last showed an older version than the one in
// force.
func (f *Follower) storeIsOlder() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeVersion < f.Version()
}

// recordStoreVersion records the version that the store showed.
func (f *Follower) recordStoreVersion(v ident.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeVersion = v
}

// readStore learns the version in the store, and returns the revision from which to watch
// it. Unless this VM watches the store, a large document is left to other VMs for as long as
// Config.Within allows: after an outage all VMs find at about the same time that it has
// changed.
func (f *Follower) readStore(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(store.WithAnswerTimeout(ctx, callTimeout), readTimeout)
	defer cancel()
	if f.watches() {
		return f.readChanges(ctx)
	}
	rev, err := f.readChanges(store.WithMaxAnswer(ctx, largeAnswer))
	if !store.IsKind(err, store.KindTooLarge) {
		return rev, err
	}
	if f.awaitSent(ctx, f.largeReadDelay()) {
		return 0, errSuperseded
	}
	return f.readChanges(ctx)
}

// largeReadDelay returns how long the read of a large document may wait. A version that is
// not known yet was acknowledged after the last confirmation, and after the last read that
// failed, as the store then had an outage for this VM.
func (f *Follower) largeReadDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.started
	for _, at := range []time.Time{f.confirmedAt, f.readFailedAt} {
		if at.After(since) {
			since = at
		}
	}
	left := f.cfg.Within - f.cfg.Clock().Sub(since) - largeReadTime
	return min(max(left, 0), maxLargeReadDelay)
}

// awaitSent waits for some time until another VM has sent a version, and reports whether one
// has.
func (f *Follower) awaitSent(ctx context.Context, d time.Duration) bool {
	changed := f.Changed()
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		f.startRound()
		select {
		case <-changed:
			return true
		case <-t.C:
			return false
		case <-ctx.Done():
			return false
		case <-time.After(startInterval):
		}
	}
}

// readChanges asks the store for what has changed since the version in force was confirmed,
// and for the whole document only if the store can't tell. It ends with errSuperseded when
// another VM sends a newer version meanwhile.
func (f *Follower) readChanges(ctx context.Context) (store.Revision, error) {
	ctx, end := f.untilChanged(ctx)
	defer end()
	sent := f.cfg.Clock()
	rev, err := f.pollStore(ctx)
	if rev == 0 || store.IsKind(err, store.KindCompacted) {
		rev, err = f.readDocument(ctx)
	}
	if err != nil && errors.Is(context.Cause(ctx), errSuperseded) {
		return 0, errSuperseded
	}
	if err != nil && !store.IsKind(err, store.KindTooLarge) {
		f.logFetchFailed(delivery{from: FromStore, took: f.cfg.Clock().Sub(sent)}, 0, err)
		f.mu.Lock()
		f.readFailedAt = sent
		f.mu.Unlock()
	}
	return rev, err
}

// pollStore asks the store for changes since the version in force was last confirmed, and
// returns the revision up to which it knows them: 0 if no such confirmation is known, or the
// store can't tell.
func (f *Follower) pollStore(ctx context.Context) (store.Revision, error) {
	f.mu.Lock()
	v, rev := f.Version(), f.confirmedRev
	f.mu.Unlock()
	p, ok := f.cfg.Store.(store.Poller)
	if rev == 0 || !ok {
		return 0, nil
	}
	asked := f.cfg.Clock()
	shown := false
	err := p.Poll(ctx, f.watchPrefix(), rev, func(ev store.Event) {
		shown = shown || ev.Entry.Key == f.cfg.Key
		if ev.Progress {
			rev = ev.Entry.StoreRevision
		}
		if ev.Progress && !shown {
			f.recordStoreVersion(v) // it is still the newest
		}
		f.applyEvent(&ev, asked)
	})
	return rev, err
}

// readDocument reads the key, and returns the revision from which to watch it.
func (f *Follower) readDocument(ctx context.Context) (store.Revision, error) {
	asked, inForce := f.cfg.Clock(), f.Version()
	sent := time.Now()
	e, err := f.cfg.Store.Get(ctx, f.cfg.Key)
	took := time.Since(sent)
	if err != nil {
		return 0, err
	}
	if f.evacuates() {
		// Before the catalogue, by which a starting VM may begin to serve.
		if err := f.readEvacuations(ctx, max(e.Revision, e.StoreRevision)); err != nil {
			return 0, err
		}
	}
	if e.Revision != 0 {
		f.applyEntry(e, took)
	} else {
		f.recordStoreVersion(0)
	}
	f.logOlder(inForce, e.Revision)
	rev := max(e.Revision, e.StoreRevision)
	f.confirmFromStore(asked, rev)
	return rev, nil
}

// errSuperseded is the cause of the end of a read when another VM has sent a newer version
// meanwhile.
var errSuperseded = errors.New("follow: another VM has sent a newer version")

// untilChanged returns a context that ends with errSuperseded when a version is put in force.
func (f *Follower) untilChanged(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	changed := f.Changed()
	go func() {
		select {
		case <-changed:
			cancel(errSuperseded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// applyEntry decodes and applies a catalogue from the store, which took a time to arrive.
func (f *Follower) applyEntry(e store.Entry, took time.Duration) {
	c, err := guard.Call(f.cfg.Log, "catalogue", "", func() (*catal.Catalogue, error) { return f.cfg.Decode(e.Value) })
	if err != nil {
		evlog.At(f.cfg.Log, evlog.CatalogueUnread).Int64("revision", int64(e.Revision)).Err(err).Send()
		return
	}
	f.recordStoreVersion(c.Version)
	f.apply(c, delivery{from: FromStore, bytes: len(e.Value), took: took})
}

// logOlder logs, once for each version, that a read showed an older version than the one
// that had been in force when it began. Operators write only higher versions, so the store
// has lost the newer one.
func (f *Follower) logOlder(inForce ident.Version, rev store.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.storeVersion; v < inForce && inForce != f.olderLogged {
		f.olderLogged = inForce
		evlog.At(f.cfg.Log, evlog.CatalogueOlder).Uint64("version", uint64(v)).Uint64("in_force", uint64(inForce)).Int64("revision", rev.Counter()).Send()
	}
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
