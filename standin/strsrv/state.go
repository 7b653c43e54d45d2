package strsrv

import (
	"slices"
	"strings"
	"sync"
	"time"

	"chervilspan.example/internal/proto/storepb"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type watcher struct {
	prefix string
	events chan *storepb.WatchEvent
}

// state is the content of the store. The caller of its methods holds mu.
type state struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]*storepb.Entry
	// previous holds the entry that the last write of each key replaced, for
	// Faults.StaleReads.
	previous map[string]*storepb.Entry
	// history holds all events since the start.
	history     []*storepb.WatchEvent
	leases      map[int64]*lease
	lastLeaseID int64
	watchers    map[*watcher]struct{}
}

func (s *state) init() {
	s.entries = map[string]*storepb.Entry{}
	s.previous = map[string]*storepb.Entry{}
	s.leases = map[int64]*lease{}
	s.watchers = map[*watcher]struct{}{}
}

// expire ends the leases whose time is over and removes their keys.
func (s *state) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.revoke(id)
		}
	}
}

func (s *state) revoke(id int64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.LeaseId == id {
			s.remove(key)
		}
	}
}

func (s *state) put(req *storepb.PutRequest) *storepb.Entry {
	s.revision++
	e := &storepb.Entry{Key: req.Key, Value: req.Value, Revision: s.revision, LeaseId: req.LeaseId}
	if old := s.entries[req.Key]; old != nil {
		s.previous[req.Key] = old
	}
	s.entries[req.Key] = e
	s.publish(&storepb.WatchEvent{Entry: e})
	return e
}

func (s *state) remove(key string) {
	e := s.entries[key]
	if e == nil {
		return
	}
	delete(s.entries, key)
	s.revision++
	s.publish(&storepb.WatchEvent{Entry: &storepb.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *state) publish(ev *storepb.WatchEvent) {
	s.history = append(s.history, ev)
	for w := range s.watchers {
		if !strings.HasPrefix(ev.Entry.Key, w.prefix) {
			continue
		}
		select {
		case w.events <- ev:
		default:
			// A watcher whose buffer is full is disconnected; its client then
			// has to read all entries again.
			delete(s.watchers, w)
			close(w.events)
		}
	}
}

// watch registers a watcher, which receives the events from now on, and returns
// the past events after revision from.
func (s *state) watch(prefix string, from int64) (*watcher, []*storepb.WatchEvent) {
	w := &watcher{prefix: prefix, events: make(chan *storepb.WatchEvent, 1024)}
	s.watchers[w] = struct{}{}
	var missed []*storepb.WatchEvent
	for _, ev := range s.history {
		if ev.Entry.Revision > from && strings.HasPrefix(ev.Entry.Key, prefix) {
			missed = append(missed, ev)
		}
	}
	return w, missed
}

func (s *state) list(prefix string) []*storepb.Entry {
	var out []*storepb.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *storepb.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}
