package engine_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// withText gives a statement another text.
func withText(text string) func(*dbop.Statement) {
	return func(st *dbop.Statement) { st.Text = text }
}

// TestUnsendableStatement guards against an unknown outcome of a statement that can't be sent
// to a database, against retries of it, and against connections that are lost by it.
func TestUnsendableStatement(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		long := withText(strings.Repeat("x", linktest.MaxMessage+1))
		for _, route := range []ident.Route{"primary", "bounded", "session"} {
			s := f.open(t, route)
			for _, k := range []dbop.Kind{dbop.Read, dbop.Write} {
				s.run(k)
				conns := f.c.OpenConns("a") + f.c.OpenConns("b") + f.c.OpenConns("c")
				begun := time.Now()
				is.Equal(s.run(k, withText("x\ny")).Code, dbop.Malformed)
				a := s.run(k, long)
				is.Equal(a.Code, dbop.TooLarge)
				is.Equal(a.State, dbop.Idle)
				is.True(time.Since(begun) < 100*time.Millisecond)
				is.Equal(f.c.OpenConns("a")+f.c.OpenConns("b")+f.c.OpenConns("c"), conns)
			}
			s.end()
		}
	})
}

// TestUnsendableInTransaction guards against a transaction that commits without a statement
// of its caller, and against the answer to a COMMIT that can't be sent.
func TestUnsendableInTransaction(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "primary")
		s.run(dbop.Begin)
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		a := s.run(dbop.Write, withText("x\ny"))
		is.Equal(a.Code, dbop.Malformed)
		is.Equal(a.State, dbop.InError)
		is.Equal(s.run(dbop.Commit).Code, dbop.Aborted)
		s.run(dbop.Begin)
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		is.Equal(s.run(dbop.Commit, withText("x\ny")).Code, dbop.Malformed)
		is.Equal(len(f.c.Executions("a", dbop.Commit)), 0)
		is.Equal(s.run(dbop.Read).Code, dbop.OK)
		s.end()
	})
}

// TestUnsendableStart guards against a statement that counts as rejected, or whose outcome
// counts as unknown, because the name of its workspace can't be sent to a database.
func TestUnsendableStart(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		c := catalogue(2, "key")
		c.Workspaces["w x"] = c.Workspaces["w"]
		delete(c.Workspaces, "w")
		f.set(func(f *fixture) { f.index = access.NewKeyIndex(c) })
		for _, route := range []ident.Route{"primary", "bounded"} {
			s := f.open(t, route)
			is.Equal(s.run(dbop.Read).Code, dbop.Busy)
			is.Equal(s.run(dbop.Write).Code, dbop.Busy)
			s.run(dbop.Begin)
			a := s.run(dbop.Write)
			is.Equal(a.Code, dbop.Busy)
			is.Equal(a.State, dbop.InError)
			s.end()
		}
		is.Equal(totalRuns(f, dbop.Read)+totalRuns(f, dbop.Write), 0)
		m, _ := f.c.Roster().Member("g", "a")
		is.True(m.FailedAt.IsZero())
	})
}

// opened returns the number of connections that were ever opened.
func opened(f *fixture) (n int) {
	for _, id := range []ident.Target{"a", "b", "c"} {
		for _, conns := range f.c.ConnsByWorkspace(id) {
			n += conns
		}
	}
	return n
}

// TestUnsendableSetup guards against a prepared statement that is tried at each database
// until the deadline although it can be sent to none, and against connections that are
// closed by it: a caller could use up the connections of all.
func TestUnsendableSetup(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		for _, route := range []ident.Route{"primary", "bounded"} {
			s := f.open(t, route)
			for range 20 {
				s.run(dbop.Read)
				s.run(dbop.Write)
			}
			// As long as a session may hold, and too long with the name at databases.
			text := strings.Repeat("q", linktest.MaxMessage-len("p"))
			before, begun := opened(f), time.Now()
			for range 10 {
				is.Equal(s.run(dbop.Prepare, named("p", text), writes).Code, dbop.OK)
				is.Equal(s.run(dbop.Execute, named("p", "1 x")).Code, dbop.TooLarge)
				is.Equal(s.run(dbop.Prepare, named("p", text)).Code, dbop.OK)
				is.Equal(s.run(dbop.Execute, named("p", "1")).Code, dbop.TooLarge)
			}
			s.run(dbop.BeginRead)
			a := s.run(dbop.Execute, named("p", "1"))
			is.Equal(a.Code, dbop.TooLarge)
			is.Equal(a.State, dbop.InError)
			s.run(dbop.Rollback)
			is.True(time.Since(begun) < time.Second)
			is.Equal(opened(f), before)
			s.end()
		}
	})
}
