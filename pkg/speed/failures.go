package speed

import (
	"math"
	"time"
)

const (
	// failureTimeConstant is the time in which the weight of a result falls to 1/e,
	// about a third.
	failureTimeConstant = 2 * time.Second
	// priorSuccesses is the number of assumed successes, which keeps the estimate
	// low after a single failure.
	priorSuccesses = 3
)

// Failures estimates the fraction of statements that fail at a database, with
// exponentially decaying weights. It exists because a database that reports a
// good status may still fail many statements. The zero value has no failures.
type Failures struct {
	total, failed float64
	updatedAt     time.Time
}

// Record counts a result.
func (f *Failures) Record(failed bool, now time.Time) {
	f.decay(now)
	f.total++
	if failed {
		f.failed++
	}
}

// decay reduces the weights of the results to those at now.
func (f *Failures) decay(now time.Time) {
	w := math.Exp(-float64(now.Sub(f.updatedAt)) / float64(failureTimeConstant))
	if f.updatedAt.IsZero() {
		w = 0
	}
	f.total, f.failed, f.updatedAt = f.total*w, f.failed*w, now
}

// Rate returns the estimated failure rate, from 0 to 1.
func (f *Failures) Rate(now time.Time) float64 {
	f.decay(now)
	return f.failed / (f.total + priorSuccesses)
}
