package ident_test

import (
	"fmt"

	"chervilspan.example/pkg/ident"
)

func ExamplePosition_Less() {
	longOldLog := ident.Position{Term: 3, Index: 1017}
	shortNewLog, _ := ident.ParsePosition("4/12")
	fmt.Println(longOldLog.Less(shortNewLog), longOldLog.Max(shortNewLog))
	// Output: true 4/12
}
