package access_test

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// TestNamelessWorkspace guards against a workspace without a name whose callers are taken for
// anonymous ones, which have connections of the proxy's own and no rate limit, and against its
// settings being those of anonymous callers.
func TestNamelessWorkspace(t *testing.T) {
	is := is.New(t)
	k, err := catal.HashKey("secret")
	is.NoErr(err)
	x := access.NewKeyIndex(&catal.Catalogue{
		Classes:    map[ident.Class]catal.Class{"fast": {ObjectiveMS: 5}, "c": {ObjectiveMS: 100}},
		Workspaces: map[ident.Workspace]catal.Workspace{"": {Class: "fast", Keys: map[string]catal.Key{"k": k}}},
		Routes:     map[ident.Route]catal.Route{"closed": {Group: "g", Class: "c"}, "open": {Group: "g", Class: "c", Open: true}},
	})
	_, err = x.Identify("closed", "secret")
	is.True(err != nil)
	auth, err := x.Identify("open", "secret")
	is.NoErr(err)
	is.Equal(auth.KeyID, "")
	is.Equal(auth.Class, ident.Class("c"))
}
