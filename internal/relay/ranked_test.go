package relay_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// TestRankedLoan guards against a turn that outlasts its statement or loan, against an
// open transaction that waits for a turn, and against delays that borrowers don't learn.
func TestRankedLoan(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	l := newLender(t, c, 8)
	l.server.ClassOf = func(ident.Class) catal.Class {
		return catal.Class{Weight: 4, ObjectiveMS: 10_000, DeadlineMS: 20_000}
	}
	l.server.Lends = func(ident.Group) bool { return true }
	p := borrower(t, c, l)
	m := member(c)
	m.Slots = 1
	sched := dbop.Scheduling{Class: "c", Weight: 4, MaxWait: time.Second, Ranked: true}
	get := func() *dbpool.Conn {
		conn, err := p.GetFor(in(10*time.Second), m, &dbpool.Request{Workspace: "w", Scheduling: sched})
		is.NoErr(err)
		return conn
	}
	first, second := get(), get()
	is.Equal(l.server.TurnCount("a"), 2) // one slot and one statement on its way
	third := make(chan *dbpool.Conn)
	go func() { third <- get() }()
	for len(l.server.QueueStates()[0].Delays) == 0 && l.server.TurnCount("a") == 2 {
		time.Sleep(time.Millisecond)
	}
	_, err := first.Do(in(time.Second), dbop.Statement{Kind: dbop.Begin})
	is.NoErr(err)
	st := read("READ 1")
	st.Scheduling = sched
	_, err = first.Do(in(time.Second), st) // ends the turn
	is.NoErr(err)
	conn := <-third
	_, err = first.Do(in(time.Second), read("READ 2"), dbop.Statement{Kind: dbop.Rollback}) // in the open transaction
	is.NoErr(err)
	conn.Release(true)
	second.Release(true)
	first.Release(true)
	for l.server.TurnCount("a") > 0 { // the lender receives the returns
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(c.Executions("a", dbop.Read)), 2)
}

// TestLenderKilledWhileWaiting guards against a statement that is lost, or waits until its
// deadline, when the lender in whose queue it waits is killed.
func TestLenderKilledWhileWaiting(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a")
	first, second := newLender(t, c, 8), newLender(t, c, 8)
	for _, l := range []*lenderVM{first, second} {
		l.server.ClassOf = func(ident.Class) catal.Class {
			return catal.Class{ObjectiveMS: 10_000, DeadlineMS: 20_000}
		}
		l.server.Lends = func(ident.Group) bool { return true }
	}
	p := borrower(t, c, first, second)
	m := member(c)
	m.Slots = 1
	type result struct {
		conn *dbpool.Conn
		err  error
	}
	results := make(chan result, 6)
	for range cap(results) {
		go func() {
			conn, err := p.GetFor(in(10*time.Second), m, &dbpool.Request{Workspace: "w", Scheduling: dbop.Scheduling{Class: "c", MaxWait: time.Second, Ranked: true}})
			results <- result{conn, err}
		}()
	}
	for len(first.server.QueueStates()) == 0 || first.server.QueueStates()[0].Waiting < 4 {
		time.Sleep(time.Millisecond)
	}
	first.stop()
	for range cap(results) {
		r := <-results
		is.NoErr(r.err)
		r.conn.Release(true)
	}
}
