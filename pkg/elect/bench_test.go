package elect

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkWatch measures the cost of one virtual second for the three watchers
// of idle groups, including the cost of the simulated databases.
func BenchmarkWatch(b *testing.B) {
	for _, n := range []int{1, 3, 9} {
		b.Run(fmt.Sprint("groups=", n), func(b *testing.B) {
			var worlds []*simulation
			for i := range n {
				w := newSimulation(uint64(i), 3, 3, PolicyEvidence)
				w.advance(5 * time.Second)
				worlds = append(worlds, w)
			}
			b.ReportAllocs()
			count := 0
			for b.Loop() {
				for _, w := range worlds {
					w.advance(time.Second)
				}
				count++
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(count*n*3), "ns/watcher-group-s")
		})
	}
}
