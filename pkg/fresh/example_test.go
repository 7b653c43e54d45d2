package fresh_test

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/fresh"
)

func ExampleBoot() {
	b := fresh.StartupCheck{PeerCount: 3}
	b.RecordPeerAnswer("192.0.2.12:7432", 6)
	fmt.Println(b.Ready(7)) // one of three peers, and no store
	b.RecordPeerAnswer("192.0.2.21:7432", 7)
	fmt.Println(b.Ready(6), b.Ready(7))
	// Output:
	// false
	// false true
}

func ExampleState_Decide() {
	s := fresh.New(fresh.Config{Zone: "zagreb"})
	start := time.Unix(0, 0)
	s.Apply(7, nil)
	s.HandleStoreAnswer(7, start, start)
	fmt.Println(s.Decide(start.Add(4 * time.Second)).Reason)
	// Output: fresh
}
