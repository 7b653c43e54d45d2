package topo_test

import (
	"fmt"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

func ExampleTable_Learn() {
	var tab topo.Table
	tab.Configure(&catal.Catalogue{Groups: map[ident.Group]catal.Group{
		"ledger": {Targets: map[ident.Target]catal.Target{"ledger-a": {}, "ledger-b": {}, "ledger-c": {}}},
	}})
	fmt.Println(tab.Learn(topo.Hint{Group: "ledger", Term: 2, Primary: "ledger-b"}))
	fmt.Println(tab.Learn(topo.Hint{Group: "ledger", Term: 1, Primary: "ledger-a"})) // late
	g, _ := tab.Group("ledger")
	fmt.Println(g.Primary, g.Majority())
	// Output:
	// true
	// false
	// ledger-b 2
}
