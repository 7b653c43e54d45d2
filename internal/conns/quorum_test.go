package conns

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/wiretest"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
	"chervilspan.example/pkg/topo"
)

// TestTargetFailure guards against a target that counts as failed because one of
// its connections went silent, and against one that does not although new
// connections fail too.
func TestTargetFailure(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.target.Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{NoAnswer: true} }
		other := fx.get(t)
		fail := func() {
			c := fx.get(t)
			if other != nil {
				fx.pools.Put(other)
				other = nil
			}
			c.Start(ident.Position{}, 0)
			c.SetDeadline(time.Now().Add(time.Second))
			_, err := c.Exec("SELECT 1")
			is.Equal(retry.OutcomeOf(err), retry.Unknown)
			fx.pools.Put(c)
			synctest.Wait()
		}
		failed := func() bool {
			g, _ := fx.table.Group("g")
			return !g.Targets[0].FailedAt.IsZero()
		}
		fail()
		is.True(!failed())
		_, suspicions := fx.counts()
		is.Equal(suspicions, 0)
		_, idle := fx.pools.Size("g", "a")
		is.Equal(idle, 0) // the other connection may be silent too
		c := fx.get(t)
		fx.setDown(true)
		c.Start(ident.Position{}, 0)
		c.SetDeadline(time.Now().Add(time.Second))
		_, _ = c.Exec("SELECT 1")
		fx.pools.Put(c)
		synctest.Wait()
		is.True(failed())
		_, suspicions = fx.counts()
		is.Equal(suspicions, 1)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		g, _ := fx.table.Group("g")
		is.True(time.Since(g.Targets[0].FailedAt) < 2*time.Second) // probed repeatedly
		fx.setDown(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.True(!failed())
		since := fx.pools.Load("g", "a").ReturnedAt
		is.True(!since.IsZero()) // slow start
		time.Sleep(time.Minute)
		is.Equal(fx.pools.Load("g", "a").ReturnedAt, since)
	})
}

// TestWaitForQuorum guards against a commit that is acknowledged before a majority
// holds it, and against a quorum position of a later term that is taken for one of
// its own term.
func TestWaitForQuorum(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		pos := ident.Position{Term: 1, Index: 5}
		fx.target.HoldQuorum()
		done := make(chan error, 1)
		wait := func() {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			done <- fx.pools.WaitForQuorum(ctx, "g", pos)
		}
		go wait()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(done), 0)
		fx.target.SetQuorum(pos)
		is.NoErr(<-done)

		pos.Index = 6
		go wait()
		is.True(Is(<-done, KindDeadline))
		fx.target.SetQuorum(ident.Position{Term: 2, Index: 9})
		go wait()
		is.True(Is(<-done, KindSuperseded))
	})
}

// TestWaitPromotion guards against a wait that continues until the deadline
// although the primary was replaced.
func TestWaitPromotion(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.target.HoldQuorum()
		done := make(chan error, 1)
		go func() { done <- fx.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 1, Index: 5}) }()
		time.Sleep(time.Second)
		fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "a"})
		is.True(Is(<-done, KindSuperseded))
	})
}

// TestWaitReconnect guards against a quorum listener that is not opened again
// after its connection was closed.
func TestWaitReconnect(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		fx.target.HoldQuorum()
		done := make(chan error, 1)
		go func() { done <- fx.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 1, Index: 5}) }()
		time.Sleep(100 * time.Millisecond)
		fx.target.CloseConns()
		fx.target.SetQuorum(ident.Position{Term: 1, Index: 5})
		is.NoErr(<-done)
	})
}

// TestWatchRead guards against a slow read that is interrupted although its
// target works, and against a read that waits until its deadline on a failed
// target.
func TestWatchRead(t *testing.T) {
	for name, test := range map[string]struct {
		down bool
		took time.Duration
	}{"slow": {false, 3 * time.Second}, "dead": {true, 550 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				fx.target.Handle = func(*wiretest.Call) wiretest.Reply {
					time.Sleep(3 * time.Second)
					return wiretest.RowsReply("1")
				}
				c := fx.get(t)
				fx.setDown(test.down)
				c.Start(ident.Position{}, 0)
				start := time.Now()
				stop := fx.pools.WatchRead(c)
				_, err := c.Exec("SELECT 1")
				stop()
				is.Equal(err != nil, test.down)
				is.Equal(time.Since(start), test.took)
				fx.pools.Put(c)
				dials, _ := fx.counts()
				is.Equal(dials, map[bool]int{false: 4, true: 1}[test.down]) // one probe a second
				time.Sleep(3 * time.Second)                                 // until the target has answered
			})
		})
	}
}

// TestWatchWrite guards against a write that waits until its deadline on a
// primary that was replaced, and against one that is interrupted although the
// answer arrives within the grace period.
func TestWatchWrite(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		var answer atomic.Int64
		answer.Store(int64(3 * time.Second))
		fx.target.Handle = func(*wiretest.Call) wiretest.Reply {
			time.Sleep(time.Duration(answer.Load()))
			return wiretest.WriteReply()
		}
		write := func() (time.Duration, error) {
			c := fx.get(t)
			defer fx.pools.Put(c)
			start := time.Now()
			defer fx.pools.WatchWrite(c)()
			_, err := c.Exec("INSERT INTO t VALUES (1)")
			return time.Since(start), err
		}
		took, err := write()
		is.NoErr(err) // slow, but not replaced
		is.Equal(took, 3*time.Second)
		time.AfterFunc(time.Second, func() { fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "a"}) })
		took, err = write()
		is.Equal(retry.OutcomeOf(err), retry.Unknown)
		is.True(took > time.Second && took < 2*time.Second)
		time.Sleep(3 * time.Second) // until the target has answered
		answer.Store(int64(1250 * time.Millisecond))
		time.AfterFunc(time.Second, func() { fx.table.Learn(topo.Hint{Group: "g", Term: 3, Primary: "a"}) })
		_, err = write()
		is.NoErr(err) // soon enough to tell its position
	})
}
