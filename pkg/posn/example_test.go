package posn_test

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/posn"
)

func ExampleTrack() {
	var t posn.Tracker
	start := time.Unix(100, 0)
	t.Confirm(ident.Position{Term: 3, Index: 1200}, start)
	t.Confirm(ident.Position{Term: 3, Index: 1207}, start.Add(time.Second))
	// A read that arrives 1.5 s after the start and accepts an age of 1 s.
	pos, ok := t.Covering(start.Add(500 * time.Millisecond))
	fmt.Println(pos, ok)
	// Output: 3/1207 true
}
