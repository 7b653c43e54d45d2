package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key and its value in the store, or an event.
type item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
	Lease    int64
	// Removed means that the key was deleted; it is set only in events.
	Removed bool `json:",omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// metaStore is the platform's store.
type metaStore struct {
	mu       sync.Mutex
	items    map[string]*item
	events   []item
	revision int64
	leases   map[int64]*lease
	changed  chan struct{}
}

func newStore() *metaStore {
	return &metaStore{items: map[string]*item{}, leases: map[int64]*lease{}, revision: 10, changed: make(chan struct{})}
}

// set writes a key without a condition or lease, as operators and databases do.
func (s *metaStore) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
}

// remove deletes a key without a condition.
func (s *metaStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] == nil {
		return
	}
	s.revision++
	s.drop(key)
	s.notify()
}

func (s *metaStore) put(key string, value []byte, id int64) {
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: id}
	s.items[key] = &it
	s.events = append(s.events, it)
}

func (s *metaStore) drop(key string) {
	if s.items[key] != nil {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *metaStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over. The caller holds s.mu.
func (s *metaStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *metaStore) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *metaStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.expire()
	s.mu.Unlock()
	status, out := s.handle(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (s *metaStore) handle(r *http.Request, body []byte) (int, any) {
	q := r.URL.Query()
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	n, _ := strconv.ParseInt(id, 10, 64)
	switch path {
	case "kv-key":
		return s.get(q.Get("Key"))
	case "kv-range":
		return s.list(q.Get("Prefix"), q.Get("after"))
	case "kv-watch":
		return s.watch(r)
	case "kv-txn":
		return s.commit(body)
	case "kv-lease":
		return s.grant(body)
	case "kv-keep":
		return s.keep(n)
	case "kv-lease-end":
		return s.end(n)
	}
	return http.StatusNotFound, nil
}

func (s *metaStore) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.items[key]
	if it == nil {
		return http.StatusNotFound, struct{ StoreRevision int64 }{s.revision}
	}
	return http.StatusOK, struct {
		item
		StoreRevision int64
	}{*it, s.revision}
}

const pageSize = 500

func (s *metaStore) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageSize
	keys = keys[:min(len(keys), pageSize)]
	items := []item{}
	for _, k := range keys {
		items = append(items, *s.items[k])
	}
	return http.StatusOK, struct {
		Items         []item `json:"items"`
		HasMore       bool
		StoreRevision int64
	}{items, more, s.revision}
}

func (s *metaStore) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("Prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		out := struct {
			Events        []item `json:"events"`
			StoreRevision int64
		}{events, rev}
		if len(events) > 0 {
			return http.StatusOK, out
		}
		select {
		case <-changed:
		case <-end.C:
			return http.StatusOK, out
		case <-r.Context().Done():
			return http.StatusOK, out
		}
	}
}

type transaction struct {
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

func (s *metaStore) commit(body []byte) (int, any) {
	var c transaction
	if json.Unmarshal(body, &c) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	current := []item{}
	for _, e := range c.Expected {
		it := s.items[e.Key]
		if it == nil {
			it = &item{Key: e.Key}
		}
		ok = ok && it.Revision == e.Revision
		current = append(current, *it)
	}
	if !ok {
		return http.StatusPreconditionFailed, struct {
			Items []item `json:"items"`
		}{current}
	}
	for _, p := range c.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, p := range c.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range c.Deletes {
		s.drop(k)
	}
	s.notify()
	return http.StatusOK, struct{ Revision int64 }{s.revision}
}

// leaseBody is a lease on the wire. TTL is in milliseconds.
type leaseBody struct {
	Lease int64 `json:",omitempty"`
	TTL   int64 `json:"TtlMs"`
}

func (s *metaStore) grant(body []byte) (int, any) {
	var in leaseBody
	if json.Unmarshal(body, &in) != nil || in.TTL <= 0 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, leaseBody{s.revision, in.TTL}
}

func (s *metaStore) keep(id int64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.end = time.Now().Add(l.ttl)
	return http.StatusOK, leaseBody{TTL: l.ttl.Milliseconds()}
}

func (s *metaStore) end(id int64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, struct{}{}
}
