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
	value, err := json.Marshal(sliceRecord{VM: l.cfg.Fleet.Self().VM, BootID: l.bootID})
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
	if store.IsKind(err, store.KindLeaseEnded) {
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
	epoch, settled, err := l.settled(ctx)
	if err != nil {
		return err
	}
	batch, err := l.newClaimBatch(sls, claimRules{entries, lease, epoch, settled})
	if err != nil || len(batch.writes) == 0 {
		return err
	}
	done, rev, err := store.SwapAll(ctx, l.cfg.Store, b, batch.writes)
	if err == nil && done && rev.Epoch() != epoch {
		err = &store.Error{Op: "claim", Kind: store.KindUnavailable, Err: errRestored}
	}
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

// errRestored is the cause of an error when the store was restored during a call.
var errRestored = errors.New("the store was restored meanwhile")

// settled reports whether any slice without a holder may be claimed, in the epoch that
// it returns.
func (l *Limiter) settled(ctx context.Context) (store.Epoch, bool, error) {
	if l.cfg.Epochs == nil {
		return store.FirstEpoch, true, nil
	}
	return l.cfg.Epochs.Settled(ctx, l.cfg.LeaseTTL)
}

// claimRules are what decides which slices to claim, and how.
type claimRules struct {
	// entries are the keys of all slices.
	entries []store.Entry
	lease   store.LeaseID
	epoch   store.Epoch
	settled bool
}

// newClaimBatch returns the slices that may be claimed, at most store.MaxBatchWrites,
// with the writes that claim them.
func (l *Limiter) newClaimBatch(sls []quota.Slice, r claimRules) (claimBatch, error) {
	current := make(map[string]store.Entry, len(r.entries))
	for _, e := range r.entries {
		current[e.Key] = e
	}
	batch := claimBatch{inherited: map[quota.Slice]bool{}}
	value, err := json.Marshal(sliceRecord{l.cfg.Fleet.Self().VM, l.bootID, r.epoch})
	if err != nil {
		return batch, err
	}
	for _, sl := range sls {
		e := current[sl.Key()]
		if e.Revision != 0 {
			if e, err = store.DecodeEntry(e); err != nil {
				return batch, err
			}
		}
		inherited := l.isInherited(e)
		if !l.mayClaim(sl, e, inherited, &r) {
			continue
		}
		batch.inherited[sl] = inherited
		if len(batch.writes) == store.MaxBatchWrites {
			break
		}
		batch.writes = append(batch.writes, store.Write{Key: sl.Key(), Value: value, Lease: r.lease, Expected: e.Revision})
		batch.slices = append(batch.slices, sl)
	}
	return batch, nil
}

// mayClaim reports whether a slice with an entry, whose Revision is 0 if there is none,
// may be claimed; inherited means that a former process of this VM wrote it. In an epoch that is not settled, the entries are those of the copy
// until their holders write them again, and the store may have lost some. A VM may then
// write its own slices again, and those of its former process.
func (l *Limiter) mayClaim(sl quota.Slice, e store.Entry, inherited bool, r *claimRules) bool {
	l.slices.mu.Lock()
	kept := l.slices.set.Kept(sl, l.now())
	l.slices.mu.Unlock()
	if kept && !r.settled && recordEpoch(e) < r.epoch {
		return true
	}
	if l.recordForeign(sl, e) {
		return false
	}
	if !r.settled && !inherited {
		l.recordUnsettled(sl)
		return false
	}
	return true
}

// recordEpoch returns the epoch in which the entry of a slice was written, 0 if it has
// none.
func recordEpoch(e store.Entry) store.Epoch {
	var o sliceRecord
	if err := json.Unmarshal(e.Value, &o); err != nil {
		return 0
	}
	return o.Epoch
}

// recordUnsettled records that a slice may be held by a VM whose key the store has lost.
func (l *Limiter) recordUnsettled(sl quota.Slice) {
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	l.slices.foreign[sl] = foreignSlice{retryAt: l.now().Add(jitter(unsettledRetryDelay))}
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
