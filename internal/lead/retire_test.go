package lead_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
)

// TestRetire guards against a failover that a VM begins although it is about to stop.
func TestRetire(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.monitors[0].Retire()
		f.remove("a")
		time.Sleep(10 * time.Second)
		is.Equal(len(f.cluster.ControlLog()), 0)
	})
}

// TestRetireDuringFailover guards against a planned stop that interrupts a failover, after
// which replicas stay fenced and others wait for the claim to expire.
func TestRetireDuringFailover(t *testing.T) {
	run(t, 1, func(is *is.I, f *fixture) {
		f.cluster.Update("c", func(d *linktest.DB) { d.DroppedAnswers[dbop.Fence] = 2 })
		f.remove("a")
		f.await(is, "fence b")
		f.monitors[0].Retire()
		f.monitors[0].AwaitIdle(time.Now().Add(5 * time.Second))
		is.Equal(len(f.promotions()), 1)
	})
}
