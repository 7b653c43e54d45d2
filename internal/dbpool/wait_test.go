package dbpool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
)

func newWaiter(ws string) *waiter {
	return &waiter{ws: ident.Workspace(ws), turn: make(chan struct{}, 1), since: time.Now()}
}

// TestLateTurn guards against a pool that hangs for good: a request whose timer
// fired just before its turn came waits again, and the next turn finds the former
// one not taken.
func TestLateTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pool{}
		w := newWaiter("w")
		p.enqueue(w)
		p.wake("w")
		p.enqueue(w)
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.wake("w")
		}()
		synctest.Wait()
		select {
		case <-done:
		default:
			<-w.turn
			t.Fatal("the second turn waits for the first one to be taken")
		}
		is.Equal(len(p.wait), 0)
	})
}

// TestOthersWaitToo guards against a workspace whose connections always go to
// its own requests while those of others wait to the end of their time.
func TestOthersWaitToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pool{}
		quiet, loud := newWaiter("quiet"), newWaiter("loud")
		p.enqueue(quiet)
		p.enqueue(loud)
		p.wake("loud")
		is.Equal(p.wait, []*waiter{quiet}) // a connection of its own workspace came back
		time.Sleep(time.Second)
		p.enqueue(newWaiter("loud"))
		p.wake("loud")
		is.Equal(len(p.wait), 1)
		is.True(p.wait[0] != quiet)
	})
}
