package stmt_test

import (
	"fmt"

	"chervilspan.example/pkg/stmt"
)

func ExampleCache_Classify() {
	var cache stmt.Cache
	for _, sql := range []string{
		"SELECT sum(metres) FROM rods",
		"SELECT * FROM rods FOR UPDATE",
		"INSERT INTO orders VALUES (1)",
	} {
		fmt.Println(cache.Classify(sql).ReadOnly())
	}
	// Output:
	// true
	// false
	// false
}
