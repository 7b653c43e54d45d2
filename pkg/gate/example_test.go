package gate_test

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/gate"
)

func ExampleBorrower() {
	var b gate.Borrower
	b.Configure(5, 9) // five slots, nine live VMs, no known gate
	fmt.Println(b.Limit(time.Unix(0, 0)))
	// Output: 1
}
