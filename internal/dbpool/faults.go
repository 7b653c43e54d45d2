package dbpool

import (
	"math"
	"time"
)

const (
	// faultMemory is the time in which the weight of a result falls to a third.
	faultMemory = 2 * time.Second
	// faultPrior is the number of successes that are assumed, so that a single
	// failure counts little.
	faultPrior = 3
)

// faults estimates the part of the statements that a database fails, with
// weights that fall exponentially with their age. A database whose status is
// good may fail many. The zero value has no failures.
type faults struct {
	all, failed float64
	at          time.Time
}

func (f *faults) note(failed bool, now time.Time) {
	f.age(now)
	f.all++
	if failed {
		f.failed++
	}
}

func (f *faults) age(now time.Time) {
	w := math.Exp(-float64(now.Sub(f.at)) / float64(faultMemory))
	if f.at.IsZero() {
		w = 0
	}
	f.all, f.failed, f.at = f.all*w, f.failed*w, now
}

// part returns the estimate, from 0 to 1.
func (f *faults) part(now time.Time) float64 {
	f.age(now)
	return f.failed / (f.all + faultPrior)
}
