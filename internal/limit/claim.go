package limit

import (
	"context"
	"encoding/json"

	"chervilspan.example/pkg/quota"
	"chervilspan.example/pkg/store"
)

// claim creates the key of a slice, or takes over the key of a former process
// with the same VM id.
func (l *Limiter) claim(ctx context.Context, sl quota.Slice, lease store.LeaseID) error {
	value, err := json.Marshal(owner{l.cfg.Fleet.Self().VM, l.boot})
	if err != nil {
		return err
	}
	w := store.Write{Key: sl.Key(), Value: value, Lease: lease}
	current, known, err := l.lookTaken(ctx, sl)
	if err != nil {
		return err
	}
	if known && current.Revision != 0 {
		if l.isTaken(sl, current) {
			return nil
		}
		w.Expected = current.Revision
	}
	res, err := store.Swap(ctx, l.cfg.Store, w)
	if err != nil {
		l.doubt(sl)
		return err
	}
	if res.Done {
		l.claimed(sl, res.Current.Revision)
		return nil
	}
	if l.isTaken(sl, res.Current) || res.Current.Revision == 0 {
		return nil
	}
	// A former process of this VM id had it.
	w.Expected = res.Current.Revision
	res, err = store.Swap(ctx, l.cfg.Store, w)
	if err != nil {
		l.doubt(sl)
		return err
	}
	if res.Done {
		l.claimed(sl, res.Current.Revision)
	}
	return nil
}

// lookTaken reads the key of a slice that another VM had, since a read costs
// the store less than a write that fails.
func (l *Limiter) lookTaken(ctx context.Context, sl quota.Slice) (store.Entry, bool, error) {
	l.shares.mu.Lock()
	_, known := l.shares.taken[sl]
	l.shares.mu.Unlock()
	if !known {
		return store.Entry{}, false, nil
	}
	e, err := store.Read(ctx, l.cfg.Store, sl.Key())
	return e, true, err
}

// isTaken reports whether another VM holds the slice, and notes it.
func (l *Limiter) isTaken(sl quota.Slice, e store.Entry) bool {
	var o owner
	if err := json.Unmarshal(e.Value, &o); err != nil || o.VM == l.cfg.Fleet.Self().VM {
		return false
	}
	l.shares.mu.Lock()
	l.shares.taken[sl] = taken{o.VM, l.now().Add(jitter(retryTaken))}
	l.shares.mu.Unlock()
	l.hint(sl.Shard, o.VM)
	return true
}

func (l *Limiter) doubt(sl quota.Slice) {
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	l.shares.holdings.RecordUnansweredClaim(sl)
}

func (l *Limiter) claimed(sl quota.Slice, rev store.Revision) {
	s := &l.shares
	s.mu.Lock()
	s.holdings.RecordClaim(sl, l.now())
	s.mu.Unlock()
	l.took(sl, rev)
}

// took puts a slice to use whose key this VM has written.
func (l *Limiter) took(sl quota.Slice, rev store.Revision) {
	s := &l.shares
	s.mu.Lock()
	s.revisions[sl] = rev
	delete(s.taken, sl)
	s.mu.Unlock()
	l.configureShard(sl.Shard)
	l.logClaim(sl)
}

// batch is a set of slices to claim in one call.
type batch struct {
	writes []store.Write
	slices []quota.Slice
	// own has the slices that a former process of this VM had.
	own map[quota.Slice]bool
}

// claimAll claims slices in one call, after a look at who has them.
func (l *Limiter) claimAll(ctx context.Context, b store.Batcher, sls []quota.Slice, lease store.LeaseID) error {
	entries, err := l.cfg.Store.List(ctx, quota.SlicePrefix)
	if err != nil {
		return err
	}
	t, err := l.batch(sls, entries, lease)
	if err != nil || len(t.writes) == 0 {
		return err
	}
	done, rev, err := store.SwapAll(ctx, l.cfg.Store, b, t.writes)
	for _, sl := range t.slices {
		switch {
		case err != nil:
			l.doubt(sl)
		case done && t.own[sl]:
			l.inherited(sl, rev)
		case done:
			l.claimed(sl, rev)
		}
	}
	return err
}

// batch returns the slices that no other VM has, with the writes to claim them.
func (l *Limiter) batch(sls []quota.Slice, entries []store.Entry, lease store.LeaseID) (batch, error) {
	owners := make(map[string]store.Entry, len(entries))
	for _, e := range entries {
		owners[e.Key] = e
	}
	t := batch{own: map[quota.Slice]bool{}}
	value, err := json.Marshal(owner{l.cfg.Fleet.Self().VM, l.boot})
	if err != nil {
		return t, err
	}
	for _, sl := range sls {
		e := owners[sl.Key()]
		if e.Revision != 0 {
			if e, err = store.DecodeEntry(e); err != nil {
				return t, err
			}
			if l.isTaken(sl, e) {
				continue
			}
			t.own[sl] = l.former(e)
		}
		if len(t.writes) == store.MaxBatchWrites {
			break
		}
		t.writes = append(t.writes, store.Write{Key: sl.Key(), Value: value, Lease: lease, Expected: e.Revision})
		t.slices = append(t.slices, sl)
	}
	return t, nil
}

// former reports whether a former process of this VM wrote the entry.
func (l *Limiter) former(e store.Entry) bool {
	var o owner
	err := json.Unmarshal(e.Value, &o)
	return err == nil && o.VM == l.cfg.Fleet.Self().VM && o.Boot != l.boot
}

func (l *Limiter) inherited(sl quota.Slice, rev store.Revision) {
	s := &l.shares
	s.mu.Lock()
	s.holdings.RecordInheritance(sl, l.now())
	s.mu.Unlock()
	l.took(sl, rev)
}
