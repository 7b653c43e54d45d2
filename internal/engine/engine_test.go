package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/engine"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

func named(name, arg string) func(*dbop.Statement) {
	return func(st *dbop.Statement) { st.Name, st.Arg = name, arg }
}

func writes(st *dbop.Statement) { st.Writes = true }

// total counts the runs of a kind at all databases.
func total(f *fixture, k dbop.Kind) int {
	n := 0
	for _, id := range []ident.Target{"a", "b", "c"} {
		n += len(f.c.Ran(id, k))
	}
	return n
}

// TestStrictRead guards against a read on a primary route that runs without a
// proof of the lead: at a database that was replaced, its data is old.
func TestStrictRead(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "primary")
		a := s.run(dbop.Read)
		is.Equal(a.Signature, "sig-a")
		is.True(f.c.Ran("a", dbop.Read)[0].InTx)
		f.c.Promote("b")
		a = s.run(dbop.Read)
		is.Equal(a.Signature, "sig-b")
		is.Equal(len(f.c.Ran("a", dbop.Read)), 1)
		is.Equal(a.State, dbop.Idle)
		s.end()
	})
}

// TestAgedRead guards against a read that a replica runs without the position
// that covers the accepted age, and against reads that all go to the primary.
func TestAgedRead(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "bounded")
		a := s.run(dbop.Read)
		is.True(a.Signature == "sig-b" || a.Signature == "sig-c")
		for _, id := range []ident.Target{"b", "c"} {
			for _, r := range f.c.Ran(id, dbop.Read) {
				is.True(!r.Floor.IsZero())
			}
		}
		// Replicas that lag are passed over.
		f.c.Set("a", func(d *linktest.DB) { d.Index = 50 })
		time.Sleep(2 * time.Second)
		is.Equal(s.run(dbop.Read).Signature, "sig-a")
		s.end()
	})
}

// TestOwnCommit guards against a read that lacks the session's own commit.
func TestOwnCommit(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		for _, id := range []ident.Target{"b", "c"} {
			f.c.Set(id, func(d *linktest.DB) { d.Fenced = 9 }) // they receive nothing
		}
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		a := s.run(dbop.Read)
		is.Equal(a.Signature, "sig-a")
		time.Sleep(time.Second) // the replicas count as behind for less
		other := f.open(t, "session")
		is.True(other.run(dbop.Read).Signature != "sig-a")
		s.end()
		other.end()
	})
}

// TestUnknown guards against a write or commit that is sent again, or called not
// run, after its answer was lost.
func TestUnknown(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		f.c.Set("a", func(d *linktest.DB) { d.Mute[dbop.Write] = 1 })
		is.Equal(s.run(dbop.Write).Code, dbop.Unknown)
		is.Equal(total(f, dbop.Write), 1)
		s.run(dbop.Begin)
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		f.c.Set("a", func(d *linktest.DB) { d.Mute[dbop.Commit] = 1 })
		a := s.run(dbop.Commit)
		is.Equal(a.Code, dbop.Unknown)
		is.Equal(a.State, dbop.Idle)
		is.Equal(total(f, dbop.Commit), 1)
		s.end()
	})
}

// TestNotRun guards against a refusal that reaches the caller although another
// attempt would do, and against a promise after a write that may have run.
func TestNotRun(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		f.c.Set("a", func(d *linktest.DB) { d.Codes[dbop.Write] = []dbop.Code{dbop.Busy, dbop.Busy} })
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		is.Equal(total(f, dbop.Write), 1)
		f.c.Set("a", func(d *linktest.DB) { d.Codes[dbop.Write] = []dbop.Code{dbop.Failed} })
		is.Equal(s.run(dbop.Write).Code, dbop.Failed)
		is.Equal(total(f, dbop.Write), 2)
		f.c.Set("a", func(d *linktest.DB) { d.Dark = true })
		time.Sleep(2 * time.Second) // a write just after it could have run
		start := time.Now()
		is.Equal(s.run(dbop.Write).Code, dbop.Busy)
		is.True(time.Since(start) <= time.Second)
		is.Equal(total(f, dbop.Write), 2)
		s.end()
	})
}

// TestTransaction guards against a statement that runs outside its transaction
// or on another connection, and against a failed transaction that goes on.
func TestTransaction(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		is.Equal(s.run(dbop.Begin).State, dbop.Open)
		is.Equal(s.run(dbop.Read).Signature, "sig-a")
		is.Equal(s.run(dbop.Write).State, dbop.Open)
		is.Equal(s.run(dbop.Commit).State, dbop.Idle)
		for _, r := range append(f.c.Ran("a", dbop.Read), f.c.Ran("a", dbop.Write)...) {
			is.True(r.InTx)
		}
		s.run(dbop.Begin)
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		f.c.Promote("b")
		a := s.run(dbop.Write)
		is.Equal(a.Code, dbop.ReadOnly)
		is.Equal(a.State, dbop.InError)
		is.Equal(s.run(dbop.Read).Code, dbop.Malformed)
		a = s.run(dbop.Commit)
		is.Equal(a.Code, dbop.Aborted)
		is.Equal(a.State, dbop.Idle)
		is.Equal(len(f.c.Ran("b", dbop.Commit)), 0)
		s.end()
	})
}

// TestFirstStatement guards against a transaction that fails because its first
// statement found a database that could not serve it.
func TestFirstStatement(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		s.run(dbop.Begin)
		f.c.Set("a", func(d *linktest.DB) { d.Codes[dbop.Write] = []dbop.Code{dbop.Busy} })
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		is.Equal(s.run(dbop.Commit).Code, dbop.OK)
		s.run(dbop.Begin)
		f.c.Promote("c")
		is.Equal(s.run(dbop.Write).Signature, "sig-c")
		is.Equal(s.run(dbop.Commit).Signature, "sig-c")
		s.end()
	})
}

// TestIdleTransaction guards against a transaction that keeps its connection
// while its caller rests.
func TestIdleTransaction(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		s.run(dbop.Begin)
		s.run(dbop.Write)
		time.Sleep(4 * time.Second)
		is.Equal(s.run(dbop.Write).Code, dbop.Malformed)
		is.Equal(s.run(dbop.Commit).Code, dbop.Aborted)
		is.Equal(total(f, dbop.Commit), 0)
		s.end()
	})
}

// TestSettings guards against a statement that runs without the session's
// variables, or with those of another session.
func TestSettings(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s, other := f.open(t, "primary"), f.open(t, "primary")
		is.Equal(s.run(dbop.Set, named("v", "1")).Code, dbop.OK)
		for range 3 {
			s.run(dbop.Write)
			other.run(dbop.Write)
		}
		s.run(dbop.Begin)
		s.run(dbop.Write)
		s.run(dbop.Set, named("v", "2"))
		s.run(dbop.Write)
		s.run(dbop.Commit)
		var seen []string
		for _, r := range f.c.Ran("a", dbop.Write) {
			seen = append(seen, r.Vars["v"])
		}
		is.Equal(seen, []string{"1", "", "1", "", "1", "", "1", "2"})
		s.end()
		other.end()
	})
}

// TestPrepared guards against names that collide between sessions, and against
// a statement that is lost when the connection changes.
func TestPrepared(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s, other := f.open(t, "primary"), f.open(t, "primary")
		s.run(dbop.Prepare, named("p", "shape 1"), writes)
		other.run(dbop.Prepare, named("p", "shape 2"), writes)
		for range 2 {
			is.Equal(s.run(dbop.Execute, named("p", "x")).Code, dbop.OK)
			is.Equal(other.run(dbop.Execute, named("p", "x")).Code, dbop.OK)
		}
		f.c.Set("a", func(d *linktest.DB) { d.Codes[dbop.Execute] = []dbop.Code{dbop.NoStatement} })
		is.Equal(s.run(dbop.Execute, named("p", "x")).Code, dbop.OK)
		var shapes []string
		for _, r := range f.c.Ran("a", dbop.Execute) {
			shapes = append(shapes, r.Shape)
		}
		is.Equal(shapes, []string{"shape 1", "shape 2", "shape 1", "shape 2", "shape 1"})
		is.Equal(s.run(dbop.Deallocate, named("p", "")).Code, dbop.OK)
		is.Equal(s.run(dbop.Execute, named("p", "x")).Code, dbop.NoStatement)
		s.end()
		other.end()
	})
}

// TestWithdrawn guards against a session that goes on after its key was
// withdrawn, also inside a transaction.
func TestWithdrawn(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s, tx := f.open(t, "session"), f.open(t, "session")
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		tx.run(dbop.Begin)
		tx.run(dbop.Write)
		f.set(func(f *fixture) { f.index = access.NewIndex(catalogue(2, "another")) })
		is.Equal(s.run(dbop.Read).Code, dbop.BadKey)
		<-s.closed
		a := tx.run(dbop.Commit)
		is.Equal(a.Code, dbop.BadKey)
		is.Equal(a.State, dbop.Idle)
		<-tx.closed
		is.Equal(total(f, dbop.Commit), 0)
		_, refusal := f.e.Open(engine.Login{Route: "session", Key: "key"}, newCaller())
		is.Equal(refusal.Code, dbop.BadKey)
		_, refusal = f.e.Open(engine.Login{Route: "nowhere", Key: "another"}, newCaller())
		is.Equal(refusal.Code, dbop.NoRoute)
	})
}

// TestRouteChange guards against a session that keeps a route's group or limits
// after a change, or changes them inside a transaction.
func TestRouteChange(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		s.run(dbop.Begin)
		is.Equal(s.run(dbop.Write).Signature, "sig-a")
		next := catalogue(2, "key")
		r := next.Routes["session"]
		r.Group = "elsewhere"
		next.Routes["session"] = r
		f.set(func(f *fixture) { f.index = access.NewIndex(next) })
		is.Equal(s.run(dbop.Write).Signature, "sig-a")
		is.Equal(s.run(dbop.Commit).Signature, "sig-a")
		is.Equal(s.run(dbop.Write).Code, dbop.Busy) // the group has no database
		s.end()
	})
}

// TestRate guards against an operation beyond the rate that reaches a database,
// and against statements of a transaction that count one by one.
func TestRate(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		s.run(dbop.Begin)
		s.run(dbop.Write)
		s.run(dbop.Write)
		s.run(dbop.Commit)
		s.run(dbop.Read)
		f.set(func(f *fixture) { is.Equal(f.admits, 2); f.full = true })
		a := s.run(dbop.Write)
		is.Equal(a.Code, dbop.Busy)
		a = s.run(dbop.Begin)
		is.Equal(a.Code, dbop.Busy)
		is.Equal(a.State, dbop.Idle)
		is.Equal(total(f, dbop.Write), 2)
		s.end()
	})
}

// TestStopPhases guards against a stop that ends a session inside a transaction
// at once, or one that never ends.
func TestStopPhases(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		idle, tx, late := f.open(t, "session"), f.open(t, "session"), f.open(t, "session")
		for _, s := range []*session{tx, late} {
			s.run(dbop.Begin)
			s.run(dbop.Write)
		}
		f.e.CloseIdle()
		<-idle.closed
		is.Equal(tx.run(dbop.Commit).Code, dbop.OK)
		<-tx.closed
		is.Equal(f.e.Wait(time.Now().Add(time.Second)), 1)
		f.e.CloseAll()
		is.Equal(f.e.Wait(time.Now().Add(time.Second)), 0)
		<-late.closed
		is.Equal(total(f, dbop.Commit), 1)
		_, refusal := f.e.Open(engine.Login{Route: "session", Key: "key"}, newCaller())
		is.Equal(refusal.Code, dbop.Busy)
	})
}

// TestPrimaryReturns guards against operations that fail while a group has no
// primary for a moment.
func TestPrimaryReturns(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "primary")
		s.run(dbop.Read)
		f.c.Set("a", func(d *linktest.DB) { d.Lead = false })
		go func() {
			time.Sleep(500 * time.Millisecond)
			f.c.Promote("b")
		}()
		is.Equal(s.run(dbop.Write).Signature, "sig-b")
		s.end()
	})
}

// TestSilentConnection guards against a read that waits for a connection that
// has gone silent, and against a write that is sent on one.
func TestSilentConnection(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		for _, id := range []ident.Target{"a", "b", "c"} {
			f.c.Hang(id)
		}
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		time.Sleep(2 * time.Second)
		for _, id := range []ident.Target{"a", "b", "c"} {
			f.c.Hang(id)
		}
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		s.end()
	})
}

// TestWarmRate guards against operations that are refused for their rate right
// after a start, while the VMs that hold parts of it are still claiming them, and
// against a later one that waits as long.
func TestWarmRate(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		f.set(func(f *fixture) { f.full = true })
		time.AfterFunc(300*time.Millisecond, func() { f.set(func(f *fixture) { f.full = false }) })
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		time.Sleep(5 * time.Second)
		f.set(func(f *fixture) { f.full = true })
		start := time.Now()
		is.Equal(s.run(dbop.Write).Code, dbop.Busy)
		is.Equal(time.Since(start), time.Duration(0))
		s.end()
	})
}

// TestCrowded guards against a request that is tried again and again, or held to
// its deadline, after every database has said that its turn would come too late;
// and against one that is refused while another database has a turn.
func TestCrowded(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		crowd := func(ids ...ident.Target) {
			for _, id := range ids {
				f.c.Set(id, func(d *linktest.DB) { d.Codes[dbop.Read] = []dbop.Code{dbop.Crowded} })
			}
		}
		s := f.open(t, "bounded")
		crowd("a", "b")
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		crowd("a", "b", "c")
		start := time.Now()
		is.Equal(s.run(dbop.Read).Code, dbop.Busy)
		is.True(time.Since(start) < 100*time.Millisecond)
		s.end()
		p := f.open(t, "primary")
		crowd("a")
		is.Equal(p.run(dbop.Read).Code, dbop.Busy)
		open := f.c.Open("a")
		is.Equal(p.run(dbop.Read).Code, dbop.OK)
		is.Equal(f.c.Open("a"), open) // the connection was kept
		p.end()
	})
}
