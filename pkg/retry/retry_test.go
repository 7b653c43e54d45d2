package retry

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestOf guards against an error without an outcome that is taken for "not run".
func TestOf(t *testing.T) {
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
		// Steps of whole slots make the window of the budget exact.
		now := time.Unix(0, 0)
		requests, retries := map[int64]int{}, map[int64]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "slots")) * budgetSlot)
			slot := int64(now.Sub(time.Unix(0, 0)) / budgetSlot)
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				b.Request(now)
				requests[slot]++
			}
			for range rapid.IntRange(0, 8).Draw(t, "retries") {
				var seen, again int
				for i := slot - budgetSlots + 1; i <= slot; i++ {
					seen += requests[i]
					again += retries[i]
				}
				want := again < 10 || float64(again+1) <= 0.2*float64(seen)
				got := b.Allow(now)
				if got != want {
					t.Fatalf("Allow = %v after %d requests and %d retries in a second", got, seen, again)
				}
				if got {
					retries[slot]++
				}
			}
		}
	})
}

// TestBackoff guards against waits beyond the cap and against a shift that
// overflows after many retries.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	var b Backoff
	is.Equal(b.Delay(0, 0.5), 5*time.Millisecond)
	is.Equal(b.Delay(3, 0.5), 40*time.Millisecond)
	is.Equal(b.Delay(1000, 0.999), 999*time.Millisecond)
	is.Equal(b.Delay(5, 0), time.Duration(0))
}

// TestSlowStart guards against a returning target that takes its full share at once.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	is.Equal(SlowStart(time.Time{}, now), 1.0)
	is.Equal(SlowStart(now, now), 0.1)
	is.Equal(SlowStart(now.Add(-5*time.Second), now), 0.5)
	is.Equal(SlowStart(now.Add(-time.Minute), now), 1.0)
}
