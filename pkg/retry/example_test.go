package retry_test

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/retry"
)

func ExampleBackoff_Delay() {
	b := retry.Backoff{Base: 10 * time.Millisecond, Cap: 100 * time.Millisecond}
	for attempt := range 5 {
		fmt.Println(b.Delay(attempt, 0.999999) <= 100*time.Millisecond)
	}
	// Output:
	// true
	// true
	// true
	// true
	// true
}
