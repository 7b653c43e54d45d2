package limit

import (
	"context"
	"encoding/json"
	"errors"

	"chervilspan.example/pkg/quota"
	"chervilspan.example/pkg/store"
)

// claimSlice creates the key of a slice, or takes over the key of a former process
// with the same VM id.
func (l *Limiter) claimSlice(ctx context.Context, sl quota.Slice, lease store.LeaseID) error {
	value, err := json.Marshal(sliceRecord{l.cfg.Fleet.Self().VM, l.bootID})
	if err != nil {
		return err
	}
	w := store.Write{Key: sl.Key(), Value: value, Lease: lease}
	current, known, err := l.readForeign(ctx, sl)
	if err != nil {
		return err
	}
	if known && current.Revision != 0 {
		if l.recordForeign(sl, current) {
			return nil
		}
		w.Expected = current.Revision
	}
	res, err := store.Swap(ctx, l.cfg.Store, w)
	if err != nil {
		return l.recordFailedClaim(err, sl)
	}
	if res.Done {
		l.recordClaim(sl, res.Current.Revision)
		return nil
	}
	if l.recordForeign(sl, res.Current) || res.Current.Revision == 0 {
		return nil
	}
	// The key belongs to a former process with this VM id.
	w.Expected = res.Current.Revision
	res, err = store.Swap(ctx, l.cfg.Store, w)
	if err != nil {
		return l.recordFailedClaim(err, sl)
	}
	if res.Done {
		l.recordClaim(sl, res.Current.Revision)
	}
	return nil
}

// readForeign reads the key of a slice that another VM held when last read, since
// a read costs the store less than a write that fails. It returns false if no
// holder is recorded.
func (l *Limiter) readForeign(ctx context.Context, sl quota.Slice) (store.Entry, bool, error) {
	l.slices.mu.Lock()
	_, known := l.slices.foreign[sl]
	l.slices.mu.Unlock()
	if !known {
		return store.Entry{}, false, nil
	}
	e, err := store.Read(ctx, l.cfg.Store, sl.Key())
	return e, true, err
}

// recordForeign reports whether another VM holds the slice by its entry, and
// records the holder if so.
func (l *Limiter) recordForeign(sl quota.Slice, e store.Entry) bool {
	var o sliceRecord
	if err := json.Unmarshal(e.Value, &o); err != nil || o.VM == l.cfg.Fleet.Self().VM {
		return false
	}
	l.slices.mu.Lock()
	l.slices.foreign[sl] = foreignSlice{o.VM, l.now().Add(jitter(foreignRetryDelay))}
	l.slices.mu.Unlock()
	l.addHint(sl.Shard, o.VM)
	return true
}

// recordFailedClaim records that claims got no answer, or that the lease has ended, in
// which case nothing was written and the store has answered.
func (l *Limiter) recordFailedClaim(err error, sls ...quota.Slice) error {
	var e *store.Error
	if errors.As(err, &e) && e.Kind == store.KindLeaseEnded {
		l.recordLapse()
		return nil
	}
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	for _, sl := range sls {
		l.slices.set.RecordUnansweredClaim(sl)
	}
	return err
}

func (l *Limiter) recordClaim(sl quota.Slice, rev store.Revision) {
	s := &l.slices
	s.mu.Lock()
	s.set.RecordClaim(sl, l.now())
	s.mu.Unlock()
	l.activateSlice(sl, rev)
}

// activateSlice puts a slice whose key this VM has written into use.
func (l *Limiter) activateSlice(sl quota.Slice, rev store.Revision) {
	s := &l.slices
	s.mu.Lock()
	s.revisions[sl] = rev
	delete(s.foreign, sl)
	s.mu.Unlock()
	l.configureShard(sl.Shard)
	l.logClaim(sl)
}

// claimBatch is a set of slices to claim in one call.
type claimBatch struct {
	writes []store.Write
	slices []quota.Slice
	// inherited marks the slices that a former process of this VM held.
	inherited map[quota.Slice]bool
}

// claimSlices claims slices in one call, after listing their holders.
func (l *Limiter) claimSlices(ctx context.Context, b store.Batcher, sls []quota.Slice, lease store.LeaseID) error {
	entries, err := l.cfg.Store.List(ctx, quota.SlicePrefix)
	if err != nil {
		return err
	}
	batch, err := l.newClaimBatch(sls, entries, lease)
	if err != nil || len(batch.writes) == 0 {
		return err
	}
	done, rev, err := store.SwapAll(ctx, l.cfg.Store, b, batch.writes)
	if err != nil {
		return l.recordFailedClaim(err, batch.slices...)
	}
	for _, sl := range batch.slices {
		switch {
		case done && batch.inherited[sl]:
			l.recordInheritance(sl, rev)
		case done:
			l.recordClaim(sl, rev)
		}
	}
	return nil
}

// newClaimBatch returns the slices that no other VM holds, at most
// store.MaxBatchWrites, with the writes that claim them.
func (l *Limiter) newClaimBatch(sls []quota.Slice, entries []store.Entry, lease store.LeaseID) (claimBatch, error) {
	current := make(map[string]store.Entry, len(entries))
	for _, e := range entries {
		current[e.Key] = e
	}
	batch := claimBatch{inherited: map[quota.Slice]bool{}}
	value, err := json.Marshal(sliceRecord{l.cfg.Fleet.Self().VM, l.bootID})
	if err != nil {
		return batch, err
	}
	for _, sl := range sls {
		e := current[sl.Key()]
		if e.Revision != 0 {
			if e, err = store.DecodeEntry(e); err != nil {
				return batch, err
			}
			if l.recordForeign(sl, e) {
				continue
			}
			batch.inherited[sl] = l.isInherited(e)
		}
		if len(batch.writes) == store.MaxBatchWrites {
			break
		}
		batch.writes = append(batch.writes, store.Write{Key: sl.Key(), Value: value, Lease: lease, Expected: e.Revision})
		batch.slices = append(batch.slices, sl)
	}
	return batch, nil
}

// isInherited reports whether a former process of this VM wrote the entry.
func (l *Limiter) isInherited(e store.Entry) bool {
	var o sliceRecord
	err := json.Unmarshal(e.Value, &o)
	return err == nil && o.VM == l.cfg.Fleet.Self().VM && o.BootID != l.bootID
}

func (l *Limiter) recordInheritance(sl quota.Slice, rev store.Revision) {
	s := &l.slices
	s.mu.Lock()
	s.set.RecordInheritance(sl, l.now())
	s.mu.Unlock()
	l.activateSlice(sl, rev)
}
