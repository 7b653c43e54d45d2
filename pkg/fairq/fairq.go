package fairq

import (
	"cmp"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// DefaultLimit is the greatest number of waiting requests of a workspace when
// its class names none.
const DefaultLimit = 64

// leastCost bounds the cost of a request from below, so that the rounds of a
// workspace with very short statements stay bounded.
const leastCost = 100 * time.Microsecond

// smoothing is the weight of a new service time in the mean, as a divisor.
const smoothing = 8

// Ticket identifies a waiting request.
type Ticket uint64

// Item is a request that waits for a slot.
type Item struct {
	Ticket    Ticket
	Workspace ident.Workspace
	// Weight of the workspace; 0 stands for 1.
	Weight uint32
	// Limit is the greatest number of waiting requests of the workspace; 0
	// stands for DefaultLimit.
	Limit int
	// Deadline is when the request must have started; zero means never.
	Deadline time.Time
}

// Backlog is the number of waiting requests of a workspace.
type Backlog struct {
	Workspace ident.Workspace
	Weight    uint32
	Count     int
}

type flow struct {
	workspace ident.Workspace
	weight    uint32
	items     []Item
	deficit   time.Duration
}

// Queue is the fair queue of one target. The zero Queue is empty and ready for
// use.
type Queue struct {
	flows map[ident.Workspace]*flow
	// active are the flows with waiting requests, in the order of the rounds.
	active []*flow
	// visited tells that the first active flow has got its quantum of this
	// round.
	visited bool
	service map[ident.Workspace]time.Duration
	length  int
}

// Push adds a request. It returns an *Error of kind KindFull or KindDeadline,
// and the request is not added then. slots is the number of requests that the
// target serves at once for this queue.
func (q *Queue) Push(it Item, slots int, now time.Time) error {
	it.Weight = max(it.Weight, 1)
	f := q.flows[it.Workspace]
	wait := q.EstimateWait(it.Workspace, it.Weight, slots)
	if f != nil && len(f.items) >= cmp.Or(it.Limit, DefaultLimit) {
		return &Error{Op: "push", Kind: KindFull, ExpectedWait: wait}
	}
	if !it.Deadline.IsZero() && now.Add(wait).After(it.Deadline) {
		return &Error{Op: "push", Kind: KindDeadline, ExpectedWait: wait}
	}
	if f == nil {
		f = &flow{workspace: it.Workspace}
		if q.flows == nil {
			q.flows = map[ident.Workspace]*flow{}
		}
		q.flows[it.Workspace] = f
		q.active = append(q.active, f)
	}
	f.weight = it.Weight
	f.items = append(f.items, it)
	q.length++
	return nil
}

// EstimateWait returns how long a new request of a workspace is expected to wait:
// the requests ahead of it in its own queue, served at the workspace's weighted
// part of the slots. It is 0 while no service time is known, which refuses
// nothing.
func (q *Queue) EstimateWait(ws ident.Workspace, weight uint32, slots int) time.Duration {
	mean, ok := q.service[ws]
	if !ok || q.length == 0 {
		return 0
	}
	weight = max(weight, 1)
	ahead, weights := 0, weight
	var others time.Duration
	for _, f := range q.active {
		if f.workspace == ws {
			ahead = len(f.items)
			continue
		}
		weights += f.weight
		others += q.cost(f) * time.Duration(len(f.items))
	}
	own := time.Duration(ahead+1) * mean
	// The others can take their weighted part, but no more than they wait for.
	extra := min(others, own*time.Duration(weights-weight)/time.Duration(weight))
	return (own + extra) / time.Duration(max(slots, 1))
}

func (q *Queue) cost(f *flow) time.Duration {
	return max(q.service[f.workspace], leastCost)
}

// Pop removes the next request in the order of the rounds. Requests past their
// deadline stay for Expire.
func (q *Queue) Pop(now time.Time) (Ticket, bool) {
	quantum := q.quantum()
	for tries := 0; len(q.active) > 0 && tries <= len(q.active); tries++ {
		f := q.active[0]
		if !q.visited {
			f.deficit += quantum * time.Duration(f.weight)
			q.visited = true
		}
		i := slices.IndexFunc(f.items, func(it Item) bool { return !past(it, now) })
		if i < 0 || f.deficit < q.cost(f) {
			q.rotate()
			continue
		}
		f.deficit -= q.cost(f)
		t := f.items[i].Ticket
		q.removeAt(f, i)
		return t, true
	}
	return 0, false
}

// quantum is the greatest cost among the active workspaces, so that each gets
// at least one request a round.
func (q *Queue) quantum() time.Duration {
	var m time.Duration
	for _, f := range q.active {
		m = max(m, q.cost(f))
	}
	return m
}

func (q *Queue) rotate() {
	f := q.active[0]
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = f
	q.visited = false
}

func (q *Queue) removeAt(f *flow, i int) {
	f.items = slices.Delete(f.items, i, i+1)
	q.length--
	if len(f.items) > 0 {
		return
	}
	// An idle workspace keeps no deficit, or it could save up for a burst.
	j := slices.Index(q.active, f)
	q.active = slices.Delete(q.active, j, j+1)
	if j == 0 {
		q.visited = false
	}
	delete(q.flows, f.workspace)
}

func past(it Item, now time.Time) bool {
	return !it.Deadline.IsZero() && !now.Before(it.Deadline)
}

// Expire removes the requests whose deadline has passed and returns them.
func (q *Queue) Expire(now time.Time) []Ticket {
	var out []Ticket
	for _, f := range slices.Clone(q.active) {
		for i := len(f.items) - 1; i >= 0; i-- {
			if past(f.items[i], now) {
				out = append(out, f.items[i].Ticket)
				q.removeAt(f, i)
			}
		}
	}
	return out
}

// Remove removes a request whose caller has gone; it reports false when the
// request does not wait.
func (q *Queue) Remove(t Ticket) bool {
	for _, f := range q.active {
		if i := slices.IndexFunc(f.items, func(it Item) bool { return it.Ticket == t }); i >= 0 {
			q.removeAt(f, i)
			return true
		}
	}
	return false
}

// Observe takes the time that a request of a workspace held its slot.
func (q *Queue) Observe(ws ident.Workspace, took time.Duration) {
	if q.service == nil {
		q.service = map[ident.Workspace]time.Duration{}
	}
	mean, ok := q.service[ws]
	if !ok {
		q.service[ws] = took
		return
	}
	q.service[ws] = mean + (took-mean)/smoothing
}

// PruneServiceTimes drops the service times of workspaces that keep reports false for.
func (q *Queue) PruneServiceTimes(keep func(ident.Workspace) bool) {
	for ws := range q.service {
		if !keep(ws) {
			delete(q.service, ws)
		}
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Backlogs returns the waiting requests by workspace, in the order of the rounds.
func (q *Queue) Backlogs() []Backlog {
	out := make([]Backlog, 0, len(q.active))
	for _, f := range q.active {
		out = append(out, Backlog{f.workspace, f.weight, len(f.items)})
	}
	return out
}
