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

// Periods and budgets of the store calls.
const (
	// renewPeriod is changed by up to a fifth, so that VMs spread out.
	renewInterval = time.Minute
	// fleetWrites is the number of writes a second of all VMs together, while
	// they all claim at once. The store sustains several hundred.
	maxFleetWriteRate = 250
	// drainPace is the time between writes of a VM that stops.
	drainInterval = 20 * time.Millisecond
	// retryTaken is when the key of another VM's slice is read again.
	foreignRetryDelay = 10 * time.Second
	storeRetryDelay   = 5 * time.Second
	storeTimeout      = 2 * time.Second
)

// owner is the value of a slice's key.
type owner struct {
	VM     ident.VM `json:"vm"`
	BootID string   `json:"boot"`
}

// taken is a slice that another VM holds.
type foreignSlice struct {
	vm      ident.VM
	retryAt time.Time
}

// shares is what this VM knows of its slices. Only keepShares writes to the
// store.
type sliceState struct {
	mu        sync.Mutex
	set       quota.Holdings
	lease     store.LeaseID
	renewAt   time.Time
	revisions map[quota.Slice]store.Revision
	foreign   map[quota.Slice]foreignSlice
	storeDown bool
	draining  bool
	// ended tells that the lease was given back for good.
	leaseRevoked bool
	idlePasses   int // completed passes without anything left to claim
}

// of returns the held slices of a shard.
func (s *sliceState) heldSlices(shard quota.Shard) []quota.Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.set.Held(), func(h quota.Held) bool { return h.Slice.Shard != shard })
}

// others returns the other VMs that are known to hold slices of a shard.
func (s *sliceState) otherHolders(shard quota.Shard) []ident.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ident.VM
	for sl, t := range s.foreign {
		if sl.Shard == shard && !slices.Contains(out, t.vm) {
			out = append(out, t.vm)
		}
	}
	return out
}

// keepShares makes one store call after the other, paced by the size of the
// fleet, until ctx ends.
func (l *Limiter) maintainSlices(ctx context.Context) {
	for l.view.Load().cat == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeSlices:
		}
	}
	// A fleet that starts at once spreads its first writes like the later ones.
	wait := time.Duration(2 * rand.Float64() * float64(l.writeInterval()))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		d, worked := l.makeStoreCall(ctx)
		if worked {
			wait = d
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wakeSlices:
			wait = l.writeInterval()
		case <-time.After(d):
			wait = 0
		}
	}
}

// pace is the time between two writes of this VM.
func (l *Limiter) writeInterval() time.Duration {
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	if l.slices.draining {
		return drainInterval
	}
	n := max(1, len(l.view.Load().live))
	return jitter(time.Second * time.Duration(n) / maxFleetWriteRate)
}

// shareStep makes the most urgent store call. It returns the time to wait, and
// whether a call was made.
func (l *Limiter) makeStoreCall(ctx context.Context) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s := &l.slices
	s.mu.Lock()
	lease, renew, ended := s.lease, s.renewAt, s.leaseRevoked
	s.mu.Unlock()
	now := l.now()
	if ended {
		return refreshInterval, false
	}
	b, batches := l.cfg.Store.(store.Batcher)
	if lease == 0 {
		d := l.recordStoreAnswer(l.obtainLease(ctx))
		if batches && !l.isStoreDown() {
			d = 0 // one more write claims all slices
		}
		return d, true
	}
	if !now.Before(renew) {
		return l.recordStoreAnswer(l.renewLease(ctx, lease)), true
	}
	claim, release := l.planChanges(now)
	switch {
	case len(release) > 0:
		return l.recordStoreAnswer(l.releaseSlice(ctx, release[0])), true
	case len(claim) > 0:
		if batches {
			d := l.recordStoreAnswer(l.claimSlices(ctx, b, claim, lease))
			l.planChanges(l.now()) // the VM is ready when nothing is left to claim
			return d, true
		}
		return l.recordStoreAnswer(l.claimSlice(ctx, claim[0], lease)), true
	}
	return min(renew.Sub(now), refreshInterval), false
}

// plan returns what to claim now and what to release.
func (l *Limiter) planChanges(now time.Time) (claim, release []quota.Slice) {
	s := &l.slices
	s.mu.Lock()
	defer s.mu.Unlock()
	v := l.view.Load()
	wanted := v.wanted
	if len(v.live) == 0 && !s.draining {
		return nil, nil // the list of VMs is not known yet
	}
	if s.draining {
		wanted = nil
	}
	claim, release = s.set.Plan(wanted)
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

// done notes whether the store answered, and returns the time to the next call.
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

func (l *Limiter) obtainLease(ctx context.Context) error {
	sent := l.now()
	id, err := l.cfg.Store.GrantLease(ctx, l.cfg.LeaseTTL)
	if err != nil {
		return err
	}
	s := &l.slices
	s.mu.Lock()
	s.lease, s.renewAt = id, sent.Add(jitter(l.renewDelay()))
	s.revisions, s.foreign = map[quota.Slice]store.Revision{}, map[quota.Slice]foreignSlice{}
	s.mu.Unlock()
	l.recordRenewal(sent)
	l.logLease()
	return nil
}

// renewAfter is short enough for several attempts within a short lease.
func (l *Limiter) renewDelay() time.Duration { return min(renewInterval, l.cfg.LeaseTTL/4) }

// renewed moves the deadline, which counts from the sending.
func (l *Limiter) recordRenewal(sent time.Time) {
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	l.slices.set.Renewed(sent, l.cfg.LeaseTTL)
	d := l.slices.set.Deadline()
	l.leaseDeadline.Store(&d)
}

func (l *Limiter) renewLease(ctx context.Context, id store.LeaseID) error {
	sent := l.now()
	ok, err := l.cfg.Store.RenewLease(ctx, id)
	if err != nil {
		return err
	}
	if !ok {
		l.recordLapse()
		return nil
	}
	l.recordRenewal(sent)
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	l.slices.renewAt = sent.Add(jitter(l.renewDelay()))
	return nil
}

// lapsed gives up all slices: the store has ended the lease.
func (l *Limiter) recordLapse() {
	s := &l.slices
	s.mu.Lock()
	s.set.Lapsed()
	s.lease = 0
	l.leaseDeadline.Store(&time.Time{})
	s.mu.Unlock()
	l.configureAll()
	l.logLapse()
}

// release stops the use of a slice first and deletes its key then. After a lost
// answer, or when a claim was in doubt, the key is read before.
func (l *Limiter) releaseSlice(ctx context.Context, sl quota.Slice) error {
	s := &l.slices
	s.mu.Lock()
	s.set.Stop(sl)
	rev := s.revisions[sl]
	delete(s.revisions, sl)
	s.mu.Unlock()
	l.configureShard(sl.Shard)
	if rev == 0 {
		e, err := store.Read(ctx, l.cfg.Store, sl.Key())
		if err != nil {
			return err
		}
		var o owner
		_ = json.Unmarshal(e.Value, &o)
		if e.Revision == 0 || o.BootID != l.bootID {
			l.recordRelease(sl)
			return nil
		}
		rev = e.Revision
	}
	if _, err := l.cfg.Store.Delete(ctx, sl.Key(), rev); err != nil {
		return err
	}
	l.recordRelease(sl)
	return nil
}

func (l *Limiter) recordRelease(sl quota.Slice) {
	l.slices.mu.Lock()
	l.slices.set.Released(sl)
	l.slices.mu.Unlock()
	l.logRelease(sl)
}

// Drain stops minting, gives the slices back and returns when the store has
// none of this VM, or with the error of ctx. Tokens are borrowed from then on.
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

// Yield stops minting and gives all slices back by ending their lease, in one
// call. Tokens are borrowed from then on.
func (l *Limiter) RevokeLease(ctx context.Context) error {
	s := &l.slices
	s.mu.Lock()
	lease := s.lease
	s.draining, s.leaseRevoked = true, true
	s.mu.Unlock()
	l.recordLapse()
	if lease == 0 {
		return nil
	}
	return l.cfg.Store.RevokeLease(ctx, lease)
}

// Ready reports whether this VM has claimed what it could and may use some of
// it, or the store does not answer: it may take callers then.
func (l *Limiter) Ready() bool {
	if l.view.Load().cat == nil {
		return false
	}
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	if l.cfg.StaticSplit || l.slices.storeDown {
		return true
	}
	return l.slices.idlePasses > 0 && l.slices.set.Usable(l.now())
}
