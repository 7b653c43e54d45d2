package dbpool_test

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

func pools(c *linktest.Cluster, limit int) (*dbpool.Pools, *roster.Member) {
	p := &dbpool.Pools{Dialer: c, Roster: c.Roster(), ConnLimit: func(*roster.Member) int { return limit }}
	m, _ := c.Roster().Member("g", "a")
	return p, &m
}

func in(d time.Duration) time.Time { return time.Now().Add(d) }

// TestConnLimit guards against more connections than the VM's limit, and against a
// connection that serves two workspaces.
func TestConnLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 2)
		x, err := p.Get(in(time.Second), m, "w1", 0)
		is.NoErr(err)
		y, err := p.Get(in(time.Second), m, "w1", 0)
		is.NoErr(err)
		_, err = p.Get(in(100*time.Millisecond), m, "w1", 0)
		var e *dbpool.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, dbpool.KindWaitTimeout)
		x.Release(true)
		z, err := p.Get(in(time.Second), m, "w2", 0)
		is.NoErr(err)
		is.Equal(z.Workspace, ident.Workspace("w2"))
		is.Equal(c.OpenConns("a"), 2)
		is.Equal(c.ConnsByWorkspace("a"), map[ident.Workspace]int{"w1": 2, "w2": 1})
		y.Release(true)
		z.Release(true)
	})
}

// TestWaitInOrder guards against a request that keeps waiting after a connection
// was released, and against a later request that overtakes it.
func TestWaitInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 1)
		held, err := p.Get(in(time.Second), m, "w", 0)
		is.NoErr(err)
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() {
				conn, err := p.Get(in(10*time.Second), m, "w", 0)
				if err != nil {
					return
				}
				mu.Lock()
				order = append(order, i)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				conn.Release(true)
			})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		held.Release(true)
		wg.Wait()
		is.Equal(order, []int{0, 1, 2})
		is.Equal(c.OpenConns("a"), 1)
	})
}

// TestOutstandingAnswer guards against reuse of a connection that has an answer
// outstanding or a transaction open.
func TestOutstandingAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 4)
		conn, _ := p.Get(in(time.Second), m, "w", 0)
		c.Update("a", func(d *linktest.DB) { d.DroppedAnswers[dbop.Read] = 1 })
		_, err := conn.Do(in(time.Second), dbop.Statement{ID: "1", Kind: dbop.Read, Text: "READ x"})
		is.True(err != nil)
		conn.Release(true)
		is.Equal(c.OpenConns("a"), 0)
		conn, _ = p.Get(in(time.Second), m, "w", 0)
		_, err = conn.Do(in(time.Second), dbop.Statement{Kind: dbop.Begin})
		is.NoErr(err)
		conn.Release(true)
		is.Equal(c.OpenConns("a"), 0)
		conn, _ = p.Get(in(time.Second), m, "w", 0)
		_, err = conn.Do(in(time.Second), dbop.Statement{Kind: dbop.Begin})
		is.NoErr(err)
		conn.Rollback(in(time.Second))
		is.Equal(c.OpenConns("a"), 1)
	})
}

// TestTooMany guards against a request that fails at once because other VMs
// temporarily use up the connections of the database.
func TestTooMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 4)
		c.Update("a", func(d *linktest.DB) { d.MaxConns = 1 })
		held, err := p.Get(in(time.Second), m, "w", 0)
		is.NoErr(err)
		go func() {
			time.Sleep(300 * time.Millisecond)
			c.Update("a", func(d *linktest.DB) { d.MaxConns = 2 })
		}()
		conn, err := p.Get(in(time.Second), m, "w", 0)
		is.NoErr(err)
		conn.Release(true)
		held.Release(true)
	})
}

// TestOwner guards against a session that gets another idle connection than the
// one it used last, on which its session variables are already set.
func TestOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 4)
		const one, two dbpool.Owner = 1, 2
		x, _ := p.Get(in(time.Second), m, "w", one)
		y, _ := p.Get(in(time.Second), m, "w", two)
		x.Release(true)
		y.Release(true)
		again, err := p.Get(in(time.Second), m, "w", one)
		is.NoErr(err)
		is.True(again == x)
	})
}

// TestSweep guards against connections that stay open after the idle timeout or
// after the pools are closed.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a", "b")
		p, m := pools(c, 4)
		x, _ := p.Get(in(time.Second), m, "w", 0)
		x.Release(true)
		keep := func(ident.Group, ident.Target, string, int64) bool { return true }
		p.Sweep(keep)
		is.Equal(c.OpenConns("a"), 1)
		time.Sleep(30 * time.Second)
		p.Sweep(keep)
		is.Equal(c.OpenConns("a"), 0)
		x, _ = p.Get(in(time.Second), m, "w", 0)
		x.Release(true)
		p.Close()
		is.Equal(c.OpenConns("a"), 0)
	})
}

// TestSlowIsNotSilent guards against a slow statement at a busy database that
// closes all idle connections there, which then have to be opened again. It also
// guards against idle connections that stay open after none of them answers.
func TestSlowIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 8)
		get := func() *dbpool.Conn {
			conn, err := p.Get(in(time.Second), m, "w", 0)
			is.NoErr(err)
			return conn
		}
		slow, busy, idle := get(), get(), get()
		idle.Release(true)
		read := dbop.Statement{Kind: dbop.Read, Text: "READ x"}
		time.Sleep(time.Second)
		c.Update("a", func(d *linktest.DB) { d.DroppedAnswers[dbop.Read] = 1 })
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, err := slow.Do(in(400*time.Millisecond), read)
			is.True(err != nil)
			slow.Release(false)
		}()
		time.Sleep(100 * time.Millisecond)
		_, err := busy.Do(in(time.Second), read)
		is.NoErr(err)
		<-done
		p.CloseIdleIfSilent(m, slow.SentAt())
		is.Equal(c.OpenConns("a"), 2) // busy and idle
		time.Sleep(time.Second)
		c.HangConns("a")
		_, err = busy.Do(in(400*time.Millisecond), read)
		is.True(err != nil)
		busy.Release(false)
		fresh, err := p.GetLocal(in(time.Second), m, "other", 0)
		is.NoErr(err)
		_, err = fresh.Do(in(time.Second), read)
		is.NoErr(err)
		p.CloseIdleIfSilent(m, busy.SentAt())
		is.Equal(c.OpenConns("a"), 1) // fresh
		fresh.Release(true)
	})
}
