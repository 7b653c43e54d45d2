package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopPlan guards against a stop that ends before the last sixth of the grace period,
// until which the answers of databases are waited for, or too late to be passed on.
func TestStopPlan(t *testing.T) {
	begin := time.Now()
	for _, grace := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, time.Minute} {
		is := is.New(t)
		p := planStop(begin, grace)
		is.True(!p.closeAll.Before(p.closeIdle))
		is.Equal(p.closeAll.Sub(begin), grace/2) // an open transaction has half of it
		is.True(p.answersBy.Sub(begin) > grace-grace/6)
		is.True(p.end.After(p.answersBy))
		is.True(grace-p.end.Sub(begin) >= grace/10)
	}
}
