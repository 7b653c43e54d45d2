package engine_test

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
)

// TestEndedTransaction guards against a write of an open transaction that is committed at
// once: the database has ended the transaction, as its last answer says by the state, so
// that it runs the write outside one.
func TestEndedTransaction(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		s := f.open(t, "primary")
		is.Equal(s.run(dbop.Begin).Code, dbop.OK)
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		f.c.Update("a", func(d *linktest.DB) { d.EndsTxns = true })
		s.run(dbop.Read)
		f.c.Update("a", func(d *linktest.DB) { d.EndsTxns = false })
		s.run(dbop.Write)
		s.run(dbop.Rollback)
		s.end()
		for _, w := range f.c.Executions("a", dbop.Write) {
			is.True(w.InTx)
		}
	})
}
