package engine_test

import (
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
	for kind, code := range map[engine.Kind]dbop.Code{engine.KindFraming: dbop.Malformed, engine.KindTooLarge: dbop.TooLarge} {
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
