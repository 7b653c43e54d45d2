package retry

import (
	"sync"
	"time"
)

const (
	// maxRetryRatio is the maximum ratio of retries to requests.
	maxRetryRatio = 0.2
	// minRetriesPerSecond is the number of retries that is always allowed;
	// without it requests to a target with little traffic could never be retried.
	minRetriesPerSecond = 10
	// The sliding window of one second has windowIntervals intervals.
	windowIntervals = 10
	windowInterval  = 100 * time.Millisecond
)

// Budget limits the retries sent to one target. In each window of one second
// retries are at most 20% of the requests, and 10 are always allowed. The zero
// Budget is ready for use and safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	start time.Time
	// interval is the number of the current interval, counted from start.
	interval int64
	requests [windowIntervals]int
	retries  [windowIntervals]int
}

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.interval%windowIntervals]++
}

// Allow reports whether a retry may be sent now, and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	var requests, retries int
	for i := range windowIntervals {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > max(minRetriesPerSecond, maxRetryRatio*float64(requests)) {
		return false
	}
	b.retries[b.interval%windowIntervals]++
	return true
}

// advance sets the current interval and clears the counts of intervals that have
// left the window.
func (b *Budget) advance(now time.Time) {
	if b.start.IsZero() {
		b.start = now
	}
	next := max(b.interval, int64(now.Sub(b.start)/windowInterval))
	for i := b.interval + 1; i <= min(next, b.interval+windowIntervals); i++ {
		b.requests[i%windowIntervals], b.retries[i%windowIntervals] = 0, 0
	}
	b.interval = next
}

// Backoff is an exponential backoff with full jitter. The zero Backoff starts
// at 10 ms and ends at 1 s.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// Delay returns the delay before a retry, numbered from 0: random, which must be
// in [0, 1), times the lesser of Cap and Base * 2^retry.
func (b Backoff) Delay(retry int, random float64) time.Duration {
	base, limit := b.Base, b.Cap
	if base <= 0 {
		base = 10 * time.Millisecond
	}
	if limit <= 0 {
		limit = time.Second
	}
	for range retry {
		if base >= limit {
			break
		}
		base *= 2
	}
	return time.Duration(random * float64(min(base, limit)))
}

// slowStartPeriod is the time after which a recovered target has its full weight.
const slowStartPeriod = 10 * time.Second

// minWeight is the weight of a target that has just recovered. It keeps some
// traffic on the target, so that its caches fill.
const minWeight = 0.1

// SlowStart returns the weight of a target that recovered at since: it rises
// linearly with the time since then, from at least 0.1 to 1 after 10 s. A zero
// since stands for a target that never failed.
func SlowStart(since, now time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	return min(1, max(minWeight, float64(now.Sub(since))/float64(slowStartPeriod)))
}
