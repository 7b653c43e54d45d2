package dbpool_test

import (
	"errors"
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

// TestNotSent guards against a statement with a separator in it whose outcome counts as
// unknown although nothing was sent, against a part of its batch that runs, and against its
// connection being closed or counting as one that has answered.
func TestNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 1)
		notSent := 0
		p.NotSent = func(_ *roster.Member, ws ident.Workspace, err error) {
			is.Equal(ws, ident.Workspace("w"))
			is.True(errors.Is(err, dbpool.ErrNotEncodable))
			notSent++
		}
		conn, err := p.Get(in(time.Second), m, "w", 0)
		is.NoErr(err)
		_, err = conn.Do(in(time.Second), dbop.Statement{Kind: dbop.Begin})
		is.NoErr(err)
		sent := conn.SentAt()
		time.Sleep(time.Minute)
		answers, err := conn.Do(in(time.Second), dbop.Statement{Kind: dbop.Write, Text: "WRITE x y"}, dbop.Statement{Kind: dbop.Read, Text: "READ x\nWRITE k evil"})
		is.NoErr(err)
		is.Equal(len(answers), 2)
		for _, a := range answers {
			is.Equal(a.Code, dbop.Malformed)
			is.Equal(a.State, dbop.Open)
		}
		is.Equal(len(c.Executions("a", dbop.Write)), 0)
		is.Equal(conn.SentAt(), sent)
		is.True(conn.AnswerAge() >= time.Minute)
		is.Equal(notSent, 1)
		conn.Rollback(in(time.Second))
		is.Equal(c.OpenConns("a"), 1)
	})
}

// TestStartNotSent guards against a database that counts as failed because the name of one
// workspace can't be sent to it.
func TestStartNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := linktest.New("g", "a")
		p, m := pools(c, 1)
		_, err := p.Get(in(time.Second), m, "t1 i-01", 0)
		var e *dbpool.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, dbpool.KindRefused)
		is.Equal(e.Code, dbop.Malformed)
		now, _ := c.Roster().Member("g", "a")
		is.Equal(now.FailedAt, m.FailedAt)
	})
}
