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

// write runs a statement as a session does; it returns the time taken.
func (r *rig) write(c *Conn) (time.Duration, error) {
	start := time.Now()
	c.StartWrite()
	c.SetDeadline(start.Add(statementDeadline))
	defer r.pools.WatchWrite(c)()
	_, err := c.Exec("INSERT INTO t VALUES (1)")
	return time.Since(start), err
}

func four(c *Config) { c.ConnLimit = func(topo.Target) int { return 4 } }

// TestLostPath guards against a statement that waits for its whole deadline on
// a connection that the network has lost, and against idle connections of the
// same time that are handed out after that.
func TestLostPath(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
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
	}, four)
}

// TestLostNewer guards against the loss of a new idle connection when the
// statements that met the silence give their connections back.
func TestLostNewer(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
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
	}, four)
}

// TestLostWithoutIdle guards against a deadline that is waited for when no
// connection is idle: the listener for the quorum shows the loss.
func TestLostWithoutIdle(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
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
	}, four)
}

// TestSlow guards against a statement that is interrupted although its target
// lives: one whose neighbours answer, one without neighbours, and one in the
// same place as an idle connection that failed by itself.
func TestSlow(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, r *rig){
		"idle neighbour": func(t *testing.T, r *rig) { r.pools.Put(r.get(t)) },
		"alone":          func(*testing.T, *rig) {},
		"listener": func(t *testing.T, r *rig) {
			_ = r.pools.WaitForQuorum(t.Context(), "g", ident.Position{Term: 1, Index: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I, r *rig) {
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
				is.Equal(after, before) // neighbours that answer need no comparison
			}, four)
		})
	}
}

// TestStalledTarget guards against a write whose outcome is given up because
// its target, and not the path to it, is silent.
func TestStalledTarget(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		a, b := r.get(t), r.get(t)
		r.pools.Put(b)
		r.target.HangConns()
		r.setDown(true)
		took, err := r.write(a)
		is.True(Is(err, KindConnFailed))
		is.Equal(took, statementDeadline)
		r.pools.Put(a)
		synctest.Wait()
	}, four)
}

// TestLostBefore guards against the interruption of a connection that was
// opened after the silent neighbour was last heard, or that answered since.
func TestLostBefore(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		old := r.get(t)
		r.pools.Put(old)
		time.Sleep(time.Second)
		old = r.get(t)
		young, err := r.pools.Get(context.Background(), "g", "a", "other")
		is.NoErr(err)
		l := old.pool
		l.lose(finding{before: old.opened, asked: r.pools.elapsed()})
		is.True(l.lost(old))
		is.True(!l.lost(young))
		time.Sleep(time.Second)
		_, err = old.Exec("SELECT 1")
		is.NoErr(err)
		is.True(!l.lost(old))
		r.pools.Put(old)
		r.pools.Put(young)
	}, four)
}
