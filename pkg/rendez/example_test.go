package rendez_test

import (
	"fmt"

	"chervilspan.example/pkg/rendez"
)

func ExampleTop() {
	all := []string{"vm-1", "vm-2", "vm-3", "vm-4"}
	before := rendez.Top("group/ledger-1", all, 4)
	rest := rendez.Top("group/ledger-1", before[1:], 4)
	fmt.Println("the others keep their order:", fmt.Sprint(before[1:]) == fmt.Sprint(rest))
	// Output: the others keep their order: true
}
