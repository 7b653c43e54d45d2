package unauth

import (
	"container/list"
	"sync"
	"time"
)

// maxChecked is the maximum number of connections that are checked for unread input in
// one call.
const maxChecked = 8

// Conn is a connection without a known caller. Its methods must not block and must not
// call the Table.
type Conn interface {
	// HasInput reports whether input has arrived that was not read yet.
	HasInput() bool
	// Evict ends the connection. It is called at most once.
	Evict()
}

// Entry is a connection in a Table.
type Entry struct {
	conn    Conn
	arrived time.Time
	// element is nil once the connection has left the table.
	element *list.Element
}

// Table holds connections in the order of their arrival. The zero value has no limit. Its
// methods may be called from several goroutines.
type Table struct {
	// Limit is the number of connections above which the oldest is evicted; 0 means no
	// limit.
	Limit int
	// MinAge is the age below which Add evicts no connection.
	MinAge time.Duration

	mu    sync.Mutex
	order list.List
}

// Add adds a connection. If there are more than Limit, it evicts the oldest one that may
// be evicted.
func (t *Table) Add(c Conn, now time.Time) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &Entry{conn: c, arrived: now}
	e.element = t.order.PushBack(e)
	if t.Limit > 0 && t.order.Len() > t.Limit {
		t.evictOldest(now.Add(-t.MinAge))
	}
	return e
}

// Remove removes a connection whose first message was read or which has ended. It reports
// whether the connection was in the table, that is, neither evicted nor removed before.
func (t *Table) Remove(e *Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.element == nil {
		return false
	}
	t.order.Remove(e.element)
	e.element = nil
	return true
}

// EvictOldest evicts the oldest connection that has no unread input, if there is one,
// regardless of its age.
func (t *Table) EvictOldest(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictOldest(now)
}

// evictOldest evicts the oldest connection without unread input, if it arrived at or
// before a time. It checks a few of them.
func (t *Table) evictOldest(before time.Time) {
	for el, n := t.order.Front(), 0; el != nil && n < maxChecked; el, n = el.Next(), n+1 {
		e := el.Value.(*Entry)
		if e.arrived.After(before) {
			return
		}
		if e.conn.HasInput() {
			continue
		}
		t.order.Remove(el)
		e.element = nil
		e.conn.Evict()
		return
	}
}

// Len returns the number of connections.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.order.Len()
}
