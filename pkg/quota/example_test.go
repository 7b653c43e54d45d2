package quota_test

import (
	"fmt"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/quota"
)

func ExampleShareOf() {
	limit := quota.Limit{Rate: 50, Burst: 30}
	var rate float64
	var burst ident.MicroTokens
	for i := range quota.Index(12) {
		s := quota.SliceShare(limit, i, 12, quota.SliceOffset("uredi"))
		rate += s.Rate
		burst += s.Burst
	}
	fmt.Printf("%.0f a second, burst %d\n", rate, burst/ident.Token)
	// Output: 50 a second, burst 30
}
