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

// fixture has pools in front of one scripted target on in-memory connections, so
// that a test with a fake clock controls all timing.
type fixture struct {
	table  topo.Table
	target *wiretest.Target
	pools  *Pools

	mu         sync.Mutex
	down       bool
	dials      int
	suspicions int
}

func newFixture(options ...func(*Config)) *fixture {
	fx := &fixture{target: wiretest.New("a")}
	fx.table.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{
		"a": {Address: "10.0.0.1:5432", Connections: 2},
	}}}})
	fx.table.Learn(topo.Hint{Group: "g", Term: 1, Primary: "a"})
	cfg := Config{User: "proxy", Groups: &fx.table, Dial: fx.dial, SuspectPrimary: func(ident.Group) {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.suspicions++
	}}
	for _, f := range options {
		f(&cfg)
	}
	fx.pools = New(cfg)
	return fx
}

func (fx *fixture) dial(context.Context, string, string) (net.Conn, error) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	if fx.down {
		return nil, errors.New("no route to host")
	}
	fx.dials++
	ours, theirs := net.Pipe()
	go fx.target.ServeConn(theirs)
	return ours, nil
}

func (fx *fixture) setDown(down bool) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	fx.down = down
}

// counts returns the numbers of connections dialled and of suspicions reported.
func (fx *fixture) counts() (dials, suspicions int) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.dials, fx.suspicions
}

func (fx *fixture) get(t *testing.T) *Conn {
	t.Helper()
	c, err := fx.pools.Get(t.Context(), "g", "a", "db")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// withFixture runs a test in a synctest bubble, which has a fake clock.
func withFixture(t *testing.T, f func(t *testing.T, is *is.I, fx *fixture), options ...func(*Config)) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(options...)
		defer fx.pools.Close()
		defer fx.target.CloseConns()
		f(t, is.New(t), fx)
	})
}

// TestReuse guards against a connection that two transactions use at the same
// time, and against one that is opened although another is idle.
func TestReuse(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.get(t)
		v, err := c.Exec("SELECT 1")
		is.NoErr(err)
		is.Equal(v, []string{"1"})
		d := fx.get(t)
		is.True(c != d)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = fx.pools.Get(ctx, "g", "a", "db")
		is.True(Is(err, KindWaitTimeout)) // two are allowed
		is.Equal(retry.OutcomeOf(err), retry.NotRun)
		fx.pools.Put(c)
		is.Equal(fx.get(t), c)
		fx.pools.Put(c)
		fx.pools.Put(d)
		open, idle := fx.pools.Size("g", "a")
		is.Equal([2]int{open, idle}, [2]int{2, 2})
		time.Sleep(time.Minute)
		synctest.Wait()
		open, _ = fx.pools.Size("g", "a")
		is.Equal(open, 0) // closed after 30 s without use
	})
}

// TestGetWaits guards against a caller that waits for a connection forever
// although one was released.
func TestGetWaits(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.get(t)
		got := make(chan *Conn)
		go func() {
			d, _ := fx.pools.Get(t.Context(), "g", "a", "other")
			got <- d
		}()
		synctest.Wait()
		fx.pools.Put(c)
		d := <-got
		is.True(d != c) // another database needs another connection
		fx.pools.Put(d)
	}, func(c *Config) { c.ConnLimit = func(topo.Target) int { return 1 } })
}

// TestConnShare guards against a VM that keeps more than its share of a target's
// connections after a peak.
func TestConnShare(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		a, b, c := fx.get(t), fx.get(t), fx.get(t)
		fx.pools.Put(a)
		fx.pools.Put(b)
		time.Sleep(excessIdleTimeout + 2*sweepInterval)
		open, idle := fx.pools.Size("g", "a")
		is.Equal(open, 1) // the one in use
		is.Equal(idle, 0)
		fx.pools.Put(c)
		time.Sleep(excessIdleTimeout + 2*sweepInterval)
		open, idle = fx.pools.Size("g", "a")
		is.Equal(open, 1)
		is.Equal(idle, 1)
	}, func(c *Config) {
		c.ConnLimit = func(topo.Target) int { return 3 }
		c.ConnShare = func(topo.Target) int { return 1 }
	})
}

// TestDiscard guards against the reuse of a connection on which an answer is
// outstanding or a transaction is open, whose deadline passed, that was sent a
// cancel request, that was marked for closing, or that is of an earlier term.
func TestDiscard(t *testing.T) {
	for name, spoil := range map[string]func(fx *fixture, c *Conn){
		"outstanding answer": func(_ *fixture, c *Conn) {
			c.Send(&pgproto3.Query{String: "SELECT 1"})
			_ = c.Flush()
		},
		"unsynced messages": func(_ *fixture, c *Conn) {
			c.Send(&pgproto3.Parse{Query: "SELECT 1"})
			c.Send(&pgproto3.Flush{})
			_ = c.Flush()
			_, _ = c.Receive()
		},
		"open transaction": func(_ *fixture, c *Conn) { _, _ = c.Exec("BEGIN") },
		"passed deadline": func(fx *fixture, c *Conn) {
			fx.target.Handle = func(*wiretest.Call) wiretest.Reply { return wiretest.Reply{NoAnswer: true} }
			c.SetDeadline(time.Now().Add(time.Second))
			_, _ = c.Exec("SELECT 1")
		},
		"cancel request": func(_ *fixture, c *Conn) { c.BeginCancel()() },
		"new term":       func(fx *fixture, _ *Conn) { fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "a"}) },
		"taint":          func(_ *fixture, c *Conn) { c.CloseOnPut() },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
				c := fx.get(t)
				spoil(fx, c)
				fx.pools.Put(c)
				synctest.Wait()
				_, idle := fx.pools.Size("g", "a")
				is.Equal(idle, 0)
				is.True(fx.get(t) != c)
			})
		})
	}
}

// TestIdleTerm guards against an idle connection of an earlier term that is
// reused after a promotion.
func TestIdleTerm(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.get(t)
		fx.pools.Put(c)
		fx.table.Learn(topo.Hint{Group: "g", Term: 2, Primary: "a"})
		is.True(fx.get(t) != c)
	})
}

// TestFloor guards against a read that runs on a target behind the floor, and
// against a floor that is set again for each statement although the one in force
// covers it.
func TestFloor(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.get(t)
		ask := func(floor ident.Position) error {
			c.Start(floor, 0)
			_, err := c.Exec("SELECT 1")
			return err
		}
		is.NoErr(ask(ident.Position{Term: 1, Index: 1}))
		is.True(ask(ident.Position{Term: 1, Index: 5}) != nil) // refused by the target
		is.Equal(len(fx.target.Calls()), 1)
		fx.target.SetApplied(ident.Position{Term: 1, Index: 9})
		is.NoErr(ask(ident.Position{Term: 1, Index: 5}))
		is.NoErr(ask(ident.Position{Term: 1, Index: 7}))
		is.Equal(c.floor, ident.Position{Term: 1, Index: 9}) // covers later sessions
		is.NoErr(ask(ident.Position{Term: 1, Index: 8}))
		is.Equal(c.Position(), ident.Position{Term: 1, Index: 9})
		g, _ := fx.table.Group("g")
		is.Equal(g.Targets[0].Applied, ident.Position{Term: 1, Index: 9})
	})
}

// TestPreparedStatements guards against prepared statements that accumulate on a
// connection without limit, and against a record of one that the target does not
// have.
func TestPreparedStatements(t *testing.T) {
	withFixture(t, func(t *testing.T, is *is.I, fx *fixture) {
		c := fx.get(t)
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

// TestAlive guards against the reuse of an idle connection that the target has
// closed, or on which data arrived outside a statement. It needs real sockets. If
// alive wrongly keeps reporting true, the test does not end.
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
