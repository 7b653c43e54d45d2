package conns

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/wiretest"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
	"chervilspan.example/pkg/topo"
)

// statementDeadline is the deadline of the statements of these tests.
const statementDeadline = 5 * time.Second

// write runs a write as a session does; it returns the time taken.
func (r *harness) write(c *Conn) (time.Duration, error) {
	start := time.Now()
	c.StartWrite()
	c.SetDeadline(start.Add(statementDeadline))
	defer r.pools.WatchWrite(c)()
	_, err := c.Exec("INSERT INTO t VALUES (1)")
	return time.Since(start), err
}

func limitFour(c *Config) { c.ConnLimit = func(topo.Target) int { return 4 } }

// TestLostPath guards against a statement that waits until its deadline on a
// connection whose network path is lost, and against the later use of idle
// connections of the same age.
func TestLostPath(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *harness) {
		a, b, c := r.get(t), r.get(t), r.get(t)
		for _, c := range []*Conn{a, b, c} {
			_, err := r.write(c)
			is.NoErr(err)
		}
		r.pools.Put(b)
		r.pools.Put(c)
		r.target.HangConns()
		took, err := r.write(a)
		is.True(Is(err, KindConnFailed))
		is.Equal(retry.OutcomeOf(err), retry.Unknown)
		is.True(took < time.Second)
		_, idle := r.pools.Size("g", "a")
		is.Equal(idle, 0)
		r.pools.Put(a)
		d := r.get(t)
		took, err = r.write(d)
		is.NoErr(err)
		is.Equal(took, time.Duration(0))
		r.pools.Put(d)
		open, idle := r.pools.Size("g", "a")
		is.Equal([2]int{open, idle}, [2]int{1, 1})
	}, limitFour)
}

// TestNewIdleConnKept guards against the closing of a new idle connection when the
// statements that failed on silent connections put those back.
func TestNewIdleConnKept(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *harness) {
		a, b, c := r.get(t), r.get(t), r.get(t)
		r.pools.Put(c)
		r.target.HangConns()
		done := make(chan error)
		go func() {
			_, err := r.write(b)
			done <- err
		}()
		_, err := r.write(a)
		is.True(err != nil)
		is.True(<-done != nil)
		r.pools.Put(a)
		d := r.get(t)
		r.pools.Put(d)
		r.pools.Put(b)
		is.Equal(r.get(t), d)
	}, limitFour)
}

// TestLostWithoutIdle guards against a statement that waits until its deadline
// because no connection is idle: then the quorum listener detects the lost path.
func TestLostWithoutIdle(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *harness) {
		c := r.get(t)
		_, err := r.write(c)
		is.NoErr(err)
		is.NoErr(r.pools.WaitForQuorum(t.Context(), "g", c.Position()))
		time.Sleep(time.Second)
		r.target.HangConns()
		took, err := r.write(c)
		is.True(Is(err, KindConnFailed))
		is.True(took < 1500*time.Millisecond)
		r.pools.Put(c)
	}, limitFour)
}

// TestSlowStatement guards against the interruption of a slow statement whose
// target is alive: beside an idle connection that answers, without any other
// connection, and beside a quorum listener that answers.
func TestSlowStatement(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, r *harness){
		"idle connection": func(t *testing.T, r *harness) { r.pools.Put(r.get(t)) },
		"no other":        func(*testing.T, *harness) {},
		"listener": func(t *testing.T, r *harness) {
			_ = r.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 1, Index: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I, r *harness) {
				c := r.get(t)
				prepare(t, r)
				before, _ := r.counts()
				r.target.Handle = func(*wiretest.Call) wiretest.Reply {
					time.Sleep(4 * time.Second)
					return wiretest.WriteReply()
				}
				took, err := r.write(c)
				is.NoErr(err)
				is.Equal(took, 4*time.Second)
				r.pools.Put(c)
				after, _ := r.counts()
				is.Equal(after, before) // a connection that answers needs no comparison with a new one
			}, limitFour)
		})
	}
}

// TestStalledTarget guards against a write that is interrupted, with an unknown
// outcome, because its target is silent while the path to it is not lost.
func TestStalledTarget(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *harness) {
		a, b := r.get(t), r.get(t)
		r.pools.Put(b)
		r.target.HangConns()
		r.setDown(true)
		took, err := r.write(a)
		is.True(Is(err, KindConnFailed))
		is.Equal(took, statementDeadline)
		r.pools.Put(a)
		synctest.Wait()
	}, limitFour)
}

// TestLostConns guards against the interruption of a connection that was opened
// after the silent one was last heard, or that answered since.
func TestLostConns(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *harness) {
		old := r.get(t)
		r.pools.Put(old)
		time.Sleep(time.Second)
		old = r.get(t)
		young, err := r.pools.Get(context.Background(), "g", "a", "other")
		is.NoErr(err)
		l := old.pool
		l.recordPathLoss(pathLoss{lastHeard: old.openedAt, askedAt: r.pools.elapsed()})
		is.True(l.isLost(old))
		is.True(!l.isLost(young))
		time.Sleep(time.Second)
		_, err = old.Exec("SELECT 1")
		is.NoErr(err)
		is.True(!l.isLost(old))
		r.pools.Put(old)
		r.pools.Put(young)
	}, limitFour)
}
