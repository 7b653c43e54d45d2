package relay

import (
	"sync"
	"time"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/fairq"
	"chervilspan.example/pkg/ident"
)

// placeTime is how long a read keeps its place at most: the answer of one that
// takes longer may be lost, and its slot is free again.
const placeTime = 120 * time.Millisecond

// gate orders the reads that wait for a database: fairly over workspaces and
// kinds of requests by the time that they take there, so that short ones don't
// wait behind long ones. Reads of open transactions pass, since others may wait
// for these; so do writes and commits, which may wait for a replica without a
// slot. A lender has one read for each slot at the database.
type gate struct {
	mu      sync.Mutex
	queue   fairq.Queue
	last    fairq.Ticket
	waiters map[fairq.Ticket]chan struct{}
	running int
	slots   int
}

// enter waits for the turn of a statement. It returns false when the turn would
// not come in time, at once if that is known.
func (g *gate) enter(slots int, t dbop.Scheduling, ws ident.Workspace) bool {
	g.mu.Lock()
	g.slots = slots
	if t.MaxWait <= 0 || g.running < slots && g.queue.Len() == 0 {
		g.running++
		g.mu.Unlock()
		return true
	}
	now := time.Now()
	g.last++
	ticket := g.last
	err := g.queue.Push(fairq.Item{Ticket: ticket, Workspace: flow(t, ws), Weight: t.Weight, Deadline: now.Add(t.MaxWait)}, slots, now)
	if err != nil {
		g.mu.Unlock()
		return false // too many wait already
	}
	turn := make(chan struct{})
	if g.waiters == nil {
		g.waiters = map[fairq.Ticket]chan struct{}{}
	}
	g.waiters[ticket] = turn
	g.mu.Unlock()
	timer := time.NewTimer(t.MaxWait)
	defer timer.Stop()
	select {
	case <-turn:
		return true
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, ticket)
	return !g.queue.Remove(ticket) // the turn came with the timer
}

// flow names the queue of a workspace's requests of one kind.
func flow(t dbop.Scheduling, ws ident.Workspace) ident.Workspace {
	return ws + "/" + ident.Workspace(t.Class)
}

// leave ends the place of a statement that took some time at the database.
func (g *gate) leave(t dbop.Scheduling, ws ident.Workspace, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Observe(flow(t, ws), min(took, placeTime))
	g.running--
	now := time.Now()
	for g.running < g.slots {
		ticket, ok := g.queue.Pop(now)
		if !ok {
			return
		}
		g.running++
		close(g.waiters[ticket])
		delete(g.waiters, ticket)
	}
}

// active returns the number of statements at the database.
func (g *gate) active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// waiting returns the number of statements that wait.
func (g *gate) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}
