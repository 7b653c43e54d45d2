package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store as it is sent.
type storeItem struct {
	Key      string `json:"Key"`
	Value    []byte `json:"Value,omitempty"`
	Revision int64  `json:"Revision"`
	Created  int64  `json:"Created,omitempty"`
	Lease    int64  `json:"Lease"`
	Removed  bool   `json:"Removed,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]storeItem
	history   []storeItem
	leases    map[int64]*storeLease
	lastLease int64
	changed   chan struct{}
	server    http.Server
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]storeItem{}, leases: map[int64]*storeLease{}, lastLease: 7000, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})
	return s
}

// serve answers calls, and ends leases that were not renewed.
func (s *store) serve(l net.Listener) {
	go func() { _ = s.server.Serve(l) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
}

// put writes an item on behalf of the operator or a database.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, raw, 0)
	s.notify()
}

// set changes an item at the present revision. The caller holds s.mu.
func (s *store) set(key string, value []byte, lease int64) {
	it := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

// remove deletes an item at the present revision. The caller holds s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Removed: true})
	}
}

// notify wakes the watches. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLease removes a lease with its items. The caller holds s.mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"StoreRevision": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		StoreRevision int64 `json:"StoreRevision"`
	}{it, s.revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("after") {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": out, "HasMore": false, "StoreRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("Prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end.C:
				expired = true
			}
		}
		if expired || len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Deletes []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, met := []storeItem{}, true
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		met = met && it.Revision == e.Revision
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"TtlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTL <= 0 {
		reply(w, http.StatusBadRequest, map[string]string{"error": "no TtlMs"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.lastLease] = &storeLease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"Lease": s.lastLease, "TtlMs": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
