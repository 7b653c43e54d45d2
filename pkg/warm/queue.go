package warm

import "slices"

// Ticket identifies a waiting request.
type Ticket uint64

// Queue orders the requests that wait for tokens of a cold database: urgent ones
// first, and both kinds in the order of arrival. A request is urgent if no other
// database can run it, such as a write. The zero Queue is empty.
type Queue struct {
	last           Ticket
	urgent, others []Ticket
}

// Enter appends a request.
func (q *Queue) Enter(urgent bool) Ticket {
	q.last++
	if urgent {
		q.urgent = append(q.urgent, q.last)
	} else {
		q.others = append(q.others, q.last)
	}
	return q.last
}

// First returns the request whose turn it is.
func (q *Queue) First() (Ticket, bool) {
	switch {
	case len(q.urgent) > 0:
		return q.urgent[0], true
	case len(q.others) > 0:
		return q.others[0], true
	}
	return 0, false
}

// Leave removes a request that has its token or waits no longer.
func (q *Queue) Leave(t Ticket) {
	is := func(o Ticket) bool { return o == t }
	q.urgent = slices.DeleteFunc(q.urgent, is)
	q.others = slices.DeleteFunc(q.others, is)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.urgent) + len(q.others) }
