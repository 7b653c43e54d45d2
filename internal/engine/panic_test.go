package engine_test

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/dbop"
)

// TestPanic guards against an unexpected error in one session that ends the process or
// another session, and against an answer that says that the statement has not run.
func TestPanic(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s, other := f.open(t, "primary"), f.open(t, "primary")
		is.Equal(s.run(dbop.Begin).Code, dbop.OK)
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		index, conns := f.Index(), f.c.OpenConns("a")
		f.set(func(f *fixture) { f.index = &access.KeyIndex{} }) // has no catalogue
		is.Equal(s.run(dbop.Write).Code, dbop.Unknown)
		<-s.closed
		is.Equal(f.c.OpenConns("a"), conns-1) // the open transaction is rolled back
		f.set(func(f *fixture) { f.index = index })
		is.Equal(other.run(dbop.Write).Code, dbop.OK)
		other.end()
	})
}
