package gate_test

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/gate"
)

func ExampleLot() {
	var l gate.Borrower
	l.Configure(5, 9) // five slots, nine live VMs, and no gate is known
	fmt.Println(l.Limit(time.Unix(0, 0)))
	// Output: 1
}
