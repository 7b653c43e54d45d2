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
	renewPeriod = time.Minute
	// fleetWrites is the number of writes a second of all VMs together, while
	// they all claim at once. The store sustains several hundred.
	fleetWrites = 250
	// drainPace is the time between writes of a VM that stops.
	drainPace = 20 * time.Millisecond
	// retryTaken is when the key of another VM's slice is read again.
	retryTaken   = 10 * time.Second
	retryStore   = 5 * time.Second
	storeTimeout = 2 * time.Second
)

// owner is the value of a slice's key.
type owner struct {
	VM   ident.VM `json:"vm"`
	Boot string   `json:"boot"`
}

// taken is a slice that another VM holds.
type taken struct {
	vm    ident.VM
	retry time.Time
}

// shares is what this VM knows of its slices. Only keepShares writes to the
// store.
type shares struct {
	mu        sync.Mutex
	holdings  quota.SliceSet
	lease     store.LeaseID
	renew     time.Time
	revisions map[quota.Slice]store.Revision
	taken     map[quota.Slice]taken
	down      bool
	draining  bool
	// ended tells that the lease was given back for good.
	ended  bool
	rounds int // completed passes without anything left to claim
}

// of returns the held slices of a shard.
func (s *shares) of(shard quota.Shard) []quota.HeldSlice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.holdings.Held(), func(h quota.HeldSlice) bool { return h.Slice.Shard != shard })
}

// others returns the other VMs that are known to hold slices of a shard.
func (s *shares) others(shard quota.Shard) []ident.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ident.VM
	for sl, t := range s.taken {
		if sl.Shard == shard && !slices.Contains(out, t.vm) {
			out = append(out, t.vm)
		}
	}
	return out
}

// keepShares makes one store call after the other, paced by the size of the
// fleet, until ctx ends.
func (l *Limiter) keepShares(ctx context.Context) {
	for l.view.Load().cat == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.kick:
		}
	}
	// A fleet that starts at once spreads its first writes like the later ones.
	wait := time.Duration(2 * rand.Float64() * float64(l.pace()))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		d, worked := l.shareStep(ctx)
		if worked {
			wait = d
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-l.kick:
			wait = l.pace()
		case <-time.After(d):
			wait = 0
		}
	}
}

// pace is the time between two writes of this VM.
func (l *Limiter) pace() time.Duration {
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	if l.shares.draining {
		return drainPace
	}
	n := max(1, len(l.view.Load().live))
	return jitter(time.Second * time.Duration(n) / fleetWrites)
}

// shareStep makes the most urgent store call. It returns the time to wait, and
// whether a call was made.
func (l *Limiter) shareStep(ctx context.Context) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s := &l.shares
	s.mu.Lock()
	lease, renew, ended := s.lease, s.renew, s.ended
	s.mu.Unlock()
	now := l.now()
	if ended {
		return refreshPeriod, false
	}
	b, batches := l.cfg.Store.(store.Batcher)
	if lease == 0 {
		d := l.done(l.grant(ctx))
		if batches && !l.storeDown() {
			d = 0 // one more write claims all slices
		}
		return d, true
	}
	if !now.Before(renew) {
		return l.done(l.renewLease(ctx, lease)), true
	}
	claim, release := l.plan(now)
	switch {
	case len(release) > 0:
		return l.done(l.release(ctx, release[0])), true
	case len(claim) > 0:
		if batches {
			d := l.done(l.claimAll(ctx, b, claim, lease))
			l.plan(l.now()) // the VM is ready when nothing is left to claim
			return d, true
		}
		return l.done(l.claim(ctx, claim[0], lease)), true
	}
	return min(renew.Sub(now), refreshPeriod), false
}

// plan returns what to claim now and what to release.
func (l *Limiter) plan(now time.Time) (claim, release []quota.Slice) {
	s := &l.shares
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
	claim, release = s.holdings.Diff(wanted)
	claim = slices.DeleteFunc(claim, func(sl quota.Slice) bool { return now.Before(s.taken[sl].retry) })
	if len(claim)+len(release) == 0 {
		s.rounds++
	}
	return claim, release
}

func (l *Limiter) storeDown() bool {
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	return l.shares.down
}

// done notes whether the store answered, and returns the time to the next call.
func (l *Limiter) done(err error) time.Duration {
	s := &l.shares
	s.mu.Lock()
	was := s.down
	s.down = err != nil
	s.mu.Unlock()
	if (err != nil) != was {
		l.logStore(err)
	}
	if err != nil {
		return jitter(retryStore)
	}
	return l.pace()
}

func (l *Limiter) grant(ctx context.Context) error {
	sent := l.now()
	id, err := l.cfg.Store.GrantLease(ctx, l.cfg.LeaseTTL)
	if err != nil {
		return err
	}
	s := &l.shares
	s.mu.Lock()
	s.lease, s.renew = id, sent.Add(jitter(l.renewAfter()))
	s.revisions, s.taken = map[quota.Slice]store.Revision{}, map[quota.Slice]taken{}
	s.mu.Unlock()
	l.renewed(sent)
	l.logLease()
	return nil
}

// renewAfter is short enough for several attempts within a short lease.
func (l *Limiter) renewAfter() time.Duration { return min(renewPeriod, l.cfg.LeaseTTL/4) }

// renewed moves the deadline, which counts from the sending.
func (l *Limiter) renewed(sent time.Time) {
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	l.shares.holdings.RecordRenewal(sent, l.cfg.LeaseTTL)
	d := l.shares.holdings.Deadline()
	l.lease.Store(&d)
}

func (l *Limiter) renewLease(ctx context.Context, id store.LeaseID) error {
	sent := l.now()
	ok, err := l.cfg.Store.RenewLease(ctx, id)
	if err != nil {
		return err
	}
	if !ok {
		l.lapsed()
		return nil
	}
	l.renewed(sent)
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	l.shares.renew = sent.Add(jitter(l.renewAfter()))
	return nil
}

// lapsed gives up all slices: the store has ended the lease.
func (l *Limiter) lapsed() {
	s := &l.shares
	s.mu.Lock()
	s.holdings.RecordLapse()
	s.lease = 0
	l.lease.Store(&time.Time{})
	s.mu.Unlock()
	l.configureAll()
	l.logLapse()
}

// release stops the use of a slice first and deletes its key then. After a lost
// answer, or when a claim was in doubt, the key is read before.
func (l *Limiter) release(ctx context.Context, sl quota.Slice) error {
	s := &l.shares
	s.mu.Lock()
	s.holdings.BeginRelease(sl)
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
		if e.Revision == 0 || o.Boot != l.boot {
			l.released(sl)
			return nil
		}
		rev = e.Revision
	}
	if _, err := l.cfg.Store.Delete(ctx, sl.Key(), rev); err != nil {
		return err
	}
	l.released(sl)
	return nil
}

func (l *Limiter) released(sl quota.Slice) {
	l.shares.mu.Lock()
	l.shares.holdings.RecordRelease(sl)
	l.shares.mu.Unlock()
	l.logRelease(sl)
}

// Drain stops minting, gives the slices back and returns when the store has
// none of this VM, or with the error of ctx. Tokens are borrowed from then on.
func (l *Limiter) Drain(ctx context.Context) error {
	s := &l.shares
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	t := time.NewTicker(drainPace)
	defer t.Stop()
	for {
		signal(l.kick)
		if _, release := l.plan(l.now()); len(release) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Op: "drain", Kind: KindCancelled, Err: ctx.Err()}
		case <-t.C:
		}
	}
}

// RevokeLease stops minting and gives all slices back by ending their lease, in one
// call. Tokens are borrowed from then on.
func (l *Limiter) RevokeLease(ctx context.Context) error {
	s := &l.shares
	s.mu.Lock()
	lease := s.lease
	s.draining, s.ended = true, true
	s.mu.Unlock()
	l.lapsed()
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
	l.shares.mu.Lock()
	defer l.shares.mu.Unlock()
	if l.cfg.StaticSplit || l.shares.down {
		return true
	}
	return l.shares.rounds > 0 && l.shares.holdings.ReadyOrEmpty(l.now())
}
