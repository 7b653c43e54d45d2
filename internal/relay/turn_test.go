package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/sched"
)

// turnDatabase is a database with some slots and few connections behind a turnQueue,
// or behind nothing but the wait for a connection.
type turnDatabase struct {
	turns *turnQueue
	conns chan struct{}
	slots chan struct{}
}

// run runs a statement that takes the time work, and returns whether it met its
// objective.
func (db *turnDatabase) run(ctx context.Context, it sched.Item, work time.Duration) bool {
	if db.turns != nil {
		t := db.turns.await(ctx, cap(db.slots), it, nil)
		if t == nil {
			return false
		}
		defer t.End()
		t.Start(false)
	}
	db.conns <- struct{}{}
	time.Sleep(2 * time.Millisecond) // the way to the borrower and back
	db.slots <- struct{}{}
	time.Sleep(work)
	<-db.slots
	<-db.conns
	return !time.Now().After(it.Objective)
}

// TestUrgentBeforeConnections guards against urgent statements that wait for a
// connection behind less urgent ones, which hold all connections while they queue.
func TestUrgentBeforeConnections(t *testing.T) {
	met := func(turns *turnQueue) (urgent int) {
		synctest.Test(t, func(*testing.T) {
			db := &turnDatabase{turns: turns, conns: make(chan struct{}, 35), slots: make(chan struct{}, 5)}
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i := range 2000 { // 400 statements a second; the slots run 250
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 2500 * time.Microsecond)
					now := time.Now()
					it := sched.Item{Class: "least", Weight: 1, Workspace: "w", Objective: now.Add(4 * time.Second), Deadline: now.Add(5 * time.Second)}
					if i%4 == 0 {
						it = sched.Item{Class: "urgent", Weight: 4, Workspace: "w", Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}
					}
					if db.run(context.Background(), it, 20*time.Millisecond) && i%4 == 0 {
						mu.Lock()
						defer mu.Unlock()
						urgent++
					}
				})
			}
			wg.Wait()
		})
		return urgent
	}
	before, now := met(nil), met(&turnQueue{})
	t.Logf("urgent statements within their objective: %d of 500, without turns %d", now, before)
	is.New(t).True(now >= 495)
}

// TestTurnsExpire guards against slots that stay unused because the holders of turns
// have stopped, and against a disconnected caller's request that takes a turn.
func TestTurnsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := &turnQueue{}
		it := func() sched.Item {
			return sched.Item{Class: "c", Workspace: "w", Objective: time.Now().Add(time.Second), Deadline: time.Now().Add(5 * time.Second)}
		}
		for range 2 {
			is.True(q.await(context.Background(), 1, it(), nil) != nil) // never used
		}
		ctx, cancel := context.WithCancel(context.Background())
		gone := make(chan *turn)
		go func() { gone <- q.await(ctx, 1, it(), nil) }()
		time.Sleep(time.Millisecond)
		cancel()
		is.True(<-gone == nil)
		is.Equal(q.waiting(), 0)
		is.True(q.await(context.Background(), 1, it(), func() bool { return true }) == nil)
		start := time.Now()
		is.True(q.await(context.Background(), 1, it(), nil) != nil)
		is.True(time.Since(start) <= maxTurnTransit+turnCheckInterval)
		for range 20 {
			go q.await(context.Background(), 1, it(), nil)
		}
		time.Sleep(10 * time.Second) // all requests are served or expire
		is.Equal(q.waiting(), 0)
		is.Equal(len(q.waiters), 0)
	})
}

// TestWritesWaitForReplica guards against slots that stay unused while writes wait for a
// replica that does not answer.
func TestWritesWaitForReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := &turnQueue{}
		take := func() *turn {
			now := time.Now()
			return q.await(context.Background(), 1, sched.Item{Class: "c", Workspace: "w", Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}, nil)
		}
		read := take()
		read.Start(false)
		time.Sleep(10 * time.Millisecond)
		read.End()
		for range 8 {
			start := time.Now()
			take().Start(true) // no answer
			is.True(time.Since(start) <= 2*turnCheckInterval)
		}
	})
}

// BenchmarkTurn measures a turn while no request waits. It must not allocate.
func BenchmarkTurn(b *testing.B) {
	q := &turnQueue{}
	now := time.Now()
	it := sched.Item{Class: "c", Weight: 1, Workspace: "w", Objective: now.Add(time.Hour), Deadline: now.Add(time.Hour)}
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		t := q.await(ctx, 5, it, nil)
		t.Start(false)
		t.End()
	}
}

// BenchmarkQueuedTurn measures a turn in a queue of the given length.
func BenchmarkQueuedTurn(b *testing.B) {
	for _, n := range []int{32, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var q sched.Queue
			now := time.Now()
			push := func(i int) {
				_ = q.Push(sched.Item{Ticket: sched.Ticket(i), Class: "c", Workspace: ident.Workspace(rune('a' + i%20)), Objective: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, 5, now)
			}
			for i := range n {
				push(i)
			}
			i := n
			b.ReportAllocs()
			for b.Loop() {
				i++
				push(i)
				q.Pop(now)
			}
		})
	}
}
