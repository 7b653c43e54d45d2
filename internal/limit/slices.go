package limit

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
	"chervilspan.example/pkg/store"
)

// Intervals and rates of the store calls.
const (
	// renewInterval is changed at random by up to a fifth, which spreads out the
	// renewals of the VMs.
	renewInterval = time.Minute
	// maxFleetWriteRate is the number of writes per second by all VMs together
	// while all of them claim slices. The store sustains several hundred.
	maxFleetWriteRate = 250
	// drainInterval is the time between two writes of a VM that stops.
	drainInterval = 20 * time.Millisecond
	// foreignRetryDelay is the time until the key of a slice that another VM holds
	// is read again.
	foreignRetryDelay = 10 * time.Second
	// unsettledRetryDelay is the time until a slice is looked at again that may not be
	// claimed yet after a restoration of the store.
	unsettledRetryDelay = 5 * time.Second
	// membershipTimeout is how long a VM waits for the list of VMs before it obtains a
	// lease without knowing whether it is to hold slices, which also shows whether the
	// store answers.
	membershipTimeout = 1500 * time.Millisecond
	storeRetryDelay   = 5 * time.Second
	storeTimeout      = 2 * time.Second
)

// sliceRecord is the JSON value of the key of a slice; it names the holder.
type sliceRecord struct {
	VM     ident.VM `json:"vm"`
	BootID string   `json:"boot"`
	// Epoch is the store's epoch in which the record was written. One of a former
	// epoch shows who held the slice when the copy was made.
	Epoch store.Epoch `json:"epoch,omitempty"`
}

// foreignSlice records that another VM holds a slice, or may hold one whose key the store
// has lost, and when to read its key again.
type foreignSlice struct {
	// holder is "" if it is not known.
	holder  ident.VM
	retryAt time.Time
}

// sliceState is the state of this VM's lease and slices. Apart from
// Limiter.RevokeLease, only maintainSlices writes to the store.
type sliceState struct {
	mu    sync.Mutex
	set   quota.SliceSet
	lease store.LeaseID
	// leaseEpoch is the epoch in which the lease was granted.
	leaseEpoch store.Epoch
	renewAt    time.Time
	revisions  map[quota.Slice]store.Revision
	foreign    map[quota.Slice]foreignSlice
	storeDown  bool
	draining   bool
	// leaseRevoked is set when the lease has been given up for good.
	leaseRevoked bool
	idlePasses   int // completed passes with no slice to claim or release
	// startedAt is when the first call could have been made, by Config.Clock.
	startedAt time.Time
}

// heldSlices returns the slices of a shard that this VM holds.
func (s *sliceState) heldSlices(shard quota.Shard) []quota.HeldSlice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.set.Held(), func(h quota.HeldSlice) bool { return h.Slice.Shard != shard })
}

// otherHolders returns the other VMs known to hold slices of a shard.
func (s *sliceState) otherHolders(shard quota.Shard) []ident.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ident.VM
	for sl, t := range s.foreign {
		if t.holder != "" && sl.Shard == shard && !slices.Contains(out, t.holder) {
			out = append(out, t.holder)
		}
	}
	return out
}

// maintainSlices renews the lease and claims and releases slices until ctx ends.
// It makes one store call at a time, at an interval that grows with the fleet.
func (l *Limiter) maintainSlices(ctx context.Context) {
	for l.view.Load().cat == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeSlices:
		}
	}
	l.slices.mu.Lock()
	l.slices.startedAt = l.now()
	l.slices.mu.Unlock()
	// When all VMs start at once, their first writes are spread like later ones.
	wait := time.Duration(2 * rand.Float64() * float64(l.writeInterval()))
	// A signal that comes during a call is seen after it.
	restored := store.RestoredSignal(l.cfg.Store)
	for {
		select {
		case <-ctx.Done():
			return
		case <-restored:
			restored = store.RestoredSignal(l.cfg.Store)
			l.expectEndOfLease()
		case <-time.After(wait):
		}
		d, called := l.makeStoreCall(ctx)
		if called {
			wait = d
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-restored:
			restored = store.RestoredSignal(l.cfg.Store)
			l.expectEndOfLease()
			wait = l.writeInterval()
		case <-l.wakeSlices:
			wait = l.writeInterval()
		case <-time.After(d):
			wait = 0
		}
	}
}

// writeInterval returns the time between two writes of this VM. Only VMs that hold
// slices write.
func (l *Limiter) writeInterval() time.Duration {
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	if l.slices.draining {
		return drainInterval
	}
	v := l.view.Load()
	n := max(1, min(len(v.live), int(v.shardCount)*v.sliceCount))
	return jitter(time.Second * time.Duration(n) / maxFleetWriteRate)
}

// makeStoreCall makes the most urgent store call. It returns the time to wait
// before the next one, and whether a call was made.
func (l *Limiter) makeStoreCall(ctx context.Context) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s := &l.slices
	s.mu.Lock()
	lease, renewAt, revoked := s.lease, s.renewAt, s.leaseRevoked
	s.mu.Unlock()
	now := l.now()
	if revoked {
		return refreshInterval, false
	}
	b, canBatch := l.cfg.Store.(store.Batcher)
	if lease == 0 {
		if d, ok := l.awaitNeed(now); ok {
			return d, false
		}
		d := l.recordStoreAnswer(l.obtainLease(ctx))
		if canBatch && !l.isStoreDown() {
			d = 0 // one further write claims all slices
		}
		return d, true
	}
	if !now.Before(renewAt) {
		return l.recordStoreAnswer(l.renewLease(ctx, lease)), true
	}
	claim, release := l.planChanges(now)
	switch {
	case len(release) > 0:
		return l.recordStoreAnswer(l.releaseSlice(ctx, release[0])), true
	case len(claim) > 0:
		if canBatch {
			d := l.recordStoreAnswer(l.claimSlices(ctx, b, claim, lease))
			l.planChanges(l.now()) // the VM is ready when nothing is left to claim
			return d, true
		}
		return l.recordStoreAnswer(l.claimSlice(ctx, claim[0], lease)), true
	}
	return min(renewAt.Sub(now), refreshInterval), false
}

// awaitNeed reports whether a VM without a lease needs none now: it is to hold no
// slice, or does not know that yet. d is the time after which to look again.
func (l *Limiter) awaitNeed(now time.Time) (d time.Duration, ok bool) {
	l.slices.mu.Lock()
	waited := now.Sub(l.slices.startedAt)
	l.slices.mu.Unlock()
	if len(l.view.Load().live) == 0 {
		return membershipTimeout - waited, waited < membershipTimeout
	}
	claim, _ := l.planChanges(now)
	return refreshInterval, len(claim) == 0
}

// planChanges returns the slices to claim now and those to release, and counts the
// passes in which there are none.
func (l *Limiter) planChanges(now time.Time) (claim, release []quota.Slice) {
	s := &l.slices
	s.mu.Lock()
	defer s.mu.Unlock()
	v := l.view.Load()
	wanted := v.wanted
	if len(v.live) == 0 && !s.draining {
		return nil, nil // the membership is not known yet
	}
	if s.draining {
		wanted = nil
	}
	claim, release = s.set.Diff(wanted)
	claim = slices.DeleteFunc(claim, func(sl quota.Slice) bool { return now.Before(s.foreign[sl].retryAt) })
	if len(claim)+len(release) == 0 {
		s.idlePasses++
	}
	return claim, release
}

func (l *Limiter) isStoreDown() bool {
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	return l.slices.storeDown
}

// recordStoreAnswer records whether the store answered, and returns the time until
// the next call.
func (l *Limiter) recordStoreAnswer(err error) time.Duration {
	s := &l.slices
	s.mu.Lock()
	wasDown := s.storeDown
	s.storeDown = err != nil
	s.mu.Unlock()
	if (err != nil) != wasDown {
		l.logStore(err)
	}
	if err != nil {
		return jitter(storeRetryDelay)
	}
	return l.writeInterval()
}

// releaseSlice stops the use of a slice and then deletes its key. If the revision
// of the key is unknown, because an answer was lost or a claim went unanswered, it
// reads the key first.
func (l *Limiter) releaseSlice(ctx context.Context, sl quota.Slice) error {
	s := &l.slices
	s.mu.Lock()
	s.set.BeginRelease(sl)
	rev := s.revisions[sl]
	delete(s.revisions, sl)
	s.mu.Unlock()
	l.configureShard(sl.Shard)
	if rev == 0 {
		e, err := store.Read(ctx, l.cfg.Store, sl.Key())
		if err != nil {
			return err
		}
		var o sliceRecord
		_ = json.Unmarshal(e.Value, &o)
		if e.Revision == 0 || o.BootID != l.bootID {
			l.recordRelease(sl)
			return nil
		}
		rev = e.Revision
	}
	res, err := l.cfg.Store.Delete(ctx, sl.Key(), rev)
	if err != nil {
		return err
	}
	if res.Done || res.Current.Revision == 0 {
		l.recordRelease(sl)
	}
	// Otherwise the key has another revision. The next call reads whose it is.
	return nil
}

func (l *Limiter) recordRelease(sl quota.Slice) {
	l.slices.mu.Lock()
	l.slices.set.RecordRelease(sl)
	l.slices.mu.Unlock()
	l.logRelease(sl)
}

// Drain stops minting and returns when this VM's slices are released in the store
// or ctx ends, which it reports as an *Error of kind KindCancelled. From then on
// tokens are only borrowed.
func (l *Limiter) Drain(ctx context.Context) error {
	s := &l.slices
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for {
		signal(l.wakeSlices)
		if _, release := l.planChanges(l.now()); len(release) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "drain", Kind: KindCancelled, Err: ctx.Err()}
		case <-t.C:
		}
	}
}

// Ready reports whether this VM may accept callers: it has claimed the slices that
// it could and may use at least one of them if it holds any, or the store does not
// answer. With Config.StaticSplit, it needs only a catalogue.
func (l *Limiter) Ready() bool {
	if l.view.Load().cat == nil {
		return false
	}
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	if l.cfg.StaticSplit || l.slices.storeDown {
		return true
	}
	return l.slices.idlePasses > 0 && l.slices.set.ReadyOrEmpty(l.now())
}
