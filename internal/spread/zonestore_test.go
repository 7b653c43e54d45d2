package spread

import (
	"context"
	"strings"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// zoneStore is the store as reached from a zone. Methods that the tests don't need
// return errors.
type zoneStore struct {
	w    *world
	zone ident.Zone
}

func (s *zoneStore) call(ctx context.Context) error {
	s.w.mu.Lock()
	s.w.storeCalls++
	s.w.mu.Unlock()
	if s.w.isPartitioned(s.zone, "store") {
		<-ctx.Done()
		return &store.Error{Op: "call", Kind: store.KindUnavailable}
	}
	time.Sleep(2 * time.Millisecond)
	return nil
}

func (s *zoneStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.call(ctx); err != nil {
		return store.Entry{}, err
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if s.w.staleReads {
		return s.w.previous[key], nil
	}
	return s.w.entries[key], nil
}

func (s *zoneStore) Put(ctx context.Context, p store.Write) (store.Result, error) {
	if err := s.call(ctx); err != nil {
		return store.Result{}, err
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if s.w.dropWrites > 0 {
		s.w.dropWrites--
		return store.Result{}, &store.Error{Op: "put", Kind: store.KindUnavailable}
	}
	if s.w.entries[p.Key].Revision != p.Expected {
		return store.Result{Current: s.w.entries[p.Key]}, nil
	}
	s.w.revision++
	s.w.previous[p.Key] = s.w.entries[p.Key]
	s.w.entries[p.Key] = store.Entry{Key: p.Key, Value: p.Value, Revision: s.w.revision}
	for _, c := range s.w.watches {
		c <- s.w.entries[p.Key]
	}
	if s.w.loseAnswers > 0 {
		s.w.loseAnswers--
		return store.Result{}, &store.Error{Op: "put", Kind: store.KindUnavailable}
	}
	return store.Result{Done: true, Current: s.w.entries[p.Key]}, nil
}

func (s *zoneStore) Delete(ctx context.Context, key string, expected store.Revision) (store.Result, error) {
	if err := s.call(ctx); err != nil {
		return store.Result{}, err
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if s.w.entries[key].Revision != expected {
		return store.Result{Current: s.w.entries[key]}, nil
	}
	delete(s.w.entries, key)
	return store.Result{Done: true}, nil
}

func (s *zoneStore) Watch(ctx context.Context, prefix string, _ store.Revision, f func(store.Event)) error {
	c := make(chan store.Entry, 1000)
	s.w.mu.Lock()
	id := len(s.w.watches) + int(s.w.revision)*1000
	s.w.watches[id] = c
	s.w.mu.Unlock()
	defer func() {
		s.w.mu.Lock()
		delete(s.w.watches, id)
		s.w.mu.Unlock()
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c:
			if !s.w.isPartitioned(s.zone, "store") && strings.HasPrefix(e.Key, prefix) {
				f(store.Event{Entry: e})
			}
		}
	}
}

func (s *zoneStore) List(context.Context, string) ([]store.Entry, error) { return nil, errNoAnswer }

func (s *zoneStore) GrantLease(context.Context, time.Duration) (store.LeaseID, error) {
	return 0, errNoAnswer
}

func (s *zoneStore) RenewLease(context.Context, store.LeaseID) (bool, error) {
	return false, errNoAnswer
}

func (s *zoneStore) RevokeLease(context.Context, store.LeaseID) error { return errNoAnswer }

func (s *zoneStore) ListVMs(ctx context.Context) ([]store.VM, error) { return nil, s.call(ctx) }

var _ store.Store = (*zoneStore)(nil)
