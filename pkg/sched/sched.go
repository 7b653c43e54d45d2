package sched

import (
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

const (
	// FloorShare is the inverse of the least share of the slot time that a class with
	// waiting statements gets.
	FloorShare = 20
	// StandingPeriod is how long the oldest statement of a class must have waited for
	// more than half of its objective before the newest are served first.
	StandingPeriod = 100 * time.Millisecond
	// DefaultLimit is the maximum number of waiting statements of a Queue whose Limit
	// is 0.
	DefaultLimit = 512
	// minWork is the least expected service time, and that of a class of which no
	// statement has run yet.
	minWork = time.Millisecond
	// tailFactor multiplies the expected service time when a statement's latest start
	// is computed, since service times vary around their mean.
	tailFactor = 2
	// maxOwed bounds the slot time that a class may claim at once by its floor.
	maxOwed = 200 * time.Millisecond
	// smoothingDivisor is the inverse of the weight of a new service time in the
	// moving average. It is large enough that random service times seldom change the
	// order of classes whose weights differ by a factor of 2.
	smoothingDivisor = 32
	// usagePeriod is the time constant of the slot time by class that estimates of
	// the wait use.
	usagePeriod = time.Second
)

// Ticket identifies a waiting statement.
type Ticket uint64

// Item is a statement that waits.
type Item struct {
	Ticket    Ticket
	Workspace ident.Workspace
	Class     ident.Class
	// Weight is the value of the class relative to others; 0 stands for 1.
	Weight uint32
	// Objective is when the caller wants the answer; zero means that none is stated,
	// so that Deadline counts instead.
	Objective time.Time
	// Deadline is when the answer must have been given; zero means no deadline.
	Deadline time.Time
}

// entry is an Item in the queue.
type entry struct {
	Item
	flow   *flow
	pushed time.Time
}

// flow is a workspace with waiting statements in any class.
type flow struct {
	// served is the slot time that the workspace has received. Workspaces that start
	// to wait begin with that of the least served one.
	served  time.Duration
	waiting int
}

// class is the queue of one class, in order of arrival.
type class struct {
	name   ident.Class
	weight uint32
	// work is the mean service time; 0 while unknown.
	work    time.Duration
	entries []entry
	// owed is the slot time that the class may claim by its floor.
	owed time.Duration
	// used is the slot time that the class received lately; see Queue.decay.
	used time.Duration
	// aboveSince is since when the oldest statement has waited for more than half of
	// its objective; standing is set after StandingPeriod of that.
	aboveSince time.Time
	standing   bool
	// objective is that of the last statement, counted from its arrival.
	objective time.Duration
	// recorded is the number of service times recorded, up to smoothingDivisor. It has
	// the type of work, which is divided by it.
	recorded time.Duration
	// The fields below are set by survey: the number of statements that can meet their
	// objective and their deadline, the time until the first of the former has to
	// start, and whether one has waited for more than half of its objective.
	inTime, alive int
	slack         time.Duration
	aboveHalf     bool
}

// Queue is the queue of one database. The zero Queue is empty and ready for use.
type Queue struct {
	// Limit is the maximum number of waiting statements; 0 stands for DefaultLimit.
	Limit   int
	classes []*class
	flows   map[ident.Workspace]*flow
	length  int
	// slots is that of the last Push.
	slots     int
	decayedAt time.Time
}

func (c *class) expectedWork() time.Duration { return max(c.work, minWork) }

// density returns the value for each second of slot time.
func (c *class) density() float64 {
	return float64(c.weight) / c.expectedWork().Seconds()
}

// latestStart returns when an entry must start to be answered by t.
func (c *class) latestStart(t time.Time) time.Time { return t.Add(-tailFactor * c.expectedWork()) }

func (c *class) isInTime(e *entry, now time.Time) bool {
	return e.Objective.IsZero() && c.isAlive(e, now) || !e.Objective.IsZero() && now.Before(c.latestStart(e.Objective))
}

func (c *class) isAlive(e *entry, now time.Time) bool {
	return e.Deadline.IsZero() || now.Before(e.Deadline.Add(-c.expectedWork()))
}

func (q *Queue) classOf(name ident.Class, weight uint32) *class {
	for _, c := range q.classes {
		if c.name == name {
			c.weight = max(weight, 1)
			return c
		}
	}
	c := &class{name: name, weight: max(weight, 1)}
	q.classes = append(q.classes, c)
	return c
}

// Push adds a statement, or returns an *Error without adding it. slots is the number
// of statements from this queue that the database serves at once. When the
// queue is full, callers may make room with Displace.
func (q *Queue) Push(it Item, slots int, now time.Time) error {
	q.slots = max(slots, 1)
	c := q.classOf(it.Class, it.Weight)
	e := entry{Item: it, pushed: now}
	if wait, unanswerable := q.isUnanswerable(c, &e, now); unanswerable {
		return &Error{Op: "push", Kind: KindDeadline, ExpectedWait: wait}
	}
	if q.length >= q.limit() {
		return &Error{Op: "push", Kind: KindFull, ExpectedWait: q.totalWait()}
	}
	e.flow = q.flowOf(it.Workspace)
	e.flow.waiting++
	if !it.Objective.IsZero() {
		c.objective = it.Objective.Sub(now)
	}
	c.entries = append(c.entries, e)
	q.length++
	return nil
}

func (q *Queue) limit() int {
	if q.Limit > 0 {
		return q.Limit
	}
	return DefaultLimit
}

// flowOf returns the flow of a workspace that is about to wait.
func (q *Queue) flowOf(ws ident.Workspace) *flow {
	if f := q.flows[ws]; f != nil {
		return f
	}
	if q.flows == nil {
		q.flows = map[ident.Workspace]*flow{}
	}
	f := &flow{}
	first := true
	for _, o := range q.flows {
		if first || o.served < f.served {
			f.served, first = o.served, false
		}
	}
	q.flows[ws] = f
	return f
}

// Displace removes and returns a waiting statement to make room in a full queue for a
// new one: a statement of a class with less value, or else of a workspace with more
// waiting statements. Each class may keep its floor of the places.
// It prefers a statement whose refusal is still early.
func (q *Queue) Displace(it Item, now time.Time) (Ticket, bool) {
	than := q.classOf(it.Class, it.Weight)
	own := 1
	if f := q.flows[it.Workspace]; f != nil {
		own += f.waiting
	}
	reserved := q.limit() / FloorShare
	small := len(than.entries) < reserved
	var from *class
	best := -1
	for _, c := range q.classes {
		if c != than && (len(c.entries) <= reserved || !small && c.density() >= than.density()) {
			continue
		}
		if from != nil && c.density() >= from.density() {
			continue
		}
		if i := c.displaceable(own, c != than, now); i >= 0 {
			from, best = c, i
		}
	}
	if from == nil {
		return 0, false
	}
	t := from.entries[best].Ticket
	q.removeAt(from, best)
	return t, true
}

// displaceable returns the index of the statement of c that Displace removes, or -1.
// Unless anyFlow is set, its workspace must have more than own waiting statements.
func (c *class) displaceable(own int, anyFlow bool, now time.Time) int {
	best := -1
	for i := len(c.entries) - 1; i >= 0; i-- {
		e := &c.entries[i]
		if best >= 0 && !isEarly(e, now) {
			break
		}
		if (anyFlow || e.flow.waiting > own) && (best < 0 || e.flow.waiting > c.entries[best].flow.waiting) {
			best = i
		}
	}
	return best
}

// earlyFraction is the inverse of the part of the objective within which a refusal
// counts as early.
const earlyFraction = 4

func isEarly(e *entry, now time.Time) bool {
	return e.Objective.IsZero() || now.Sub(e.pushed) < e.Objective.Sub(e.pushed)/earlyFraction
}

// removeAt removes the statement with index i of c.
func (q *Queue) removeAt(c *class, i int) {
	f, ws := c.entries[i].flow, c.entries[i].Workspace
	c.entries = slices.Delete(c.entries, i, i+1)
	q.length--
	if f.waiting--; f.waiting == 0 {
		delete(q.flows, ws)
	}
	if len(c.entries) == 0 {
		c.owed, c.aboveSince, c.standing = 0, time.Time{}, false
	}
}

// Expire removes the statements that can't be answered before their deadline any more
// and returns them.
func (q *Queue) Expire(now time.Time) []Ticket {
	var out []Ticket
	for _, c := range q.classes {
		for i := len(c.entries) - 1; i >= 0; i-- {
			if !c.isAlive(&c.entries[i], now) {
				out = append(out, c.entries[i].Ticket)
				q.removeAt(c, i)
			}
		}
	}
	return out
}

// Remove removes a waiting statement, for instance when its caller has disconnected.
// It reports false when the statement is not in the queue.
func (q *Queue) Remove(t Ticket) bool {
	for _, c := range q.classes {
		if i := slices.IndexFunc(c.entries, func(e entry) bool { return e.Ticket == t }); i >= 0 {
			q.removeAt(c, i)
			return true
		}
	}
	return false
}

// RecordWork updates the mean service time of a class with that of one statement: how
// long it occupied its slot.
func (q *Queue) RecordWork(name ident.Class, weight uint32, took time.Duration) {
	c := q.classOf(name, weight)
	c.recorded = min(c.recorded+1, smoothingDivisor)
	c.work += (took - c.work) / c.recorded
}

// Standing reports whether a class has a standing queue.
func (q *Queue) Standing() bool {
	return slices.ContainsFunc(q.classes, func(c *class) bool { return c.standing })
}

// Len returns the number of waiting statements.
func (q *Queue) Len() int { return q.length }
