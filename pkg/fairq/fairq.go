package fairq

import (
	"cmp"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// DefaultLimit is the maximum number of waiting requests of a workspace whose
// class sets no limit.
const DefaultLimit = 64

// minCost is the minimum cost of a request. It bounds the number of requests of a
// workspace with very short statements in one round.
const minCost = 100 * time.Microsecond

// smoothingDivisor is the inverse of the weight of a new service time in the
// exponential moving average.
const smoothingDivisor = 8

// Ticket identifies a waiting request.
type Ticket uint64

// Item is a request that waits for a slot.
type Item struct {
	Ticket    Ticket
	Workspace ident.Workspace
	// Weight of the workspace; 0 stands for 1.
	Weight uint32
	// Limit is the maximum number of waiting requests of the workspace; 0 stands
	// for DefaultLimit.
	Limit int
	// Deadline is when the request must have started; zero means no deadline.
	Deadline time.Time
}

// Backlog is the number of waiting requests of a workspace.
type Backlog struct {
	Workspace ident.Workspace
	Weight    uint32
	Count     int
}

// flow is the queue of one workspace.
type flow struct {
	workspace ident.Workspace
	weight    uint32
	items     []Item
	// deficit is the service time that the flow may still use in this round.
	deficit time.Duration
}

// Queue is the fair queue of one target. The zero Queue is empty and ready for
// use.
type Queue struct {
	flows map[ident.Workspace]*flow
	// active holds the flows with waiting requests in round-robin order.
	active []*flow
	// quantumAdded reports whether the first active flow has received its quantum
	// in this round.
	quantumAdded bool
	// serviceTime is the moving average of the service time by workspace.
	serviceTime map[ident.Workspace]time.Duration
	length      int
}

// Push adds a request, or returns an *Error of kind KindFull or KindDeadline
// without adding it. slots is the number of requests from this queue that the
// target serves at once.
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
// the service time of the requests of its workspace up to and including itself,
// served at the workspace's weighted share of the slots. It is 0 while no service
// time is known, so that no request is refused then.
func (q *Queue) EstimateWait(ws ident.Workspace, weight uint32, slots int) time.Duration {
	mean, ok := q.serviceTime[ws]
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
	// The other workspaces use their weighted share, but at most their backlog.
	extra := min(others, own*time.Duration(weights-weight)/time.Duration(weight))
	return (own + extra) / time.Duration(max(slots, 1))
}

// cost returns the expected service time of a request of f, at least minCost.
func (q *Queue) cost(f *flow) time.Duration {
	return max(q.serviceTime[f.workspace], minCost)
}

// Pop removes and returns the next request in deficit round robin order. It skips
// requests past their deadline, which Expire removes.
func (q *Queue) Pop(now time.Time) (Ticket, bool) {
	quantum := q.quantum()
	for visits := 0; len(q.active) > 0 && visits <= len(q.active); visits++ {
		f := q.active[0]
		if !q.quantumAdded {
			f.deficit += quantum * time.Duration(f.weight)
			q.quantumAdded = true
		}
		i := slices.IndexFunc(f.items, func(it Item) bool { return !expired(it, now) })
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

// quantum returns the greatest cost among the active workspaces, so that each
// gets at least one request per round.
func (q *Queue) quantum() time.Duration {
	var m time.Duration
	for _, f := range q.active {
		m = max(m, q.cost(f))
	}
	return m
}

// rotate moves the first active flow to the end.
func (q *Queue) rotate() {
	f := q.active[0]
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = f
	q.quantumAdded = false
}

// removeAt removes the request with index i of f, and f itself when it is empty.
func (q *Queue) removeAt(f *flow, i int) {
	f.items = slices.Delete(f.items, i, i+1)
	q.length--
	if len(f.items) > 0 {
		return
	}
	// An idle workspace loses its deficit; otherwise it could accumulate deficit
	// and use it for a burst.
	j := slices.Index(q.active, f)
	q.active = slices.Delete(q.active, j, j+1)
	if j == 0 {
		q.quantumAdded = false
	}
	delete(q.flows, f.workspace)
}

func expired(it Item, now time.Time) bool {
	return !it.Deadline.IsZero() && !now.Before(it.Deadline)
}

// Expire removes the requests whose deadline has passed and returns them.
func (q *Queue) Expire(now time.Time) []Ticket {
	var out []Ticket
	for _, f := range slices.Clone(q.active) {
		for i := len(f.items) - 1; i >= 0; i-- {
			if expired(f.items[i], now) {
				out = append(out, f.items[i].Ticket)
				q.removeAt(f, i)
			}
		}
	}
	return out
}

// Remove removes a waiting request, for instance when its caller has
// disconnected. It reports false when the request is not in the queue.
func (q *Queue) Remove(t Ticket) bool {
	for _, f := range q.active {
		if i := slices.IndexFunc(f.items, func(it Item) bool { return it.Ticket == t }); i >= 0 {
			q.removeAt(f, i)
			return true
		}
	}
	return false
}

// RecordServiceTime records the service time of a request: how long it occupied its slot.
func (q *Queue) RecordServiceTime(ws ident.Workspace, took time.Duration) {
	if q.serviceTime == nil {
		q.serviceTime = map[ident.Workspace]time.Duration{}
	}
	mean, ok := q.serviceTime[ws]
	if !ok {
		q.serviceTime[ws] = took
		return
	}
	q.serviceTime[ws] = mean + (took-mean)/smoothingDivisor
}

// PruneServiceTimes deletes the service times of the workspaces for which keep
// returns false.
func (q *Queue) PruneServiceTimes(keep func(ident.Workspace) bool) {
	for ws := range q.serviceTime {
		if !keep(ws) {
			delete(q.serviceTime, ws)
		}
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Backlogs returns the number of waiting requests by workspace, in round-robin
// order.
func (q *Queue) Backlogs() []Backlog {
	out := make([]Backlog, 0, len(q.active))
	for _, f := range q.active {
		out = append(out, Backlog{f.workspace, f.weight, len(f.items)})
	}
	return out
}
