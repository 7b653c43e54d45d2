package store_test

import (
	"fmt"

	"chervilspan.example/pkg/store"
)

func ExamplePlain() {
	e, err := store.DecodeEntry(store.Entry{Key: "catalogue", Value: []byte(`{"op": "3f", "value": {"version": 7}}`), Revision: 12})
	fmt.Println(string(e.Value), e.Revision, err)
	// Output: {"version": 7} 12 <nil>
}
