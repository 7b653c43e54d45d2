package unauth

import (
	"container/list"
	"sync"
	"time"
)

const (
	// maxPassed is the maximum number of connections with unread input that one call
	// passes over.
	maxPassed = 8
	// relievedFraction is the inverse of the part of the connections that Relieve evicts.
	relievedFraction = 4
)

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
		t.evict(1, now.Add(-t.MinAge))
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

// Relieve evicts the oldest quarter of the connections, at least one, regardless of their
// age but for those with unread input. It returns their number.
func (t *Table) Relieve(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evict(1+t.order.Len()/relievedFraction, now)
}

// evict evicts up to n of the oldest connections that arrived at or before a time and have
// no unread input. It passes over a few with unread input, and returns the number of those
// evicted.
func (t *Table) evict(n int, before time.Time) int {
	evicted, passed := 0, 0
	for el := t.order.Front(); el != nil && evicted < n && passed < maxPassed; {
		e := el.Value.(*Entry)
		next := el.Next()
		switch {
		case e.arrived.After(before):
			return evicted
		case e.conn.HasInput():
			passed++
		default:
			t.order.Remove(el)
			e.element = nil
			e.conn.Evict()
			evicted++
		}
		el = next
	}
	return evicted
}

// Len returns the number of connections.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.order.Len()
}
