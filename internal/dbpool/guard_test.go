package dbpool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/roster"
)

// closedGuard refuses all statements and records which were urgent.
type closedGuard struct{ urgent []bool }

func (g *closedGuard) Admit(_ time.Time, _ *roster.Member, urgent bool) (func(), bool) {
	g.urgent = append(g.urgent, urgent)
	return nil, false
}

func (g *closedGuard) Closed(*roster.Member) {}

// TestGuard guards against a statement that takes a slot at a database and is sent
// although the guard refused it, and against one that takes none and is refused.
func TestGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 2)
		g := &closedGuard{}
		p.Guard = g
		conn, err := p.Get(in(time.Second), m, "w", 0)
		is.NoErr(err)
		run := func(sts ...dbop.Statement) dbop.Code {
			answers, err := conn.Do(in(time.Second), sts...)
			is.NoErr(err)
			is.Equal(len(answers), len(sts))
			return answers[0].Code
		}
		read := dbop.Statement{Kind: dbop.Read, Text: "READ x"}
		is.Equal(run(read), dbop.Crowded)
		is.Equal(run(dbop.Statement{Kind: dbop.Write, Text: "WRITE x 1"}), dbop.Busy)
		is.Equal(len(g.urgent), 2)
		is.Equal(run(dbop.Statement{Kind: dbop.Begin}), dbop.OK)
		is.Equal(run(read), dbop.Busy)
		queued := read
		queued.Scheduling.MaxWait = time.Second
		is.Equal(run(queued, dbop.Statement{Kind: dbop.Rollback}), dbop.Crowded)
		is.Equal(run(dbop.Statement{Kind: dbop.Commit}), dbop.Busy)
		is.Equal(conn.State(), dbop.Open)
		is.Equal(run(dbop.Statement{Kind: dbop.Rollback}), dbop.OK)
		is.Equal(g.urgent, []bool{false, true, true, false, true})
		for _, k := range []dbop.Kind{dbop.Read, dbop.Write, dbop.Commit} {
			is.Equal(len(c.Executions("a", k)), 0)
		}
		conn.Release(true)
	})
}
