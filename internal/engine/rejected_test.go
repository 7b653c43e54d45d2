package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"chervilspan.example/internal/engine"
	"chervilspan.example/pkg/dbop"
)

// TestFramingError guards against a session that goes on, or a transaction that can still
// be committed, after a message of which it is in doubt where it ends, and against such a
// message without an answer.
func TestFramingError(t *testing.T) {
	for kind, code := range map[engine.Kind]dbop.Code{engine.KindFraming: dbop.Malformed, engine.KindTooLarge: dbop.TooLarge, engine.KindCharacter: dbop.Malformed} {
		run(t, func(t *testing.T, f *fixture) {
			is := is.New(t)
			other := f.open(t, "primary")
			idle := f.open(t, "primary")
			is.Equal(idle.reject(kind).Code, code)
			<-idle.closed
			s := f.open(t, "primary")
			is.Equal(s.run(dbop.Begin).State, dbop.Open)
			is.Equal(s.run(dbop.Write).Code, dbop.OK)
			rollbacks := len(f.c.Executions("a", dbop.Rollback))
			a := s.reject(kind)
			is.Equal(a.Code, code)
			is.Equal(a.State, dbop.Idle)
			<-s.closed
			synctest.Wait()
			is.Equal(len(f.c.Executions("a", dbop.Commit)), 0)
			is.Equal(len(f.c.Executions("a", dbop.Rollback)), rollbacks+1)
			is.Equal(other.run(dbop.Write).Code, dbop.OK)
			other.end()
		})
	}
}

// TestErrorInTxn guards against a transaction that can be committed although one of its
// statements was rejected: the caller would keep half of its work.
func TestErrorInTxn(t *testing.T) {
	tooLarge := func(s *session) (a dbop.Answer) {
		for i := range 300 {
			if a = s.run(dbop.Set, func(st *dbop.Statement) { st.Name = fmt.Sprint(i) }); a.Code != dbop.OK {
				break
			}
		}
		return a
	}
	for _, k := range []struct {
		code dbop.Code
		send func(*session) dbop.Answer
	}{
		{dbop.Malformed, func(s *session) dbop.Answer { return s.run(0) }},
		{dbop.Malformed, func(s *session) dbop.Answer { return s.run(dbop.Begin) }},
		{dbop.NoStatement, func(s *session) dbop.Answer { return s.run(dbop.Execute) }},
		{dbop.TooLarge, tooLarge},
	} {
		run(t, func(t *testing.T, f *fixture) {
			is := is.New(t)
			s := f.open(t, "primary")
			is.Equal(s.run(dbop.Begin).State, dbop.Open)
			is.Equal(s.run(dbop.Write).Code, dbop.OK)
			a := k.send(s)
			is.Equal(a.Code, k.code)
			is.Equal(a.State, dbop.InError)
			is.Equal(s.run(dbop.Commit).Code, dbop.Aborted)
			is.Equal(len(f.c.Executions("a", dbop.Commit)), 0)
			is.Equal(s.run(dbop.Write).Code, dbop.OK)
			s.end()
		})
	}
}
