package member_test

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/member"
)

func ExampleNew() {
	n := member.New(member.Config{Self: member.Info{VM: "zagreb-1", Zone: "zagreb", Address: "192.0.2.11:7432"}}, time.Unix(0, 0))
	for _, i := range n.Live() {
		fmt.Println(i.VM, i.State)
	}
	// Output: zagreb-1 alive
}
