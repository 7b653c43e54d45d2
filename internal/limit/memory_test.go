package limit

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chervilspan.example/pkg/store"
)

// memory is a store in memory. It can be down, lose answers or duplicate writes.
type memory struct {
	store.Store
	mu             sync.Mutex
	entries        map[string]store.Entry
	leases         map[store.LeaseID]time.Time
	ttl            map[store.LeaseID]time.Duration
	revision       store.Revision
	lastLease      store.LeaseID
	down           bool
	loseAnswer     func(op string) bool
	duplicateWrite func() bool
	writes         []time.Time
}

func newMemoryStore() *memory {
	return &memory{
		entries: map[string]store.Entry{}, leases: map[store.LeaseID]time.Time{}, ttl: map[store.LeaseID]time.Duration{},
		loseAnswer: func(string) bool { return false }, duplicateWrite: func() bool { return false },
	}
}

func (m *memory) begin(op string, write bool) error {
	if m.down {
		return &store.Error{Op: op, Kind: store.KindUnavailable, Err: errNoAnswer}
	}
	if write {
		m.writes = append(m.writes, time.Now())
	}
	for id, end := range m.leases {
		if time.Now().Before(end) {
			continue
		}
		delete(m.leases, id)
		for k, e := range m.entries {
			if e.Lease == id {
				delete(m.entries, k)
			}
		}
	}
	return nil
}

func (m *memory) end(op string) error {
	if m.loseAnswer(op) {
		return &store.Error{Op: op, Kind: store.KindUnavailable, Err: errNoAnswer}
	}
	return nil
}

func (m *memory) Get(_ context.Context, key string) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("get", false); err != nil {
		return store.Entry{}, err
	}
	return m.entries[key], m.end("get")
}

func (m *memory) Put(_ context.Context, w store.Write) (store.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("put", true); err != nil {
		return store.Result{}, err
	}
	res := m.put(w)
	if m.duplicateWrite() {
		res = m.put(w)
	}
	return res, m.end("put")
}

func (m *memory) put(w store.Write) store.Result {
	if _, ok := m.leases[w.Lease]; !ok || m.entries[w.Key].Revision != w.Expected {
		return store.Result{Current: m.entries[w.Key]}
	}
	m.revision++
	m.entries[w.Key] = store.Entry{Key: w.Key, Value: w.Value, Revision: m.revision, Lease: w.Lease}
	return store.Result{Done: true, Current: m.entries[w.Key]}
}

func (m *memory) Delete(_ context.Context, key string, expected store.Revision) (store.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("delete", true); err != nil {
		return store.Result{}, err
	}
	if m.entries[key].Revision != expected {
		return store.Result{Current: m.entries[key]}, m.end("delete")
	}
	delete(m.entries, key)
	return store.Result{Done: true}, m.end("delete")
}

func (m *memory) GrantLease(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("grant", true); err != nil {
		return 0, err
	}
	m.lastLease++
	m.leases[m.lastLease], m.ttl[m.lastLease] = time.Now().Add(ttl), ttl
	return m.lastLease, m.end("grant")
}

func (m *memory) RenewLease(_ context.Context, id store.LeaseID) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("renew", true); err != nil {
		return false, err
	}
	_, ok := m.leases[id]
	if ok {
		m.leases[id] = time.Now().Add(m.ttl[id])
	}
	return ok, m.end("renew")
}

func (m *memory) withLock(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// keyCount returns the number of slices that have a key.
func (m *memory) keyCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

// storeAccess is a VM's connection to the store, which can be partitioned.
type storeAccess struct {
	*memory
	partitioned atomic.Bool
}

func (a *storeAccess) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if a.partitioned.Load() {
		return 0, &store.Error{Op: "grant", Kind: store.KindUnavailable, Err: errNoAnswer}
	}
	return a.memory.GrantLease(ctx, ttl)
}

func (a *storeAccess) RenewLease(ctx context.Context, id store.LeaseID) (bool, error) {
	if a.partitioned.Load() {
		return false, &store.Error{Op: "renew", Kind: store.KindUnavailable, Err: errNoAnswer}
	}
	return a.memory.RenewLease(ctx, id)
}

// batchAccess is a storeAccess that accepts several writes in one call.
type batchAccess struct{ *storeAccess }

// PutAll implements store.Batcher.
func (b batchAccess) PutAll(_ context.Context, ws []store.Write) (bool, store.Revision, error) {
	m := b.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("put", true); err != nil {
		return false, 0, err
	}
	for _, w := range ws {
		if m.entries[w.Key].Revision != w.Expected {
			return false, 0, m.end("put")
		}
	}
	for _, w := range ws {
		if !m.put(w).Done {
			return false, 0, m.end("put")
		}
	}
	return true, m.revision, m.end("put")
}

// List returns the entries under a prefix in no particular order.
func (m *memory) List(_ context.Context, prefix string) ([]store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("list", false); err != nil {
		return nil, err
	}
	var out []store.Entry
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	return out, m.end("list")
}
