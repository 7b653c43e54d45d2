package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/dbop"
)

// learn makes a borrower learn that its lenders understand single reads, which they say
// with their first loan.
func learn(t *testing.T, c *linktest.Cluster, p *dbpool.Pools) {
	t.Helper()
	conn, err := p.Get(in(time.Second), member(c), "w", 0)
	is.New(t).NoErr(err)
	conn.Release(true)
}

// remoteRead returns a read that executes a prepared statement with a session variable.
func remoteRead() *dbpool.Read {
	return &dbpool.Read{
		Setup: dbpool.Setup{
			Vars:    map[string]string{"v": "1"},
			Prepare: dbop.Statement{Kind: dbop.Prepare, Name: "p", Arg: "q"},
		},
		Statement:    dbop.Statement{ID: "x", Kind: dbop.Execute, Name: "p", Text: "EXEC p 1"},
		ConnDeadline: in(time.Second), Limit: time.Second, Deadline: in(2 * time.Second),
	}
}

// TestRemoteRead guards against a read that runs without the session's variables or its
// prepared statement, against one that runs twice, and against state that the next
// session sees.
func TestRemoteRead(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	l := newLender(t, c, 1)
	p := borrower(t, c, l)
	learn(t, c, p)
	for range 2 {
		res, ok := p.ReadRemotely(member(c), &dbpool.Request{Workspace: "w", Owner: 7}, remoteRead())
		is.True(ok)
		is.NoErr(res.Err)
		is.True(res.Answered)
		is.Equal(res.Answer.Code, dbop.OK)
	}
	runs := c.Executions("a", dbop.Execute)
	is.Equal(len(runs), 2)
	is.Equal(runs[1].Vars, map[string]string{"v": "1"})
	is.Equal(len(c.Executions("a", dbop.Prepare)), 1)
	other := remoteRead()
	other.Setup = dbpool.Setup{}
	other.Statement = read("READ 1")
	res, ok := p.ReadRemotely(member(c), &dbpool.Request{Workspace: "w", Owner: 8}, other)
	is.True(ok && res.Answered)
	is.Equal(len(c.Executions("a", dbop.Read)[0].Vars), 0)
	is.Equal(c.OpenConns("a"), 1)
	is.Equal(l.server.LentCount(), 0)
}

// TestRemoteReadUnknownLender guards against a single read that is sent to a lender which
// has not said that it understands one.
func TestRemoteReadUnknownLender(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	p := borrower(t, c, newLender(t, c, 1))
	res, ok := p.ReadRemotely(member(c), &dbpool.Request{Workspace: "w", Owner: 7}, remoteRead())
	is.True(!ok && !res.MayHaveRun)
	is.Equal(len(c.Executions("a", dbop.Execute)), 0)
}

// TestRemoteReadLost guards against a lost answer of the database that is taken for a
// read which has not run, and against its connection being used again.
func TestRemoteReadLost(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	p := borrower(t, c, newLender(t, c, 1))
	learn(t, c, p)
	c.Update("a", func(d *linktest.DB) { d.DroppedAnswers = map[dbop.Kind]int{dbop.Execute: 1} })
	r := remoteRead()
	r.Limit = 150 * time.Millisecond
	res, ok := p.ReadRemotely(member(c), &dbpool.Request{Workspace: "w", Owner: 7}, r)
	is.True(ok)
	is.NoErr(res.Err)
	is.True(!res.Answered && res.MayHaveRun)
	is.Equal(c.OpenConns("a"), 0)
}

// TestRemoteReadNextLender guards against a read that fails because its lender has died,
// while another one can run it.
func TestRemoteReadNextLender(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	dying, good := newLender(t, c, 1), newLender(t, c, 1)
	p := borrower(t, c, dying, good)
	learn(t, c, p)
	dying.stop()
	learn(t, c, p) // borrows from the other lender
	res, ok := p.ReadRemotely(member(c), &dbpool.Request{Workspace: "w", Owner: 7}, remoteRead())
	is.True(ok && res.Answered)
	is.Equal(len(c.Executions("a", dbop.Execute)), 1)
}

// TestRemoteReadSlow guards against a lender that is avoided as dead while it works on a
// long read.
func TestRemoteReadSlow(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	p := borrower(t, c, newLender(t, c, 1))
	learn(t, c, p)
	c.Update("a", func(d *linktest.DB) { d.Latency = 600 * time.Millisecond })
	res, ok := p.ReadRemotely(member(c), &dbpool.Request{Workspace: "w", Owner: 7}, remoteRead())
	is.True(ok && res.Answered)
	is.Equal(len(c.Executions("a", dbop.Execute)), 1)
}

// TestRemoteWrite guards against a write that a lender runs as a read, which may be
// repeated.
func TestRemoteWrite(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	l := newLender(t, c, 1)
	cache := peer.NewCache(peer.CacheConfig{AllowPlaintext: true})
	t.Cleanup(cache.Close)
	client, err := cache.Client(l.address)
	is.NoErr(err)
	for _, st := range []*peerpb.RelayStatement{
		{Kind: uint32(dbop.Write), Text: []byte("WRITE 1 x")},
		{Kind: uint32(dbop.Execute), Name: []byte("p"), Writes: true},
		{Kind: uint32(dbop.Commit)},
	} {
		stream, err := client.Relay(t.Context())
		is.NoErr(err)
		m := member(c)
		open := &peerpb.RelayOpen{Target: string(m.ID), Address: m.Address, Group: string(m.Group), Workspace: "w", WaitMs: 500}
		is.NoErr(stream.Send(&peerpb.RelayRequest{Step: &peerpb.RelayRequest_Read{Read: &peerpb.RelayRead{Open: open, Statement: st, LimitMs: 500, TotalMs: 500}}}))
		_, err = stream.Recv()
		is.True(err != nil)
	}
	is.Equal(c.OpenConns("a"), 0)
}
