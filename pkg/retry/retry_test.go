package retry

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestOutcomeOf guards against an error without an outcome that is reported as
// "not run", which would let callers repeat a request that may have run.
func TestOutcomeOf(t *testing.T) {
	is := is.New(t)
	is.Equal(OutcomeOf(nil), Done)
	is.Equal(OutcomeOf(errors.New("x")), Unknown)
	is.Equal(OutcomeOf(fmt.Errorf("x: %w", &Error{Op: "read", Outcome: NotRun})), NotRun)
	is.Equal((&Error{Op: "read"}).Error(), "read; outcome unknown")
}

// TestBudget guards against retries beyond 20% of the requests of a second, and
// against a target with little traffic that is never retried.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		// With steps of whole intervals the expected counts are exact.
		now := time.Unix(0, 0)
		requests, retries := map[int64]int{}, map[int64]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "slots")) * windowInterval)
			interval := int64(now.Sub(time.Unix(0, 0)) / windowInterval)
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				b.RecordRequest(now)
				requests[interval]++
			}
			for range rapid.IntRange(0, 8).Draw(t, "retries") {
				var requestCount, retryCount int
				for i := interval - windowIntervals + 1; i <= interval; i++ {
					requestCount += requests[i]
					retryCount += retries[i]
				}
				want := retryCount < 10 || float64(retryCount+1) <= 0.2*float64(requestCount)
				got := b.Allow(now)
				if got != want {
					t.Fatalf("Allow = %v after %d requests and %d retries in a second", got, requestCount, retryCount)
				}
				if got {
					retries[interval]++
				}
			}
		}
	})
}

// TestBackoff guards against delays above the cap, and against overflow of the
// doubled delay after many retries.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	var b Backoff
	is.Equal(b.Delay(0, 0.5), 5*time.Millisecond)
	is.Equal(b.Delay(3, 0.5), 40*time.Millisecond)
	is.Equal(b.Delay(1000, 0.999), 999*time.Millisecond)
	is.Equal(b.Delay(5, 0), time.Duration(0))
}

// TestSlowStart guards against a recovered target that gets its full weight at once.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	is.Equal(SlowStart(time.Time{}, now), 1.0)
	is.Equal(SlowStart(now, now), 0.1)
	is.Equal(SlowStart(now.Add(-5*time.Second), now), 0.5)
	is.Equal(SlowStart(now.Add(-time.Minute), now), 1.0)
}
