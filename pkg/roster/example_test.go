package roster_test

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/roster"
)

func ExampleTable() {
	var tab roster.Table
	now := time.Unix(100, 0)
	tab.Update([]roster.Entry{{ID: "a", Group: "ledger", Primary: true}, {ID: "b", Group: "ledger"}}, now)
	fmt.Println(tab.Primary("ledger"))
	tab.DeposePrimary("ledger", "a", now) // it refused a writing transaction
	tab.ConfirmPrimary("ledger", "b")     // this one started one
	fmt.Println(tab.Primary("ledger"))
	// Output:
	// a true
	// b true
}
