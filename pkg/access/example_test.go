package access_test

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

func ExampleCheck() {
	text, key, err := catal.NewKey("k1")
	if err != nil {
		panic(err)
	}
	c := &catal.Catalogue{
		Workspaces: map[ident.Workspace]catal.Workspace{"uredi": {Rate: 10, Burst: 20, Keys: map[string]catal.Key{"k1": key}}},
		Routes:     map[ident.Route]catal.Route{"narudzbe": {Group: "ledger"}},
	}
	now := time.Now()
	auth, err := access.Authenticate(c, "uredi", "narudzbe", text, now)
	fmt.Println(auth.Group, err)
	key.Withdrawn = true
	c.Workspaces["uredi"].Keys["k1"] = key
	fmt.Println(access.Check(c, auth, now))
	// Output:
	// ledger <nil>
	// the key "k1" of workspace "uredi" is no longer accepted
}
