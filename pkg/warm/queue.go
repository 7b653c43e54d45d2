package warm

import "slices"

// Ticket identifies a waiting request.
type Ticket uint64

// Queue orders the requests that wait for tokens of a cold database: writes before
// reads, and each kind in the order of arrival. The zero Queue is empty.
type Queue struct {
	last          Ticket
	writes, reads []Ticket
}

// Enter appends a request.
func (q *Queue) Enter(write bool) Ticket {
	q.last++
	if write {
		q.writes = append(q.writes, q.last)
	} else {
		q.reads = append(q.reads, q.last)
	}
	return q.last
}

// First returns the request whose turn it is.
func (q *Queue) First() (Ticket, bool) {
	switch {
	case len(q.writes) > 0:
		return q.writes[0], true
	case len(q.reads) > 0:
		return q.reads[0], true
	}
	return 0, false
}

// Leave removes a request that has its token or waits no longer.
func (q *Queue) Leave(t Ticket) {
	is := func(o Ticket) bool { return o == t }
	q.writes = slices.DeleteFunc(q.writes, is)
	q.reads = slices.DeleteFunc(q.reads, is)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.writes) + len(q.reads) }
