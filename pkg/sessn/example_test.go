package sessn_test

import (
	"fmt"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/sessn"
)

func ExampleSession() {
	var s sessn.Session
	fmt.Println(s.NeedsFloor(0)) // unknown history: the group's position is asked for
	s.Attach(ident.Position{Term: 2, Index: 40})
	s.RecordWrite(ident.Position{Term: 2, Index: 41})
	s.RecordRead(ident.Position{Term: 2, Index: 40}, 0)
	fmt.Println(s.NeedsFloor(0), s.Floor())
	// Output:
	// true
	// false 2/41
}
