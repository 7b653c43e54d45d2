// Package retry says what is known of a request that failed, and how much a
// target may be asked again.
//
// Outcome has three values: a request is done, was not run, or nobody can tell.
// Errors carry their outcome; an error that carries none is Unknown, so that an
// oversight never makes a refusal say "not run" when the request may have run.
//
// Budget bounds the retries sent to one target, Backoff spreads them over time,
// and SlowStart lets a target that returns take its share step by step. The
// backoff is the "full jitter" of Brooker, "Exponential Backoff and Jitter"
// (AWS Architecture Blog, 2015).
//
// The package is pure: callers pass the time and the random numbers.
//
// # Usage
//
//	budget.Request(time.Now())
//	err := run(target)
//	if retry.Of(err) == retry.NotRun && budget.Allow(time.Now()) {
//		time.Sleep(backoff.Delay(attempt, rand.Float64()))
//		err = run(other)
//	}
package retry
