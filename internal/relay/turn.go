package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/sched"
)

const (
	// maxTurnTransit is how long a turn counts at most before its statement arrives
	// from the borrower, which may have stopped.
	maxTurnTransit = takenTimeout
	// turnCheckInterval is how often a queue is checked for turns that count no longer
	// and for statements that can't be answered in time any more.
	turnCheckInterval = 20 * time.Millisecond
	// maxLookahead bounds the number of turns for each slot whose statements are
	// between lender and borrower, so that the queue has the order.
	maxLookahead = 4
	// turnSmoothing is the inverse of the weight of a new figure in moving averages.
	turnSmoothing = 16
)

// turnQueue gives turns to the requests for connections to one database by priority,
// objective and expected work. Waiting requests hold no connection. A turn lasts until
// the answer to the first statement, so the number of turns exceeds that of the slots
// by what is between lender and borrower meanwhile. Statements of open transactions
// need no turn.
type turnQueue struct {
	mu      sync.Mutex
	queue   sched.Queue
	last    sched.Ticket
	waiters map[sched.Ticket]waitingTurn
	// current has the turns that count, free those that can be used again.
	current, free []*turn
	slots         int
	// transit is the mean time from a turn to the arrival of its statement, service
	// the mean time from there to the answer of a read.
	transit, service time.Duration
	// target and log are for reportOverload; overloadedSince is zero while there is no
	// overload.
	target          ident.Target
	log             zerolog.Logger
	overloadedSince time.Time
	// reported has the delays as of reportedAt.
	reported   []uint32
	reportedAt time.Time
	// checking is set while a check is scheduled.
	checking bool
}

type waitingTurn struct {
	item sched.Item
	// gone is Scheduling.Gone.
	gone func() bool
	// granted receives the turn, or nil when the request is refused.
	granted chan *turn
}

// turn implements dbpool.Turn.
type turn struct {
	q          *turnQueue
	class      ident.Class
	weight     uint32
	since      time.Time
	start      time.Time
	isStarted  bool
	isCounting bool
	// writes is set for a statement that may wait for a replica without a slot.
	writes bool
}

// errCrowded means that a turn is not expected in time.
var errCrowded = errors.New("relay: too many statements wait for the database")

// await returns the turn of a request, or nil when it is not expected in time or ctx
// has ended.
func (q *turnQueue) await(ctx context.Context, slots int, it sched.Item, gone func() bool) *turn {
	q.mu.Lock()
	now := time.Now()
	q.slots = max(slots, 1)
	q.dropOverdue(now)
	if q.queue.Len() == 0 && len(q.current) < q.limit() {
		t := q.grant(&it, now)
		q.mu.Unlock()
		return t
	}
	w, ok := q.enqueue(it, gone, now)
	if !ok {
		q.mu.Unlock()
		return nil
	}
	q.dispatch(now)
	q.scheduleCheck()
	ticket := q.last
	q.mu.Unlock()
	early := time.NewTimer(earlyRefusal(it, now))
	defer early.Stop()
	for {
		select {
		case t := <-w.granted:
			return t
		case <-early.C:
			if q.drop(ticket, true) {
				return nil
			}
		case <-ctx.Done():
			if !q.drop(ticket, false) {
				if t := <-w.granted; t != nil {
					t.End()
				}
			}
			return nil
		}
	}
}

// earlyRefusal returns the time until the last moment at which a refusal is early: a
// quarter of the objective, less the time of the answer to the caller.
func earlyRefusal(it sched.Item, now time.Time) time.Duration {
	const part, margin = 4, 20 * time.Millisecond
	return max(it.Objective.Sub(now)/part-margin, 0)
}

// enqueue adds a request to the queue, if necessary in place of a less valuable one.
func (q *turnQueue) enqueue(it sched.Item, gone func() bool, now time.Time) (waitingTurn, bool) {
	q.last++
	it.Ticket = q.last
	err := q.queue.Push(it, q.limit(), now)
	var e *sched.Error
	if errors.As(err, &e) && e.Kind == sched.KindFull {
		if t, ok := q.queue.Displace(it, now); ok {
			q.answer(t, nil)
			err = q.queue.Push(it, q.limit(), now)
		}
	}
	if err != nil {
		return waitingTurn{}, false
	}
	w := waitingTurn{item: it, gone: gone, granted: make(chan *turn, 1)}
	if q.waiters == nil {
		q.waiters = map[sched.Ticket]waitingTurn{}
	}
	q.waiters[it.Ticket] = w
	return w, true
}

func (q *turnQueue) answer(t sched.Ticket, granted *turn) {
	q.waiters[t].granted <- granted
	delete(q.waiters, t)
}

// drop removes a waiting request; if onlyUnanswerable is set, only one that is not
// expected to be answered in time. It returns false if it did not.
func (q *turnQueue) drop(t sched.Ticket, onlyUnanswerable bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if onlyUnanswerable && !q.queue.RemoveUnanswerable(t, time.Now()) || !onlyUnanswerable && !q.queue.Remove(t) {
		return false
	}
	delete(q.waiters, t)
	return true
}

// limit returns the number of turns at a time. While a turn's statement is between
// lender and borrower, its slot would be idle, so there are as many more turns as there
// are statements on the way when all slots are in use.
func (q *turnQueue) limit() int {
	ahead := q.slots
	if q.service > 0 {
		ahead = int(time.Duration(q.slots) * q.transit / q.service)
	}
	return q.slots + min(max(ahead, q.slots), maxLookahead*q.slots)
}

// grant returns a turn that counts from now.
func (q *turnQueue) grant(it *sched.Item, now time.Time) *turn {
	var t *turn
	if n := len(q.free); n > 0 {
		t, q.free = q.free[n-1], q.free[:n-1]
	} else {
		t = &turn{q: q}
	}
	t.class, t.weight, t.since, t.isStarted, t.isCounting = it.Class, it.Weight, now, false, true
	q.current = append(q.current, t)
	return t
}

// dropOverdue makes turns count no longer that have lasted too long: the borrower may
// have stopped, and a write may wait for a replica without occupying a slot.
func (q *turnQueue) dropOverdue(now time.Time) {
	q.current = slices.DeleteFunc(q.current, func(t *turn) bool {
		if t.isStarted {
			t.isCounting = now.Sub(t.start) < q.maxHold(t)
		} else {
			t.isCounting = now.Sub(t.since) < maxTurnTransit
		}
		return !t.isCounting
	})
}

// maxHold returns how long a turn counts at most after its statement was sent. For a
// write that is the mean time of reads, since the rest is likely to be the wait for a
// replica.
func (q *turnQueue) maxHold(t *turn) time.Duration {
	if t.writes && q.service > 0 {
		return min(q.service, maxSlotHold)
	}
	return maxSlotHold
}

// dropGone refuses the waiting requests whose callers have closed their connections.
func (q *turnQueue) dropGone() {
	for t, w := range q.waiters {
		if w.gone != nil && w.gone() && q.queue.Remove(t) {
			q.answer(t, nil)
		}
	}
}

// dispatch gives turns to waiting requests, and refuses those that can't be answered in
// time any more.
func (q *turnQueue) dispatch(now time.Time) {
	for _, t := range q.queue.Expire(now) {
		q.answer(t, nil)
	}
	for limit := q.limit(); len(q.current) < limit; {
		t, ok := q.queue.Pop(now)
		if !ok {
			return
		}
		it := q.waiters[t].item
		q.answer(t, q.grant(&it, now))
	}
}

// scheduleCheck runs dispatch again after turnCheckInterval while requests wait.
func (q *turnQueue) scheduleCheck() {
	if q.checking || q.queue.Len() == 0 {
		return
	}
	q.checking = true
	time.AfterFunc(turnCheckInterval, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.checking = false
		now := time.Now()
		q.dropOverdue(now)
		q.dropGone()
		q.dispatch(now)
		q.reportOverload(now)
		q.scheduleCheck()
	})
}

// Start implements dbpool.Turn.
func (t *turn) Start(writes bool) {
	q, now := t.q, time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	t.isStarted, t.start, t.writes = true, now, writes
	q.transit = smooth(q.transit, now.Sub(t.since))
}

// End implements dbpool.Turn.
func (t *turn) End() {
	q, now := t.q, time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.isStarted {
		service := min(now.Sub(t.start), q.maxHold(t))
		if !t.writes {
			q.service = smooth(q.service, service)
		}
		q.queue.RecordWork(t.class, t.weight, t.start.Sub(t.since)+service)
	}
	if t.isCounting {
		i := slices.Index(q.current, t)
		q.current = slices.Delete(q.current, i, i+1)
	}
	q.free = append(q.free, t)
	if q.queue.Len() > 0 {
		q.dropOverdue(now)
		q.dispatch(now)
	}
}

func smooth(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + (d-mean)/turnSmoothing
}

// waiting returns the number of requests that wait for their turn.
func (q *turnQueue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len()
}

// delays returns the pairs for RelayOpened.delays. They are computed anew at most once
// in turnCheckInterval, and must not be modified.
func (q *turnQueue) delays() []uint32 {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.queue.Len() == 0 {
		return nil
	}
	if now.Sub(q.reportedAt) > turnCheckInterval {
		q.reported, q.reportedAt = q.queue.AppendDelays(nil, now), now
	}
	return q.reported
}

// item returns the entry of a request in the queue.
func item(s dbop.Scheduling, ws ident.Workspace, objective, timeout time.Duration, deadline, now time.Time) sched.Item {
	it := sched.Item{Workspace: ws, Class: s.Class, Weight: s.Weight, Deadline: deadline}
	start := now.Add(-s.Spent)
	if objective > 0 {
		it.Objective = start.Add(objective)
	}
	if end := start.Add(timeout); end.Before(deadline) {
		it.Deadline = end
	}
	return it
}
