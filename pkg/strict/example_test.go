package strict_test

import (
	"fmt"

	"chervilspan.example/pkg/strict"
)

func ExampleDecode() {
	var settings struct {
		Zone  string `json:"zone"`
		Slots uint32 `json:"slots"`
	}
	doc := strict.Decode([]byte("{\n \"zone\": 7,\n \"slotz\": 5\n}"), &settings)
	for _, p := range doc.Problems() {
		fmt.Println(p)
	}
	// Output:
	// line 2: /zone: has 7; allowed: a string
	// line 3: /slotz: unknown field; allowed: zone, slots
}
