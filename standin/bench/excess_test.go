package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/standin/load"
)

// TestExcessSeen guards against an excess in a short window that the windows
// around it hide.
func TestExcessSeen(t *testing.T) {
	is := is.New(t)
	const perSecond, burst = 10, 5
	is.Equal(excess(nil, perSecond, burst), -5.0)
	var spans []load.Span
	for range burst {
		spans = append(spans, load.Span{Sent: 30 * time.Second, Answered: 30 * time.Second})
	}
	is.Equal(excess(spans, perSecond, burst), 0.0)
	spans = append(spans, load.Span{Sent: 30 * time.Second, Answered: 30 * time.Second})
	is.Equal(excess(spans, perSecond, burst), 1.0)
	spans = append(spans, load.Span{}, load.Span{Sent: time.Minute, Answered: time.Minute})
	is.Equal(excess(spans, perSecond, burst), 1.0)
}

// TestExcessIsFair guards against an excess that is reported although every
// statement was admitted by a bucket of the stated rate and burst, when answers
// are late and out of order.
func TestExcessIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.IntRange(1, 100).Draw(t, "rate")
		burst := rapid.IntRange(1, 20).Draw(t, "burst")
		delay := rapid.IntRange(0, 2000)
		mint := time.Second / time.Duration(perSecond)
		// full is when the bucket will be full again.
		var now, full time.Duration
		var spans []load.Span
		for range rapid.IntRange(1, 60).Draw(t, "statements") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond
			now = max(now, full-time.Duration(burst-1)*mint)
			full = max(full, now) + mint
			spans = append(spans, load.Span{
				Sent:     now - time.Duration(delay.Draw(t, "before"))*time.Millisecond,
				Answered: now + time.Duration(delay.Draw(t, "after"))*time.Millisecond,
			})
		}
		const rounding = 1e-3 // mint is rounded down to nanoseconds
		if e := excess(spans, float64(perSecond), float64(burst)); e > rounding {
			t.Fatalf("an excess of %v", e)
		}
	})
}
