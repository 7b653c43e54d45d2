package dbpool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// commits is a dbpool.Commits that counts the questions.
type commits struct {
	held, lost    bool
	asked, before int
	// after is that of the last commit.
	after ident.Position
}

func (c *commits) AllowCommit(time.Time, *roster.Member) bool {
	c.asked++
	return !c.held
}

func (c *commits) ConfirmCommit(_ time.Time, _ *roster.Member, after ident.Position) bool {
	c.after = after
	return !c.lost
}

// newQuestions returns the number of questions since the last call.
func (c *commits) newQuestions() int {
	n := c.asked - c.before
	c.before = c.asked
	return n
}

func statement(k dbop.Kind) dbop.Statement {
	return dbop.Statement{Kind: k, ID: "i", Text: "WRITE x 1", Writes: k == dbop.Write}
}

// TestCommitsAsked guards against commits that are sent without a question, and against
// questions for statements that commit nothing.
func TestCommitsAsked(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a", "b")
	gate := &commits{}
	pools := &dbpool.Pools{Dialer: c, Roster: c.Roster(), Commits: gate, ConnLimit: func(*roster.Member) int { return 1 }}
	m, _ := c.Roster().Member("g", "a")
	conn, err := pools.GetLocal(time.Now().Add(time.Second), &m, "", 0)
	is.NoErr(err)
	do := func(kinds ...dbop.Kind) dbop.Answer {
		sts := make([]dbop.Statement, len(kinds))
		for i, k := range kinds {
			sts[i] = statement(k)
		}
		answers, err := conn.Do(time.Now().Add(time.Second), sts...)
		is.NoErr(err)
		return answers[len(answers)-1]
	}
	for _, c := range []struct {
		kinds []dbop.Kind
		asked int
	}{
		{[]dbop.Kind{dbop.Read}, 0},
		{[]dbop.Kind{dbop.Write}, 1},
		{[]dbop.Kind{dbop.Begin, dbop.Rollback}, 0},
		{[]dbop.Kind{dbop.Begin}, 0},
		{[]dbop.Kind{dbop.Read}, 0},
		{[]dbop.Kind{dbop.Commit}, 0}, // it has written nothing
		{[]dbop.Kind{dbop.Begin}, 0},
		{[]dbop.Kind{dbop.Write}, 0},
		{[]dbop.Kind{dbop.Commit}, 1},
		{[]dbop.Kind{dbop.Begin, dbop.Write, dbop.Commit}, 1},
	} {
		is.Equal(do(c.kinds...).Code, dbop.OK)
		is.Equal(gate.newQuestions(), c.asked)
	}
	is.Equal(gate.after, ident.Position{Term: 1, Index: 3}) // of the answer before: it had 4 commits, and the last one is not below
	gate.held = true
	before := len(c.Executions("a", dbop.Write))
	is.Equal(do(dbop.Write).Code, dbop.Busy)
	is.Equal(len(c.Executions("a", dbop.Write)), before) // nothing was run
	do(dbop.Begin)
	do(dbop.Write)
	a := do(dbop.Commit)
	is.Equal(a.Code, dbop.Busy)
	is.Equal(a.State, dbop.Open) // it may still be committed
}

// TestUnconfirmedCommit guards against the acknowledgement of a commit that may be lost: its
// outcome is unknown.
func TestUnconfirmedCommit(t *testing.T) {
	is := is.New(t)
	c := linktest.New("g", "a", "b")
	pools := &dbpool.Pools{Dialer: c, Roster: c.Roster(), Commits: &commits{lost: true}, ConnLimit: func(*roster.Member) int { return 1 }}
	m, _ := c.Roster().Member("g", "a")
	conn, err := pools.GetLocal(time.Now().Add(time.Second), &m, "", 0)
	is.NoErr(err)
	_, err = conn.Do(time.Now().Add(time.Second), statement(dbop.Write))
	is.True(err != nil)
	conn.Release(true)
	is.Equal(c.OpenConns("a"), 0)
}
