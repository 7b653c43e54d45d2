package engine_test

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// TestNameOfAnonymous guards against statements of callers without a workspace that run on
// connections of a workspace that has the name under which databases know them.
func TestNameOfAnonymous(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		c := catalogue(2, "key")
		c.Workspaces["chervilspan"] = c.Workspaces["w"]
		delete(c.Workspaces, ident.Workspace("w"))
		f.set(func(f *fixture) { f.index = access.NewKeyIndex(c) })
		s := f.open(t, "primary")
		is.Equal(s.run(dbop.Write).Code, dbop.OK)
		anonymous := f.openWithKey(t, "open", "other")
		is.Equal(anonymous.run(dbop.Write).Code, dbop.OK)
		anonymous.end()
		s.end()
		writes := f.c.Executions("a", dbop.Write)
		is.True(writes[0].Workspace != writes[1].Workspace)
	})
}
