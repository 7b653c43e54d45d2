package dbpool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
)

func newWaiter(ws string) *waiter {
	return &waiter{ws: ident.Workspace(ws), wakeup: make(chan struct{}, 1), waitingSince: time.Now()}
}

// TestLateWakeup guards against a pool that blocks for ever: a waiter whose timer
// fires just before its wake-up arrives waits again, and the next wake-up finds
// the earlier one still in the channel.
func TestLateWakeup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pool{}
		w := newWaiter("w")
		p.enqueue(w)
		p.wakeNext("w")
		p.enqueue(w)
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.wakeNext("w")
		}()
		synctest.Wait()
		select {
		case <-done:
		default:
			<-w.wakeup
			t.Fatal("the second wake-up blocks until the first one is received")
		}
		is.Equal(len(p.waiters), 0)
	})
}

// TestStarvation guards against a busy workspace whose released connections always
// go to its own requests while requests of other workspaces wait until their
// deadlines.
func TestStarvation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pool{}
		quiet, loud := newWaiter("quiet"), newWaiter("loud")
		p.enqueue(quiet)
		p.enqueue(loud)
		p.wakeNext("loud")
		is.Equal(p.waiters, []*waiter{quiet}) // a connection of the workspace "loud" was released
		time.Sleep(time.Second)
		p.enqueue(newWaiter("loud"))
		p.wakeNext("loud")
		is.Equal(len(p.waiters), 1)
		is.True(p.waiters[0] != quiet)
	})
}
