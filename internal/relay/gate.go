package relay

import (
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/fairq"
	"chervilspan.example/pkg/ident"
)

// maxSlotHold is how long a read counts as occupying a slot at most: the answer
// of one that takes longer may be lost while its slot is free again.
const maxSlotHold = 120 * time.Millisecond

// readQueue schedules the reads at a database. It shares the database's time
// fairly among flows, each a workspace and class, so that short reads don't wait
// behind long ones. A lender runs at most one queued read for each slot of the
// database. Reads within transactions skip the queue, since other statements may
// wait for their locks; so do writes and commits, which may wait for a replica
// without occupying a slot.
type readQueue struct {
	mu         sync.Mutex
	queue      fairq.Queue
	lastTicket fairq.Ticket
	waiters    map[fairq.Ticket]chan struct{}
	running    int
	slots      int
}

// acquire waits for the turn of a statement. It returns false when the turn does
// not come within sched.MaxWait, and immediately when the queue already expects
// that.
func (q *readQueue) acquire(slots int, sched dbop.Scheduling, ws ident.Workspace) bool {
	q.mu.Lock()
	q.slots = slots
	if sched.MaxWait <= 0 || q.running < slots && q.queue.Len() == 0 {
		q.running++
		q.mu.Unlock()
		return true
	}
	now := time.Now()
	q.lastTicket++
	ticket := q.lastTicket
	err := q.queue.Push(fairq.Item{Ticket: ticket, Workspace: flowName(sched, ws), Weight: sched.Weight, Deadline: now.Add(sched.MaxWait)}, slots, now)
	if err != nil {
		q.mu.Unlock()
		return false // the queue is full or the expected wait too long
	}
	turn := make(chan struct{})
	if q.waiters == nil {
		q.waiters = map[fairq.Ticket]chan struct{}{}
	}
	q.waiters[ticket] = turn
	q.mu.Unlock()
	timer := time.NewTimer(sched.MaxWait)
	defer timer.Stop()
	select {
	case <-turn:
		return true
	case <-timer.C:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, ticket)
	return !q.queue.Remove(ticket) // not in the queue: the turn came as the timer fired
}

// flowName returns the name under which the fair queue schedules the requests of
// one class of a workspace.
func flowName(sched dbop.Scheduling, ws ident.Workspace) ident.Workspace {
	return ws + "/" + ident.Workspace(sched.Class)
}

// release ends the turn of a statement, records the time that it took at the
// database, and gives turns to waiting reads while there are slots.
func (q *readQueue) release(sched dbop.Scheduling, ws ident.Workspace, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.RecordServiceTime(flowName(sched, ws), min(took, maxSlotHold))
	q.running--
	now := time.Now()
	for q.running < q.slots {
		ticket, ok := q.queue.Pop(now)
		if !ok {
			return
		}
		q.running++
		close(q.waiters[ticket])
		delete(q.waiters, ticket)
	}
}

// runningCount returns the number of statements that have a turn.
func (q *readQueue) runningCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}

// waitingCount returns the number of statements that wait for a turn.
func (q *readQueue) waitingCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len()
}
