package engine_test

import (
	"slices"
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

// totalRuns returns the number of statements of a kind run at all databases.
func totalRuns(f *fixture, k dbop.Kind) int {
	n := 0
	for _, id := range []ident.Target{"a", "b", "c"} {
		n += len(f.c.Executions(id, k))
	}
	return n
}

// TestStrictRead guards against a read on a primary route that runs outside a
// read-write transaction: a database that has been replaced as the primary would
// return outdated data.
func TestStrictRead(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "primary")
		a := s.run(dbop.Read)
		is.Equal(a.Signature, "sig-a")
		is.True(f.c.Executions("a", dbop.Read)[0].InTx)
		f.c.Promote("b")
		a = s.run(dbop.Read)
		is.Equal(a.Signature, "sig-b")
		is.Equal(len(f.c.Executions("a", dbop.Read)), 1)
		is.Equal(a.State, dbop.Idle)
		s.end()
	})
}

// TestReadWithAcceptedAge guards against a read with an accepted age that a
// replica runs without a required position, and against such reads all going to
// the primary.
func TestReadWithAcceptedAge(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "bounded")
		a := s.run(dbop.Read)
		is.True(a.Signature == "sig-b" || a.Signature == "sig-c")
		for _, id := range []ident.Target{"b", "c"} {
			for _, r := range f.c.Executions(id, dbop.Read) {
				is.True(!r.Floor.IsZero())
			}
		}
		// Lagging replicas are skipped.
		f.c.Update("a", func(d *linktest.DB) { d.Index = 50 })
		time.Sleep(2 * time.Second)
		is.Equal(s.run(dbop.Read).Signature, "sig-a")
		s.end()
	})
}

// TestOwnCommit guards against a read that does not see the session's own commit.
func TestOwnCommit(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		for _, id := range []ident.Target{"b", "c"} {
			f.c.Update(id, func(d *linktest.DB) { d.FenceTerm = 9 }) // they receive no log entries
		}
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		a := s.run(dbop.Read)
		is.Equal(a.Signature, "sig-a")
		time.Sleep(time.Second) // longer than replicas count as behind
		other := f.open(t, "session")
		is.True(other.run(dbop.Read).Signature != "sig-a")
		s.end()
		other.end()
	})
}

// TestUnknownOutcome guards against a write or commit that is sent again, or
// reported as not run, after its answer was lost.
func TestUnknownOutcome(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		f.c.Update("a", func(d *linktest.DB) { d.DroppedAnswers[dbop.Write] = 1 })
		is.Equal(s.run(dbop.Write).Code, dbop.Unknown)
		is.Equal(totalRuns(f, dbop.Write), 1)
		s.run(dbop.Begin)
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		f.c.Update("a", func(d *linktest.DB) { d.DroppedAnswers[dbop.Commit] = 1 })
		a := s.run(dbop.Commit)
		is.Equal(a.Code, dbop.Unknown)
		is.Equal(a.State, dbop.Idle)
		is.Equal(totalRuns(f, dbop.Commit), 1)
		s.end()
	})
}

// TestNotRun guards against a refusal that reaches the caller although a retry
// would succeed, and against a write that may have run but is retried or reported
// as not run.
func TestNotRun(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		f.c.Update("a", func(d *linktest.DB) { d.AnswerCodes[dbop.Write] = []dbop.Code{dbop.Busy, dbop.Busy} })
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		is.Equal(totalRuns(f, dbop.Write), 1)
		f.c.Update("a", func(d *linktest.DB) { d.AnswerCodes[dbop.Write] = []dbop.Code{dbop.Failed} })
		is.Equal(s.run(dbop.Write).Code, dbop.Failed)
		is.Equal(totalRuns(f, dbop.Write), 2)
		f.c.Update("a", func(d *linktest.DB) { d.Unreachable = true })
		time.Sleep(2 * time.Second) // a write right after the outage began might have run
		start := time.Now()
		is.Equal(s.run(dbop.Write).Code, dbop.Busy)
		is.True(time.Since(start) <= time.Second)
		is.Equal(totalRuns(f, dbop.Write), 2)
		s.end()
	})
}

// TestTransaction guards against a statement that runs outside its transaction
// or on another connection, and against a failed transaction that continues.
func TestTransaction(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		is.Equal(s.run(dbop.Begin).State, dbop.Open)
		is.Equal(s.run(dbop.Read).Signature, "sig-a")
		is.Equal(s.run(dbop.Write).State, dbop.Open)
		is.Equal(s.run(dbop.Commit).State, dbop.Idle)
		for _, r := range append(f.c.Executions("a", dbop.Read), f.c.Executions("a", dbop.Write)...) {
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
		is.Equal(len(f.c.Executions("b", dbop.Commit)), 0)
		s.end()
	})
}

// TestFirstStatement guards against a transaction that fails because the database
// refused its first statement, which can be retried.
func TestFirstStatement(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		s.run(dbop.Begin)
		f.c.Update("a", func(d *linktest.DB) { d.AnswerCodes[dbop.Write] = []dbop.Code{dbop.Busy} })
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
// beyond the idle timeout.
func TestIdleTransaction(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		s.run(dbop.Begin)
		s.run(dbop.Write)
		time.Sleep(4 * time.Second)
		is.Equal(s.run(dbop.Write).Code, dbop.Malformed)
		is.Equal(s.run(dbop.Commit).Code, dbop.Aborted)
		is.Equal(totalRuns(f, dbop.Commit), 0)
		s.end()
	})
}

// TestSessionVariables guards against a statement that runs without the session's
// variables, or with those of another session.
func TestSessionVariables(t *testing.T) {
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
		for _, r := range f.c.Executions("a", dbop.Write) {
			seen = append(seen, r.Vars["v"])
		}
		is.Equal(seen, []string{"1", "", "1", "", "1", "", "1", "2"})
		s.end()
		other.end()
	})
}

// TestPreparedStatements guards against names of prepared statements that collide
// between sessions, and against a prepared statement that is missing after the
// session moves to another connection.
func TestPreparedStatements(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s, other := f.open(t, "primary"), f.open(t, "primary")
		s.run(dbop.Prepare, named("p", "text 1"), writes)
		other.run(dbop.Prepare, named("p", "text 2"), writes)
		for range 2 {
			is.Equal(s.run(dbop.Execute, named("p", "x")).Code, dbop.OK)
			is.Equal(other.run(dbop.Execute, named("p", "x")).Code, dbop.OK)
		}
		f.c.Update("a", func(d *linktest.DB) { d.AnswerCodes[dbop.Execute] = []dbop.Code{dbop.NoStatement} })
		is.Equal(s.run(dbop.Execute, named("p", "x")).Code, dbop.OK)
		var texts []string
		for _, r := range f.c.Executions("a", dbop.Execute) {
			texts = append(texts, r.PreparedText)
		}
		is.Equal(texts, []string{"text 1", "text 2", "text 1", "text 2", "text 1"})
		is.Equal(s.run(dbop.Deallocate, named("p", "")).Code, dbop.OK)
		is.Equal(s.run(dbop.Execute, named("p", "x")).Code, dbop.NoStatement)
		s.end()
		other.end()
	})
}

// TestWithdrawnKey guards against a session that continues after its key was
// withdrawn, also inside a transaction.
func TestWithdrawnKey(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s, tx := f.open(t, "session"), f.open(t, "session")
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		tx.run(dbop.Begin)
		tx.run(dbop.Write)
		f.set(func(f *fixture) { f.index = access.NewKeyIndex(catalogue(2, "another")) })
		is.Equal(s.run(dbop.Read).Code, dbop.BadKey)
		<-s.closed
		a := tx.run(dbop.Commit)
		is.Equal(a.Code, dbop.BadKey)
		is.Equal(a.State, dbop.Idle)
		<-tx.closed
		is.Equal(totalRuns(f, dbop.Commit), 0)
		_, refusal := f.e.Open(engine.Login{Route: "session", Key: "key"}, newCaller())
		is.Equal(refusal.Code, dbop.BadKey)
		_, refusal = f.e.Open(engine.Login{Route: "nowhere", Key: "another"}, newCaller())
		is.Equal(refusal.Code, dbop.NoRoute)
	})
}

// TestRefusedByOldCatalogue guards against a caller that is refused for a key or a route
// which a newer catalogue has, when that can be had before the answer.
func TestRefusedByOldCatalogue(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.set(func(f *fixture) { f.newer = access.NewKeyIndex(catalogue(2, "another")) })
		s, refusal := f.e.Open(engine.Login{Route: "session", Key: "another"}, newCaller())
		is.True(refusal == nil)
		s.Abort()
		next := catalogue(3, "another")
		next.Routes["added"] = next.Routes["session"]
		f.set(func(f *fixture) { f.newer = access.NewKeyIndex(next) })
		s, refusal = f.e.Open(engine.Login{Route: "added", Key: "another"}, newCaller())
		is.True(refusal == nil)
		s.Abort()
		_, refusal = f.e.Open(engine.Login{Route: "added", Key: "key"}, newCaller())
		is.Equal(refusal.Code, dbop.BadKey)
	})
}

// TestRouteChange guards against a session that keeps the former group of its
// route after a change of the catalogue, or changes it inside a transaction.
func TestRouteChange(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		s.run(dbop.Begin)
		is.Equal(s.run(dbop.Write).Signature, "sig-a")
		changed := catalogue(2, "key")
		r := changed.Routes["session"]
		r.Group = "elsewhere"
		changed.Routes["session"] = r
		f.set(func(f *fixture) { f.index = access.NewKeyIndex(changed) })
		is.Equal(s.run(dbop.Write).Signature, "sig-a")
		is.Equal(s.run(dbop.Commit).Signature, "sig-a")
		is.Equal(s.run(dbop.Write).Code, dbop.Busy) // the group has no database
		s.end()
	})
}

// TestRate guards against an operation above the rate limit that reaches a
// database, and against each statement of a transaction counting as an operation.
func TestRate(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		s.run(dbop.Begin)
		s.run(dbop.Write)
		s.run(dbop.Write)
		s.run(dbop.Commit)
		s.run(dbop.Read)
		f.set(func(f *fixture) { is.Equal(f.admitted, 2); f.overRate = true })
		a := s.run(dbop.Write)
		is.Equal(a.Code, dbop.Busy)
		a = s.run(dbop.Begin)
		is.Equal(a.Code, dbop.Busy)
		is.Equal(a.State, dbop.Idle)
		is.Equal(totalRuns(f, dbop.Write), 2)
		s.end()
	})
}

// TestStopPhases guards against a planned stop that ends sessions with an open
// transaction in its first phase, and against one that never completes.
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
		is.Equal(totalRuns(f, dbop.Commit), 1)
		_, refusal := f.e.Open(engine.Login{Route: "session", Key: "key"}, newCaller())
		is.Equal(refusal.Code, dbop.Busy)
	})
}

// TestStopRefusesWaiting guards against a planned stop that cuts off a statement which
// waits for a database, without saying that it has not run: one that was received before
// the stop, and one that came during it.
func TestStopRefusesWaiting(t *testing.T) {
	for name, before := range map[string]time.Duration{"before the stop": 100 * time.Millisecond, "during the stop": 0} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				is := is.New(t)
				s := f.open(t, "bounded")
				for _, id := range []ident.Target{"a", "b", "c"} {
					f.c.Update(id, func(d *linktest.DB) { d.AnswerCodes[dbop.Read] = slices.Repeat([]dbop.Code{dbop.Busy}, 500) })
				}
				end := time.Now().Add(before + 400*time.Millisecond)
				if before == 0 {
					f.e.AnswerBy(end)
				} else {
					time.AfterFunc(before, func() { f.e.AnswerBy(end) })
				}
				is.Equal(s.run(dbop.Read).Code, dbop.Busy)
				is.True(!time.Now().After(end))
				s.end()
			})
		})
	}
}

// TestPrimaryReturns guards against operations that fail because a group has no
// primary for a short time.
func TestPrimaryReturns(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "primary")
		s.run(dbop.Read)
		f.c.Update("a", func(d *linktest.DB) { d.Primary = false })
		go func() {
			time.Sleep(500 * time.Millisecond)
			f.c.Promote("b")
		}()
		is.Equal(s.run(dbop.Write).Signature, "sig-b")
		s.end()
	})
}

// TestSilentConnection guards against a read that fails because a pooled
// connection no longer answers, and against a write sent on such a connection.
func TestSilentConnection(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		for _, id := range []ident.Target{"a", "b", "c"} {
			f.c.HangConns(id)
		}
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		time.Sleep(2 * time.Second)
		for _, id := range []ident.Target{"a", "b", "c"} {
			f.c.HangConns(id)
		}
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		s.end()
	})
}

// TestWarmRate guards against operations refused by the rate limit right after a
// start, while VMs are still claiming slices, and against operations that wait as
// long after the warm-up.
func TestWarmRate(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "session")
		f.set(func(f *fixture) { f.overRate = true })
		time.AfterFunc(300*time.Millisecond, func() { f.set(func(f *fixture) { f.overRate = false }) })
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		time.Sleep(5 * time.Second)
		f.set(func(f *fixture) { f.overRate = true })
		start := time.Now()
		is.Equal(s.run(dbop.Write).Code, dbop.Busy)
		is.Equal(time.Since(start), time.Duration(0))
		s.end()
	})
}

// TestCrowded guards against a request that is retried, or held until its
// deadline, after every database answered that its turn would come too late, and
// against one that is refused although another database could serve it.
func TestCrowded(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		crowd := func(ids ...ident.Target) {
			for _, id := range ids {
				f.c.Update(id, func(d *linktest.DB) { d.AnswerCodes[dbop.Read] = []dbop.Code{dbop.Crowded} })
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
		open := f.c.OpenConns("a")
		is.Equal(p.run(dbop.Read).Code, dbop.OK)
		is.Equal(f.c.OpenConns("a"), open) // the connection was reused
		p.end()
	})
}
