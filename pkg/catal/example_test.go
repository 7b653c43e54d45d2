package catal_test

import (
	"fmt"

	"chervilspan.example/pkg/catal"
)

func ExampleRead() {
	_, err := catal.Read([]byte(`{
  "zones": {"zagreb": {"region": "kontinentalna"}},
  "workspaces": {"uredi": {"owner": "udruga", "rate": -1, "burst": 20}}
}`))
	fmt.Println(err)
	// Output: catalogue: read: line 3: /workspaces/uredi/rate: -1 is out of range; allowed: above 0 to 1000000 statements a second
}

func ExampleKey_Matches() {
	text, key, err := catal.NewKey("counter-1")
	if err != nil {
		panic(err)
	}
	fmt.Println(key.Matches(text), key.Matches(text+"x"))
	// Output: true false
}
