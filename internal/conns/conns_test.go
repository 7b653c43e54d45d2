package conns

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"chervilspan.example/internal/wiretest"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/retry"
	"chervilspan.example/pkg/topo"
)

// rig has pools in front of one scripted target on in-memory connections, so
// that a test's clock governs all time.
type rig struct {
	table  topo.Table
	target *wiretest.Target
	pools  *Pools

	mu       sync.Mutex
	down     bool
	dials    int
	suspects int
}

func newRig(change ...func(*Config)) *rig {
	r := &rig{target: wiretest.New("a")}
	r.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{
		"a": {Address: "10.0.0.1:5432", Connections: 2},
	}}}})
	r.table.Learn(topo.Hint{Group: "g", Term: 1, Primary: "a"})
	cfg := Config{User: "proxy", Groups: &r.table, Dial: r.dial, SuspectPrimary: func(ident.Group) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.suspects++
	}}
	for _, f := range change {
		f(&cfg)
	}
	r.pools = New(cfg)
	return r
}

func (r *rig) dial(context.Context, string, string) (net.Conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, errors.New("no route to host")
	}
	r.dials++
	ours, theirs := net.Pipe()
	go r.target.ServeConn(theirs)
	return ours, nil
}

func (r *rig) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// counts returns the number of connections dialled and of suspicions.
func (r *rig) counts() (dials, suspects int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dials, r.suspects
}

func (r *rig) get(t *testing.T) *Conn {
	t.Helper()
	c, err := r.pools.Get(t.Context(), "g", "a", "db")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// bubble runs a test with a paused clock.
func bubble(t *testing.T, f func(t *testing.T, is *is.I, r *rig), change ...func(*Config)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(change...)
		defer r.pools.Close()
		defer r.target.CloseConns()
		f(t, is.New(t), r)
	})
}

// TestReuse guards against a connection that two transactions share, and
// against one that is opened although another is idle.
func TestReuse(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		c := r.get(t)
		v, err := c.Exec("SELECT 1")
		is.NoErr(err)
		is.Equal(v, []string{"1"})
		d := r.get(t)
		is.True(c != d)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = r.pools.Get(ctx, "g", "a", "db")
		is.True(Is(err, KindWaitTimeout)) // two are allowed
		is.Equal(retry.OutcomeOf(err), retry.NotRun)
		r.pools.Put(c)
		is.Equal(r.get(t), c)
		r.pools.Put(c)
		r.pools.Put(d)
		open, idle := r.pools.Size("g", "a")
		is.Equal([2]int{open, idle}, [2]int{2, 2})
		time.Sleep(time.Minute)
		synctest.Wait()
		open, _ = r.pools.Size("g", "a")
		is.Equal(open, 0) // closed after 30 s without use
	})
}

// TestWaiting guards against a caller that waits for a connection for ever
// although one came free.
func TestWaiting(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		c := r.get(t)
		got := make(chan *Conn)
		go func() {
			d, _ := r.pools.Get(t.Context(), "g", "a", "other")
			got <- d
		}()
		synctest.Wait()
		r.pools.Put(c)
		d := <-got
		is.True(d != c) // another database needs another connection
		r.pools.Put(d)
	}, func(c *Config) { c.ConnLimit = func(topo.Target) int { return 1 } })
}

// TestKeep guards against a VM that goes on holding more than its part of a
// target's connections after it was busy.
func TestKeep(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		a, b, c := r.get(t), r.get(t), r.get(t)
		r.pools.Put(a)
		r.pools.Put(b)
		time.Sleep(extraIdle + 2*sweepEvery)
		open, idle := r.pools.Size("g", "a")
		is.Equal(open, 1) // the one in use
		is.Equal(idle, 0)
		r.pools.Put(c)
		time.Sleep(extraIdle + 2*sweepEvery)
		open, idle = r.pools.Size("g", "a")
		is.Equal(open, 1)
		is.Equal(idle, 1)
	}, func(c *Config) {
		c.ConnLimit = func(topo.Target) int { return 3 }
		c.ConnShare = func(topo.Target) int { return 1 }
	})
}

// TestDiscard guards against the reuse of a connection on which an answer is
// outstanding or a transaction open, whose deadline passed, that was sent a
// cancel request, or that is of an earlier term.
func TestDiscard(t *testing.T) {
	for name, spoil := range map[string]func(r *rig, c *Conn){
		"outstanding answer": func(_ *rig, c *Conn) {
			c.Send(&pgproto3.Query{String: "SELECT 1"})
			_ = c.Flush()
		},
		"unsynced messages": func(_ *rig, c *Conn) {
			c.Send(&pgproto3.Parse{Query: "SELECT 1"})
			c.Send(&pgproto3.Flush{})
			_ = c.Flush()
			_, _ = c.Receive()
		},
		"open transaction": func(_ *rig, c *Conn) { _, _ = c.Exec("BEGIN") },
		"passed deadline": func(r *rig, c *Conn) {
			r.target.Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{NoAnswer: true} }
			c.SetDeadline(time.Now().Add(time.Second))
			_, _ = c.Exec("SELECT 1")
		},
		"cancel request": func(_ *rig, c *Conn) { c.BeginCancel()() },
		"new term":       func(r *rig, _ *Conn) { r.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "a"}) },
		"taint":          func(_ *rig, c *Conn) { c.CloseOnPut() },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, is *is.I, r *rig) {
				c := r.get(t)
				spoil(r, c)
				r.pools.Put(c)
				synctest.Wait()
				_, idle := r.pools.Size("g", "a")
				is.Equal(idle, 0)
				is.True(r.get(t) != c)
			})
		})
	}
}

// TestIdleTerm guards against an idle connection of a former term that serves
// after a promotion.
func TestIdleTerm(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		c := r.get(t)
		r.pools.Put(c)
		r.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "a"})
		is.True(r.get(t) != c)
	})
}

// TestFloor guards against a read that runs on a target behind the floor, and
// against a floor that is set again for each statement.
func TestFloor(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		c := r.get(t)
		ask := func(floor ident.Position) error {
			c.Start(floor, 0)
			_, err := c.Exec("SELECT 1")
			return err
		}
		is.NoErr(ask(ident.Position{Term: 1, Index: 1}))
		is.True(ask(ident.Position{Term: 1, Index: 5}) != nil) // refused by the target
		is.Equal(len(r.target.Calls()), 1)
		r.target.SetApplied(ident.Position{Term: 1, Index: 9})
		is.NoErr(ask(ident.Position{Term: 1, Index: 5}))
		is.NoErr(ask(ident.Position{Term: 1, Index: 7}))
		is.Equal(c.floor, ident.Position{Term: 1, Index: 9}) // covers later sessions
		is.NoErr(ask(ident.Position{Term: 1, Index: 8}))
		is.Equal(c.Position(), ident.Position{Term: 1, Index: 9})
		g, _ := r.table.Group("g")
		is.Equal(g.Targets[0].Applied, ident.Position{Term: 1, Index: 9})
	})
}

// TestStatements guards against prepared statements that pile up on a
// connection, and against one that is thought to be there but is not.
func TestStatements(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, r *rig) {
		c := r.get(t)
		prepare := func(name string) {
			c.AddPrepared(name)
			c.Send(&pgproto3.Parse{Name: name, Query: "SELECT 1"})
			c.Send(&pgproto3.Sync{})
			is.NoErr(c.Flush())
			for {
				m, err := c.Receive()
				is.NoErr(err)
				switch m.(type) {
				case *pgproto3.ErrorResponse:
					t.Fatalf("the target refused the Parse of %s", name)
				case *pgproto3.ReadyForQuery:
					return
				}
			}
		}
		for _, name := range []string{"s1", "s2", "s3"} {
			prepare(name)
		}
		is.True(!c.Prepared("s1"))
		is.True(c.Prepared("s3"))
		c.Start(ident.Position{}, 0)
		v, err := c.Exec("SELECT 1") // hides the answer to the Close of s1
		is.NoErr(err)
		is.Equal(v, []string{"1"})
		prepare("s1") // would fail if the target still had it
		c.RemovePrepared("s3")
		is.True(!c.Prepared("s3"))
	}, func(c *Config) { c.StatementLimit = 2 })
}

// TestAlive guards against an idle connection that the target has closed, or on
// which something arrived outside a statement, and that is used all the same.
// It needs real sockets; a connection that stays alive makes it run for ever.
func TestAlive(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	for _, end := range []func(net.Conn){
		func(c net.Conn) { _ = c.Close() },
		func(c net.Conn) { _, _ = c.Write([]byte{0}) },
	} {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		d, err := l.Accept()
		is.NoErr(err)
		is.True(alive(c))
		end(d)
		for alive(c) {
			runtime.Gosched()
		}
		_, _ = c.Close(), d.Close()
	}
}
