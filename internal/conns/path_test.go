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
func (fx *fixture) write(c *Conn) (time.Duration, error) {
	start := time.Now()
	c.StartWrite()
	c.SetDeadline(start.Add(statementDeadline))
	defer fx.pools.WatchWrite(c)()
	_, err := c.Exec("INSERT INTO t VALUES (1)")
	return time.Since(start), err
}

func limitFour(c *Config) { c.ConnLimit = func(topo.Target) int { return 4 } }

// TestLostPath guards against a statement that waits until its deadline on a
// connection whose network path is lost, and against the later use of idle
// connections of the same age.
func TestLostPath(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		a, b, c := fx.get(t), fx.get(t), fx.get(t)
		for _, c := range []*Conn{a, b, c} {
			_, err := fx.write(c)
			is.NoErr(err)
		}
		fx.pools.Put(b)
		fx.pools.Put(c)
		fx.target.HangConns()
		took, err := fx.write(a)
		is.True(Is(err, KindConnFailed))
		is.Equal(retry.OutcomeOf(err), retry.Unknown)
		is.True(took < time.Second)
		_, idle := fx.pools.Size("g", "a")
		is.Equal(idle, 0)
		fx.pools.Put(a)
		d := fx.get(t)
		took, err = fx.write(d)
		is.NoErr(err)
		is.Equal(took, time.Duration(0))
		fx.pools.Put(d)
		open, idle := fx.pools.Size("g", "a")
		is.Equal([2]int{open, idle}, [2]int{1, 1})
	}, limitFour)
}

// TestNewIdleConnKept guards against the closing of a new idle connection when the
// statements that failed on silent connections put those back.
func TestNewIdleConnKept(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		a, b, c := fx.get(t), fx.get(t), fx.get(t)
		fx.pools.Put(c)
		fx.target.HangConns()
		done := make(chan error)
		go func() {
			_, err := fx.write(b)
			done <- err
		}()
		_, err := fx.write(a)
		is.True(err != nil)
		is.True(<-done != nil)
		fx.pools.Put(a)
		d := fx.get(t)
		fx.pools.Put(d)
		fx.pools.Put(b)
		is.Equal(fx.get(t), d)
	}, limitFour)
}

// TestLostWithoutIdle guards against a statement that waits until its deadline
// because no connection is idle: then the quorum listener detects the lost path.
func TestLostWithoutIdle(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.get(t)
		_, err := fx.write(c)
		is.NoErr(err)
		is.NoErr(fx.pools.WaitForQuorum(t.Context(), "g", c.Position()))
		time.Sleep(time.Second)
		fx.target.HangConns()
		took, err := fx.write(c)
		is.True(Is(err, KindConnFailed))
		is.True(took < 1500*time.Millisecond)
		fx.pools.Put(c)
	}, limitFour)
}

// TestSlowStatement guards against the interruption of a slow statement whose
// target is alive: beside an idle connection that answers, without any other
// connection, and beside a quorum listener that answers.
func TestSlowStatement(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, fx *fixture){
		"idle connection": func(t *testing.T, fx *fixture) { fx.pools.Put(fx.get(t)) },
		"no other":        func(*testing.T, *fixture) {},
		"listener": func(t *testing.T, fx *fixture) {
			_ = fx.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 1, Index: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				c := fx.get(t)
				prepare(t, fx)
				before, _ := fx.counts()
				fx.target.Handle = func(*wiretest.Call) wiretest.Reply {
					time.Sleep(4 * time.Second)
					return wiretest.WriteReply()
				}
				took, err := fx.write(c)
				is.NoErr(err)
				is.Equal(took, 4*time.Second)
				fx.pools.Put(c)
				after, _ := fx.counts()
				is.Equal(after, before) // a connection that answers needs no comparison with a new one
			}, limitFour)
		})
	}
}

// TestStalledTarget guards against a write that is interrupted, with an unknown
// outcome, because its target is silent while the path to it is not lost.
func TestStalledTarget(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		a, b := fx.get(t), fx.get(t)
		fx.pools.Put(b)
		fx.target.HangConns()
		fx.setDown(true)
		took, err := fx.write(a)
		is.True(Is(err, KindConnFailed))
		is.Equal(took, statementDeadline)
		fx.pools.Put(a)
		synctest.Wait()
	}, limitFour)
}

// TestLostConns guards against the interruption of a connection that was opened
// after the silent one was last heard, or that answered since.
func TestLostConns(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		old := fx.get(t)
		fx.pools.Put(old)
		time.Sleep(time.Second)
		old = fx.get(t)
		young, err := fx.pools.Get(context.Background(), "g", "a", "other")
		is.NoErr(err)
		l := old.pool
		l.recordPathLoss(pathLoss{lastHeard: old.openedAt, askedAt: fx.pools.elapsed()})
		is.True(l.isLost(old))
		is.True(!l.isLost(young))
		time.Sleep(time.Second)
		_, err = old.Exec("SELECT 1")
		is.NoErr(err)
		is.True(!l.isLost(old))
		fx.pools.Put(old)
		fx.pools.Put(young)
	}, limitFour)
}
