package relay

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// database simulates a database with a single slot behind a readQueue.
type database struct {
	queue readQueue
	slot  chan struct{}
}

func newDatabase() *database { return &database{slot: make(chan struct{}, 1)} }

// run queues a statement of a class for at most wait, and then occupies the slot
// for the time work. It returns whether the statement ran.
func (db *database) run(class ident.Class, ws ident.Workspace, wait, work time.Duration) bool {
	sched := dbop.Scheduling{Class: class, Weight: 1, MaxWait: wait}
	if !db.queue.acquire(1, sched, ws) {
		return false
	}
	start := time.Now()
	db.slot <- struct{}{}
	time.Sleep(work)
	<-db.slot
	db.queue.release(sched, ws, time.Since(start))
	return true
}

// TestShortBesideLong guards against short statements that wait behind long ones
// while the demand exceeds the capacity of the slots.
func TestShortBesideLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		db := newDatabase()
		var mu sync.Mutex
		ran, asked := map[ident.Class]int{}, map[ident.Class]int{}
		var wg sync.WaitGroup
		for i := range 400 {
			class, work := ident.Class("long"), 50*time.Millisecond
			if i%2 == 0 {
				class, work = "short", 5*time.Millisecond
			}
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 12500 * time.Microsecond)
				ok := db.run(class, "w", 400*time.Millisecond, work)
				mu.Lock()
				defer mu.Unlock()
				asked[class]++
				if ok {
					ran[class]++
				}
			})
		}
		wg.Wait()
		is.True(ran["short"] >= asked["short"]*95/100)
		is.True(ran["long"] >= asked["long"]*30/100)
	})
}

// TestRefusedAtOnce guards against a statement that waits although its turn can't
// come in time, and against a busy workspace that delays the turns of others.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		db := newDatabase()
		is.True(db.run("c", "loud", time.Second, 100*time.Millisecond)) // the queue now knows the service time
		is.True(db.run("c", "quiet", time.Second, 100*time.Millisecond))
		var wg sync.WaitGroup
		for range 12 {
			wg.Go(func() { db.run("c", "loud", time.Second, 100*time.Millisecond) })
		}
		time.Sleep(time.Millisecond)
		start := time.Now()
		is.True(!db.run("c", "loud", 300*time.Millisecond, 100*time.Millisecond))
		is.Equal(time.Since(start), time.Duration(0))
		is.True(db.run("c", "quiet", time.Second, 100*time.Millisecond))
		wg.Wait()
	})
}

// TestInTransaction guards against a statement of an open transaction that waits
// in the queue behind statements that may wait for its locks.
func TestInTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		db := newDatabase()
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() { db.run("c", "w", 10*time.Second, 100*time.Millisecond) })
		}
		time.Sleep(time.Millisecond)
		is.True(db.queue.waitingCount() > 0)
		start := time.Now()
		is.True(db.queue.acquire(1, dbop.Scheduling{Class: "c"}, "w"))
		is.Equal(time.Since(start), time.Duration(0))
		db.queue.release(dbop.Scheduling{Class: "c"}, "w", time.Millisecond)
		wg.Wait()
		is.Equal(db.queue.runningCount(), 0)
	})
}
