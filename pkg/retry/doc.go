// Package retry classifies the outcome of requests that may have failed, and
// limits and spreads retries.
//
// Outcome has three values: a request was done, was not run, or its outcome is
// unknown. Errors carry their outcome. An error without one counts as Unknown,
// so that an omission never reports "not run" for a request that may have run.
//
// Budget limits the retries sent to one target, Backoff spreads them over time,
// and SlowStart raises the weight of a recovered target gradually. The backoff
// is the "full jitter" of Brooker, "Exponential Backoff and Jitter" (AWS
// Architecture Blog, 2015).
//
// The package does no input or output: callers pass the time and the random
// numbers.
//
// # Usage
//
//	budget.RecordRequest(time.Now())
//	err := run(target)
//	if retry.OutcomeOf(err) == retry.NotRun && budget.Allow(time.Now()) {
//		time.Sleep(backoff.Delay(attempt, rand.Float64()))
//		err = run(other)
//	}
package retry
