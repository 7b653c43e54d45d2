package engine_test

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
)

// TestAnonymousConns guards against statements of callers without a workspace that run on a
// connection which the database knows as one of a workspace.
func TestAnonymousConns(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		c := f.open(t, "primary")
		is.Equal(c.run(dbop.Read).Code, dbop.OK) // leaves an idle connection of workspace w
		c.end()
		anonymous := f.openWithKey(t, "open", "other")
		is.Equal(anonymous.run(dbop.Read).Code, dbop.OK)
		is.Equal(anonymous.run(dbop.Write).Code, dbop.OK)
		anonymous.end()
		reads, writes := f.c.Executions("a", dbop.Read), f.c.Executions("a", dbop.Write)
		is.Equal(reads[len(reads)-1].Workspace, dbpool.Anonymous)
		is.Equal(writes[len(writes)-1].Workspace, dbpool.Anonymous)
	})
}
