package engine_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
)

// TestFailedSetOfAnother guards against a statement that runs with a session value of
// another caller, whose SET a database has answered with FAILED or TIMEOUT after it was
// carried out.
func TestFailedSetOfAnother(t *testing.T) {
	for _, code := range []dbop.Code{dbop.Failed, dbop.Timeout} {
		run(t, func(t *testing.T, f *fixture) {
			is := is.New(t)
			first, second := f.open(t, "primary"), f.open(t, "primary")
			is.Equal(first.run(dbop.Set, named("v", "1")).Code, dbop.OK)
			f.c.Update("a", func(d *linktest.DB) {
				d.AnswerCodes[dbop.Set] = slices.Repeat([]dbop.Code{code}, 1000)
			})
			first.run(dbop.Write) // the connection can't be set up
			f.c.Update("a", func(d *linktest.DB) { d.AnswerCodes[dbop.Set] = nil })
			is.Equal(second.run(dbop.Write).Code, dbop.OK)
			writes := f.c.Executions("a", dbop.Write)
			is.Equal(len(writes[len(writes)-1].Vars), 0)
			first.end()
			second.end()
		})
	}
}
