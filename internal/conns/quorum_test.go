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

// TestJudge guards against a target that is judged failed because one of its
// connections went silent, and against one that is not although new
// connections fail too.
func TestJudge(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		r.target.Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{NoAnswer: true} }
		other := r.get(t)
		fail := func() {
			c := r.get(t)
			if other != nil {
				r.pools.Put(other)
				other = nil
			}
			c.Start(ident.Position{}, 0)
			c.SetDeadline(time.Now().Add(time.Second))
			_, err := c.Exec("SELECT 1")
			is.Equal(retry.OutcomeOf(err), retry.Unknown)
			r.pools.Put(c)
			synctest.Wait()
		}
		failed := func() bool {
			g, _ := r.table.Group("g")
			return !g.Targets[0].FailedAt.IsZero()
		}
		fail()
		is.True(!failed())
		_, suspects := r.counts()
		is.Equal(suspects, 0)
		_, idle := r.pools.Size("g", "a")
		is.Equal(idle, 0) // the other connection may be silent too
		c := r.get(t)
		r.setDown(true)
		c.Start(ident.Position{}, 0)
		c.SetDeadline(time.Now().Add(time.Second))
		_, _ = c.Exec("SELECT 1")
		r.pools.Put(c)
		synctest.Wait()
		is.True(failed())
		_, suspects = r.counts()
		is.Equal(suspects, 1)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		g, _ := r.table.Group("g")
		is.True(time.Since(g.Targets[0].FailedAt) < 2*time.Second) // probed again and again
		r.setDown(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.True(!failed())
		since := r.pools.Load("g", "a").ReturnedAt
		is.True(!since.IsZero()) // slow start
		time.Sleep(time.Minute)
		is.Equal(r.pools.Load("g", "a").ReturnedAt, since)
	})
}

// TestWait guards against a commit that is acknowledged before a majority has
// it, and against the quorum of a later term that is taken for its own.
func TestWait(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		pos := ident.Position{Term: 1, Index: 5}
		r.target.HoldQuorum()
		done := make(chan error, 1)
		wait := func() {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			done <- r.pools.WaitForQuorum(ctx, "g", pos)
		}
		go wait()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(done), 0)
		r.target.SetQuorum(pos)
		is.NoErr(<-done)

		pos.Index = 6
		go wait()
		is.True(Is(<-done, KindDeadline))
		r.target.SetQuorum(ident.Position{Term: 2, Index: 9})
		go wait()
		is.True(Is(<-done, KindSuperseded))
	})
}

// TestWaitPromotion guards against a wait that goes on until the deadline
// although the primary was replaced.
func TestWaitPromotion(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		r.target.HoldQuorum()
		done := make(chan error, 1)
		go func() { done <- r.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 1, Index: 5}) }()
		time.Sleep(time.Second)
		r.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "a"})
		is.True(Is(<-done, KindSuperseded))
	})
}

// TestWaitReconnect guards against a quorum listener that stays with a
// connection that was cut.
func TestWaitReconnect(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		r.target.HoldQuorum()
		done := make(chan error, 1)
		go func() { done <- r.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 1, Index: 5}) }()
		time.Sleep(100 * time.Millisecond)
		r.target.CloseConns()
		r.target.SetQuorum(ident.Position{Term: 1, Index: 5})
		is.NoErr(<-done)
	})
}

// TestWatch guards against a slow read that is interrupted although its target
// works, and against one that waits for its deadline at a target that does not.
func TestWatch(t *testing.T) {
	for name, test := range map[string]struct {
		down bool
		took time.Duration
	}{"slow": {false, 3 * time.Second}, "dead": {true, 550 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I, r *rig) {
				r.target.Handle = func(*wiretest.Call) wiretest.Reply {
					time.Sleep(3 * time.Second)
					return wiretest.RowsReply("1")
				}
				c := r.get(t)
				r.setDown(test.down)
				c.Start(ident.Position{}, 0)
				start := time.Now()
				stop := r.pools.WatchRead(c)
				_, err := c.Exec("SELECT 1")
				stop()
				is.Equal(err != nil, test.down)
				is.Equal(time.Since(start), test.took)
				r.pools.Put(c)
				dials, _ := r.counts()
				is.Equal(dials, map[bool]int{false: 4, true: 1}[test.down]) // one probe a second
				time.Sleep(3 * time.Second)                                 // until the target has answered
			})
		})
	}
}

// TestWatchWrite guards against a write that waits for its deadline at a
// primary that was replaced, and against one that is given up before.
func TestWatchWrite(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		var answer atomic.Int64
		answer.Store(int64(3 * time.Second))
		r.target.Handle = func(*wiretest.Call) wiretest.Reply {
			time.Sleep(time.Duration(answer.Load()))
			return wiretest.WriteReply()
		}
		write := func() (time.Duration, error) {
			c := r.get(t)
			defer r.pools.Put(c)
			start := time.Now()
			defer r.pools.WatchWrite(c)()
			_, err := c.Exec("INSERT INTO t VALUES (1)")
			return time.Since(start), err
		}
		took, err := write()
		is.NoErr(err) // slow, but not replaced
		is.Equal(took, 3*time.Second)
		time.AfterFunc(time.Second, func() { r.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "a"}) })
		took, err = write()
		is.Equal(retry.OutcomeOf(err), retry.Unknown)
		is.True(took > time.Second && took < 2*time.Second)
		time.Sleep(3 * time.Second) // until the target has answered
		answer.Store(int64(1250 * time.Millisecond))
		time.AfterFunc(time.Second, func() { r.table.Learn(topo.Hint{Group: "g", Term: 3, Primary: "a"}) })
		_, err = write()
		is.NoErr(err) // soon enough to tell its position
	})
}
