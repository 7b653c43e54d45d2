package limit

import (
	"context"
	"time"

	"chervilspan.example/pkg/quota"
	"chervilspan.example/pkg/store"
)

// expectEndOfLease has the lease renewed next, which shows that it has ended.
func (l *Limiter) expectEndOfLease() {
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	l.slices.renewAt = time.Time{}
}

// obtainLease obtains a new lease, under which no slice is held yet.
func (l *Limiter) obtainLease(ctx context.Context) error {
	sent := l.now()
	id, err := l.cfg.Store.GrantLease(ctx, l.cfg.LeaseTTL)
	if err != nil {
		return err
	}
	s := &l.slices
	s.mu.Lock()
	s.lease, s.leaseEpoch, s.renewAt = id, store.EpochOf(l.cfg.Store), sent.Add(jitter(l.renewDelay()))
	s.revisions, s.foreign = map[quota.Slice]store.Revision{}, map[quota.Slice]foreignSlice{}
	s.mu.Unlock()
	l.recordRenewal(sent)
	l.logLease()
	return nil
}

// renewDelay returns the time from one renewal to the next, which allows several
// attempts within a short lease.
func (l *Limiter) renewDelay() time.Duration { return min(renewInterval, l.cfg.LeaseTTL/4) }

// recordRenewal extends the deadline of the lease, which counts from the time at
// which the request was sent.
func (l *Limiter) recordRenewal(sent time.Time) {
	l.slices.mu.Lock()
	defer l.slices.mu.Unlock()
	l.slices.set.RecordRenewal(sent, l.cfg.LeaseTTL)
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

// recordLapse gives up all slices and the lease, which has ended or is about to be
// revoked.
func (l *Limiter) recordLapse() {
	s := &l.slices
	s.mu.Lock()
	if store.EpochOf(l.cfg.Store) == s.leaseEpoch {
		s.set.RecordLapse()
	} else {
		s.set.RecordRestoration()
	}
	s.lease = 0
	l.leaseDeadline.Store(&time.Time{})
	s.mu.Unlock()
	l.configureAll()
	l.logLapse()
}

// RevokeLease stops minting and releases all slices in one call by revoking their
// lease. From then on tokens are only borrowed.
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
