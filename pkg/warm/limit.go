package warm

import (
	"math"
	"time"

	"chervilspan.example/pkg/quota"
)

// Tolerance is the number of requests that may reach a cold database in any one
// second: Fraction of its rate, plus Tokens. With a zero Fraction there is no limit.
type Tolerance struct {
	Fraction float64
	Tokens   float64
}

// Enabled reports whether there is a limit.
func (x Tolerance) Enabled() bool { return x.Fraction > 0 }

// Lifetimes are the times for which rights to send a request outlast the token that
// they come from.
type Lifetimes struct {
	// Grant is how long tokens that were borrowed may be used. A VM that restarts
	// begins with new buckets while tokens that it lent before are in use.
	Grant time.Duration
	// Permit is how long after its admission a request may be sent.
	Permit time.Duration
}

// Limit returns the rate and burst of the token bucket that all VMs together may use
// for a cold database with the given rate.
//
// At the start of a second, no more tokens exist than the burst and those that
// restarted VMs had lent, for which at most rate x Grant were minted anew; rate x 1 s
// are minted in the second; and requests admitted up to Permit before it may be sent in
// it. The sum, burst + rate x (1 s + Grant + Permit), is at most Fraction x rate +
// Tokens. The rate is lowered only if no token would be left for the burst.
func (x Tolerance) Limit(rate float64, l Lifetimes) quota.Limit {
	perRate := 1 + l.Grant.Seconds() + l.Permit.Seconds()
	allowed := x.Fraction*rate + x.Tokens
	if !x.Enabled() || rate <= 0 || allowed < 1 {
		return quota.Limit{}
	}
	if burst := math.Floor(allowed - perRate*rate); burst >= 1 {
		return quota.Limit{Rate: rate, Burst: uint32(min(burst, math.MaxInt32))}
	}
	return quota.Limit{Rate: (allowed - 1) / perRate, Burst: 1}
}
