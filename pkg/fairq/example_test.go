package fairq_test

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/fairq"
)

func ExampleQueue() {
	var q fairq.Queue
	now := time.Unix(0, 0)
	for t := fairq.Ticket(1); t <= 4; t++ {
		_ = q.Push(fairq.Item{Ticket: t, Workspace: "loud"}, 1, now)
	}
	_ = q.Push(fairq.Item{Ticket: 5, Workspace: "quiet"}, 1, now)
	first, _ := q.Pop(now)
	second, _ := q.Pop(now)
	fmt.Println(first == 5 || second == 5) // "quiet" does not wait for all requests of "loud"
	// Output: true
}
