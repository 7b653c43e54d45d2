package relay_test

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/relay"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

// lenderVM is a VM that lends its connections.
type lenderVM struct {
	address string
	server  *relay.Server
	pools   *dbpool.Pools
	stop    func()
}

func newLender(t *testing.T, c *linktest.Cluster, limit int) *lenderVM {
	t.Helper()
	pools := &dbpool.Pools{Dialer: c, Roster: c.Roster(), ConnLimit: func(*roster.Member) int { return limit }}
	vm := &lenderVM{server: &relay.Server{Pools: pools}, pools: pools}
	vm.address, vm.stop = linktest.ServePeer(t, peer.Handlers{Relay: vm.server})
	return vm
}

// borrower returns the pools of a VM that borrows from lenders before it uses
// local connections.
func borrower(t *testing.T, c *linktest.Cluster, lenders ...*lenderVM) *dbpool.Pools {
	t.Helper()
	var addresses []string
	for _, l := range lenders {
		addresses = append(addresses, l.address)
	}
	cache := peer.NewCache(peer.CacheConfig{AllowPlaintext: true})
	t.Cleanup(cache.Close)
	return &dbpool.Pools{
		Dialer: c, Roster: c.Roster(), ConnLimit: func(*roster.Member) int { return 1 },
		Lender: relay.NewClient(relay.Config{Lenders: func(*roster.Member, ident.Workspace, place.Regions) []string { return addresses }, Peers: cache}),
	}
}

func member(c *linktest.Cluster) *roster.Member {
	m, _ := c.Roster().Member("g", "a")
	return &m
}

func in(d time.Duration) time.Time { return time.Now().Add(d) }

func read(text string) dbop.Statement { return dbop.Statement{Kind: dbop.Read, Text: text} }

// TestSharedConnection guards against a new connection for each VM. Statements of
// several VMs run on the same connection of the lender and see the session
// variables set there before.
func TestSharedConnection(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	l := newLender(t, c, 4)
	for range 3 {
		p := borrower(t, c, l)
		conn, err := p.Get(in(time.Second), member(c), "w", 7)
		is.NoErr(err)
		if conn.Vars["v"] == "" {
			_, err = conn.Do(in(time.Second), dbop.Statement{Kind: dbop.Set, Name: "v", Arg: "1"})
			is.NoErr(err)
		}
		is.Equal(conn.Vars, map[string]string{"v": "1"})
		answers, err := conn.Do(in(time.Second), read("READ 1"))
		is.NoErr(err)
		is.Equal(answers[0].Code, dbop.OK)
		conn.Release(true)
		time.Sleep(20 * time.Millisecond) // let the lender receive the return
	}
	is.Equal(c.ConnsByWorkspace("a"), map[ident.Workspace]int{"w": 1})
	is.Equal(len(c.Executions("a", dbop.Read)), 3)
}

// TestNextLender guards against requests that fail because a lender is dead or
// stopping, while another lender or a local connection can serve them.
func TestNextLender(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	dead, leaving, good := newLender(t, c, 4), newLender(t, c, 4), newLender(t, c, 4)
	dead.stop()
	leaving.server.Stop()
	p := borrower(t, c, dead, leaving, good)
	conn, err := p.Get(in(time.Second), member(c), "w", 0)
	is.NoErr(err)
	_, err = conn.Do(in(time.Second), read("READ 1"))
	is.NoErr(err)
	conn.Release(true)
	good.stop()
	conn, err = p.Get(in(time.Second), member(c), "w", 0)
	is.NoErr(err) // on a local connection
	conn.Release(true)
	is.Equal(p.Dials.Load(), uint64(1))
}

// TestUnreachable guards against a database that still counts as reachable after
// a lender has reported that it can't reach it.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	l := newLender(t, c, 4)
	p := borrower(t, c, l)
	c.Update("a", func(d *linktest.DB) { d.Unreachable = true })
	_, err := p.Get(in(time.Second), member(c), "w", 0)
	var e *dbpool.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, dbpool.KindUnreachable)
	is.True(!member(c).FailedAt.IsZero())
}

// TestBorrowerGone guards against a transaction that stays open at the database
// after the borrowing VM has died.
func TestBorrowerGone(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	l := newLender(t, c, 4)
	cache := peer.NewCache(peer.CacheConfig{AllowPlaintext: true})
	p := &dbpool.Pools{Roster: c.Roster(), Lender: relay.NewClient(relay.Config{
		Lenders: func(*roster.Member, ident.Workspace, place.Regions) []string { return []string{l.address} }, Peers: cache,
	})}
	conn, err := p.Get(in(time.Second), member(c), "w", 0)
	is.NoErr(err)
	_, err = conn.Do(in(time.Second), dbop.Statement{Kind: dbop.Begin})
	is.NoErr(err)
	is.Equal(c.OpenConns("a"), 1)
	cache.Close()
	is.Equal(l.server.Wait(in(time.Second)), 0)
	is.Equal(c.OpenConns("a"), 0)
}

// TestFull guards against more connections than the lender's limit, and against a
// request that keeps waiting after a connection was returned.
func TestFull(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	l := newLender(t, c, 1)
	p, q := borrower(t, c, l), borrower(t, c, l)
	held, err := p.Get(in(time.Second), member(c), "w", 0)
	is.NoErr(err)
	_, err = q.Get(in(50*time.Millisecond), member(c), "w", 0)
	var e *dbpool.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, dbpool.KindWaitTimeout)
	time.AfterFunc(30*time.Millisecond, func() { held.Release(true) })
	conn, err := q.Get(in(2*time.Second), member(c), "w", 0)
	is.NoErr(err)
	conn.Release(true)
	is.Equal(c.OpenConns("a"), 1)
}

// TestControlStatement guards against a control statement sent through a lender,
// which could execute it too late.
func TestControlStatement(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	p := borrower(t, c, newLender(t, c, 4))
	conn, err := p.Get(in(time.Second), member(c), "", 0)
	is.NoErr(err)
	_, _, err = conn.Control(in(time.Second), dbop.Statement{Kind: dbop.Fence, Term: 9})
	is.True(err != nil)
	conn.Release(false)
	_, err = p.GetLocal(in(time.Second), member(c), "", 0)
	is.NoErr(err)
}

// TestSweep guards against idle streams to VMs that are no longer used, which
// keep a network connection to each of them open.
func TestSweep(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	l := newLender(t, c, 4)
	cache := peer.NewCache(peer.CacheConfig{AllowPlaintext: true, IdleTimeout: time.Millisecond})
	t.Cleanup(cache.Close)
	loans := relay.NewClient(relay.Config{
		Lenders: func(*roster.Member, ident.Workspace, place.Regions) []string { return []string{l.address} }, Peers: cache,
	})
	p := &dbpool.Pools{Roster: c.Roster(), Lender: loans}
	conn, err := p.Get(in(time.Second), member(c), "w", 0)
	is.NoErr(err)
	conn.Release(true)
	loans.Sweep()
	time.Sleep(10 * time.Millisecond)
	cache.Sweep()
	is.Equal(cache.Len(), 1) // used a moment ago
	loans.ExpireIdleStreams()
	loans.Sweep()
	for range 100 {
		if cache.Sweep(); cache.Len() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the stream keeps its connection open")
}

// TestLenderInEvacuatedZone guards against a lender that sends a statement to a database
// in an evacuated zone for a borrower that did not know of it or sent it long ago, and
// against one that no longer lends for databases elsewhere.
func TestLenderInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	l := newLender(t, c, 4)
	var closed atomic.Bool
	l.server.ZoneStatus = func(z ident.Zone) place.Status {
		if z == "z" && closed.Load() {
			return place.Closed
		}
		return place.InService
	}
	conn, err := borrower(t, c, l).Get(in(time.Second), member(c), "w", 0)
	is.NoErr(err)
	defer conn.Release(false)
	do := func(kinds ...dbop.Kind) dbop.Code {
		var sts []dbop.Statement
		for _, k := range kinds {
			sts = append(sts, dbop.Statement{Kind: k, Text: "x"})
		}
		answers, err := conn.Do(in(time.Second), sts...)
		is.NoErr(err)
		return answers[0].Code
	}
	is.Equal(do(dbop.Read), dbop.OK)
	closed.Store(true)
	is.Equal(do(dbop.Read), dbop.Busy)
	is.Equal(do(dbop.Begin), dbop.OK)
	is.Equal(do(dbop.Write), dbop.Aborted)
	is.Equal(do(dbop.Commit), dbop.Aborted)
	is.Equal(do(dbop.Rollback), dbop.OK)
	is.Equal(len(c.Executions("a", dbop.Read))+len(c.Executions("a", dbop.Write)), 1)
}
