package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/standin/load"
)

// TestExcessInShortWindow guards against an excess in a short window that is
// averaged out in the longer windows around it.
func TestExcessInShortWindow(t *testing.T) {
	is := is.New(t)
	const perSecond, burst = 10, 5
	is.Equal(maxExcess(nil, perSecond, burst), -5.0)
	var spans []load.Span
	for range burst {
		spans = append(spans, load.Span{Sent: 30 * time.Second, Answered: 30 * time.Second})
	}
	is.Equal(maxExcess(spans, perSecond, burst), 0.0)
	spans = append(spans, load.Span{Sent: 30 * time.Second, Answered: 30 * time.Second})
	is.Equal(maxExcess(spans, perSecond, burst), 1.0)
	spans = append(spans, load.Span{}, load.Span{Sent: time.Minute, Answered: time.Minute})
	is.Equal(maxExcess(spans, perSecond, burst), 1.0)
}

// TestNoFalseExcess guards against an excess that is reported although a token
// bucket of the given rate and burst admitted every statement, when answers are
// late and out of order.
func TestNoFalseExcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.IntRange(1, 100).Draw(t, "rate")
		burst := rapid.IntRange(1, 20).Draw(t, "burst")
		delay := rapid.IntRange(0, 2000)
		tokenInterval := time.Second / time.Duration(perSecond)
		// full is the time at which the bucket is full again.
		var now, full time.Duration
		var spans []load.Span
		for range rapid.IntRange(1, 60).Draw(t, "statements") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond
			now = max(now, full-time.Duration(burst-1)*tokenInterval)
			full = max(full, now) + tokenInterval
			spans = append(spans, load.Span{
				Sent:     now - time.Duration(delay.Draw(t, "before"))*time.Millisecond,
				Answered: now + time.Duration(delay.Draw(t, "after"))*time.Millisecond,
			})
		}
		const rounding = 1e-3 // tokenInterval is rounded down to nanoseconds
		if e := maxExcess(spans, float64(perSecond), float64(burst)); e > rounding {
			t.Fatalf("false excess of %v", e)
		}
	})
}
