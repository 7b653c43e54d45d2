package linktest

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilspan.example/internal/lead"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// Store is an in-memory store. The zero Store is empty; its methods may be called
// from several goroutines.
type Store struct {
	// EpochTracker has the epoch that calls have shown.
	store.EpochTracker

	mu      sync.Mutex
	epoch   store.Epoch
	counter int64
	entries map[string]store.Entry
	// removed has the revisions at which keys were deleted.
	removed map[string]store.Revision
	leases  map[store.LeaseID]time.Time
	ttls    map[store.LeaseID]time.Duration
	// granted is the epoch of each lease, lastLease the id of the last one.
	granted   map[store.LeaseID]store.Epoch
	lastLease store.LeaseID
	down      bool
	changed   chan struct{}
	calls     int
}

// watchPollTimeout is how long a watch waits before it reports progress, or that the
// store is down.
const watchPollTimeout = time.Second

var errDown = errors.New("linktest: the store is down")

// SetDown sets whether every call fails.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// CallCount returns the number of calls so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// lock locks s.mu, counts the call and ends expired leases. The caller unlocks s.mu,
// also after an error.
func (s *Store) lock(op, key string) error {
	s.mu.Lock()
	s.calls++
	if s.entries == nil {
		s.entries, s.leases, s.ttls = map[string]store.Entry{}, map[store.LeaseID]time.Time{}, map[store.LeaseID]time.Duration{}
		s.granted, s.epoch = map[store.LeaseID]store.Epoch{}, 1
	}
	for id, end := range s.leases {
		if time.Now().After(end) {
			s.endLease(id)
		}
	}
	if s.down {
		return &store.Error{Op: op, Key: key, Kind: store.KindUnavailable, Err: errDown}
	}
	s.Observe(s.epoch, s.rev())
	return nil
}

// rev returns the revision of the store.
func (s *Store) rev() store.Revision { return store.NewRevision(s.epoch, s.counter) }

// StoreCopy is a copy of a Store's contents.
type StoreCopy struct {
	entries map[string]store.Entry
	leases  map[store.LeaseID]time.Time
	counter int64
}

// Copy returns a copy of the present contents.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{maps.Clone(s.entries), maps.Clone(s.leases), s.counter}
}

// Restore replaces the contents by those of a copy, in a new epoch. The next call shows
// it. No watch goes on.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.entries, s.leases, s.counter = map[string]store.Entry{}, map[store.LeaseID]time.Time{}, c.counter
	maps.Copy(s.leases, c.leases)
	for k, e := range c.entries {
		e.Revision = store.NewRevision(s.epoch, e.Revision.Counter())
		s.entries[k] = e
	}
	s.wakeWatches()
}

// endLease removes a lease and its keys.
func (s *Store) endLease(id store.LeaseID) {
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.Lease == id {
			delete(s.entries, k)
		}
	}
	s.nextRevision()
}

// nextRevision increases the revision and wakes the watches.
func (s *Store) nextRevision() {
	s.counter++
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	err := s.lock("get", key)
	defer s.mu.Unlock()
	e := s.entries[key]
	e.Key, e.StoreRevision = key, s.rev()
	return e, err
}

// List implements store.Store.
func (s *Store) List(_ context.Context, prefix string) ([]store.Entry, error) {
	err := s.lock("list", prefix)
	defer s.mu.Unlock()
	var out []store.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	return out, err
}

// Put implements store.Store.
func (s *Store) Put(_ context.Context, w store.Write) (store.Result, error) {
	err := s.lock("put", w.Key)
	defer s.mu.Unlock()
	if err != nil {
		return store.Result{}, err
	}
	if current := s.entries[w.Key]; current.Revision != w.Expected {
		return store.Result{Current: current}, nil
	}
	if !s.leaseHolds(w.Lease) {
		return store.Result{}, &store.Error{Op: "put", Key: w.Key, Kind: store.KindLeaseEnded}
	}
	s.nextRevision()
	return store.Result{Done: true, Current: s.put(w)}, nil
}

// leaseHolds reports whether a lease, if any, was granted in this epoch and has not
// ended.
func (s *Store) leaseHolds(id store.LeaseID) bool {
	_, ok := s.leases[id]
	return id == 0 || ok && s.granted[id] == s.epoch
}

func (s *Store) put(w store.Write) store.Entry {
	e := store.Entry{Key: w.Key, Value: w.Value, Revision: s.rev(), Lease: w.Lease}
	s.entries[w.Key] = e
	return e
}

// PutAll implements store.Batcher.
func (s *Store) PutAll(_ context.Context, ws []store.Write) (bool, store.Revision, error) {
	err := s.lock("put", ws[0].Key)
	defer s.mu.Unlock()
	if err != nil {
		return false, 0, err
	}
	for _, w := range ws {
		if s.entries[w.Key].Revision != w.Expected {
			return false, 0, nil
		}
		if !s.leaseHolds(w.Lease) {
			return false, 0, &store.Error{Op: "put", Key: w.Key, Kind: store.KindLeaseEnded}
		}
	}
	s.nextRevision()
	for _, w := range ws {
		s.put(w)
	}
	return true, s.rev(), nil
}

// Delete implements store.Store.
func (s *Store) Delete(_ context.Context, key string, expected store.Revision) (store.Result, error) {
	err := s.lock("delete", key)
	defer s.mu.Unlock()
	if err != nil || s.entries[key].Revision != expected {
		return store.Result{Current: s.entries[key]}, err
	}
	delete(s.entries, key)
	s.nextRevision()
	if s.removed == nil {
		s.removed = map[string]store.Revision{}
	}
	s.removed[key] = s.rev()
	return store.Result{Done: true}, nil
}

// Watch implements store.Store. It reports only keys that exist and changed after
// from, no deletions.
func (s *Store) Watch(ctx context.Context, prefix string, from store.Revision, f func(store.Event)) error {
	for {
		if err := s.lock("watch", prefix); err != nil {
			s.mu.Unlock()
			return err
		}
		if from != 0 && from.Epoch() != s.epoch {
			s.mu.Unlock()
			return &store.Error{Op: "watch", Key: prefix, Kind: store.KindCompacted}
		}
		var found []store.Event
		for k, e := range s.entries {
			if strings.HasPrefix(k, prefix) && e.Revision > from {
				found = append(found, store.Event{Entry: e})
			}
		}
		for k, rev := range s.removed {
			if strings.HasPrefix(k, prefix) && rev > from && s.entries[k].Revision == 0 {
				found = append(found, store.Event{Entry: store.Entry{Key: k, Revision: rev}, Deleted: true})
			}
		}
		slices.SortFunc(found, func(a, b store.Event) int { return cmp.Compare(a.Entry.Revision, b.Entry.Revision) })
		from = s.rev()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		for _, e := range found {
			f(e)
		}
		f(store.Event{Progress: true})
		t := time.NewTimer(watchPollTimeout)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
		t.Stop()
	}
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	err := s.lock("grant", "")
	defer s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	s.nextRevision()
	s.lastLease++
	id := s.lastLease
	s.leases[id], s.ttls[id], s.granted[id] = time.Now().Add(ttl), ttl, s.epoch
	return id, nil
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(_ context.Context, id store.LeaseID) (bool, error) {
	err := s.lock("renew", "")
	defer s.mu.Unlock()
	if err != nil || !s.leaseHolds(id) {
		return false, err
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	return true, nil
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(_ context.Context, id store.LeaseID) error {
	err := s.lock("revoke", "")
	defer s.mu.Unlock()
	if err == nil && s.leaseHolds(id) {
		s.endLease(id)
	}
	return err
}

// ListVMs implements store.Store.
func (*Store) ListVMs(context.Context) ([]store.VM, error) { return nil, nil }

// Promoter is a fake of the platform: it promotes databases of a cluster, and
// refuses tokens lower than that of the call before.
type Promoter struct {
	Cluster *Cluster
	// LostCalls is the number of next calls that are not carried out and get no
	// answer.
	LostCalls int
	// LateBy, unless 0, makes calls get no answer and be carried out so much later.
	LateBy time.Duration
	// Delay is the time from the acceptance of a call to its effect.
	Delay time.Duration
	// Refuse makes every call be refused.
	Refuse bool
	// Ignore makes calls be accepted but not carried out.
	Ignore bool

	mu     sync.Mutex
	tokens []store.Revision
	// highest is the highest token of a call that was carried out.
	highest store.Revision
}

// Promote implements lead.Promoter.
func (p *Promoter) Promote(_ context.Context, _ ident.Group, id ident.Target, token store.Revision) (lead.PromotionResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = append(p.tokens, token)
	switch {
	case p.LostCalls > 0:
		p.LostCalls--
		return 0, errDown
	case p.LateBy > 0:
		time.AfterFunc(p.LateBy, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.carryOut(id, token)
		})
		return 0, errDown
	}
	return p.carryOut(id, token), nil
}

// carryOut carries a call out unless one with a higher token was. The caller holds p.mu.
func (p *Promoter) carryOut(id ident.Target, token store.Revision) lead.PromotionResult {
	switch {
	case token < p.highest || p.Refuse || !p.Cluster.isUp(id):
		return lead.Refused
	case p.Ignore:
		return lead.Promoted
	}
	p.highest = token
	if p.Cluster.isPrimary(id) {
		return lead.Promoted
	}
	if p.Delay == 0 {
		p.Cluster.Promote(id)
		return lead.Promoted
	}
	time.AfterFunc(p.Delay, func() {
		if p.Cluster.isUp(id) {
			p.Cluster.Promote(id)
		}
	})
	return lead.Promoted
}

// SetLateBy changes LateBy while calls may be made.
func (p *Promoter) SetLateBy(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.LateBy = d
}

// Tokens returns the tokens of the calls so far.
func (p *Promoter) Tokens() []store.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]store.Revision(nil), p.tokens...)
}
