package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/dbop"
)

// TestCallerGone guards against a waiting request that stays in the lender's queue after
// its caller has disconnected, and against a cancelled stream that is used again.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewClient(Config{})
		k := pressureKey{"a", "lender"}
		ctx, cancel := context.WithCancel(context.Background())
		l := &loan{client: c, cancel: cancel}
		var gone atomic.Bool
		sched := dbop.Scheduling{Ranked: true, Gone: gone.Load}
		is.True(c.watchCaller(l, k, sched) == nil) // no statement waits
		c.recordPressure(k, []uint32{1, 500})
		stop := c.watchCaller(l, k, sched)
		time.Sleep(time.Second / 2)
		is.True(stop()) // the turn came first
		gone.Store(true)
		time.Sleep(time.Second / 4)
		is.NoErr(ctx.Err())
		stop = c.watchCaller(l, k, sched)
		<-ctx.Done()
		is.True(!stop())
	})
}
