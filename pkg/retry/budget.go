package retry

import (
	"sync"
	"time"
)

const (
	// budgetRatio is the share of requests that may be repeated.
	budgetRatio = 0.2
	// budgetFloor is the number of retries a second that is always allowed;
	// without it a target with little traffic could never be retried.
	budgetFloor = 10
	// budgetSlots and budgetSlot divide the window of one second.
	budgetSlots = 10
	budgetSlot  = 100 * time.Millisecond
)

// Budget bounds the retries sent to one target. In each window of one second
// retries are at most 20% of the requests, and 10 are always allowed. The zero
// Budget is ready for use; its methods may be called from several goroutines.
type Budget struct {
	mu       sync.Mutex
	start    time.Time
	slot     int64
	requests [budgetSlots]int
	retries  [budgetSlots]int
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.slot%budgetSlots]++
}

// Allow reports whether a retry may be sent now, and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	var requests, retries int
	for i := range budgetSlots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > max(budgetFloor, budgetRatio*float64(requests)) {
		return false
	}
	b.retries[b.slot%budgetSlots]++
	return true
}

// advance empties the slots that have left the window.
func (b *Budget) advance(now time.Time) {
	if b.start.IsZero() {
		b.start = now
	}
	next := max(b.slot, int64(now.Sub(b.start)/budgetSlot))
	for i := b.slot + 1; i <= min(next, b.slot+budgetSlots); i++ {
		b.requests[i%budgetSlots], b.retries[i%budgetSlots] = 0, 0
	}
	b.slot = next
}

// Backoff is an exponential backoff with full jitter. The zero Backoff starts
// at 10 ms and ends at 1 s.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// Delay returns the wait before the given retry, counted from 0: random, which
// must be in [0, 1), times the least of Cap and Base doubled for each retry.
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

// slowStart is the time after which a returning target has its full weight.
const slowStart = 10 * time.Second

// leastWeight keeps some traffic on a target that has just returned, so that
// its caches fill.
const leastWeight = 0.1

// SlowStart returns the weight of a target that returned at since: from 0.1 up
// to 1 after 10 s. A zero since stands for a target that never failed.
func SlowStart(since, now time.Time) float64 {
	if since.IsZero() {
		return 1
	}
	return min(1, max(leastWeight, float64(now.Sub(since))/float64(slowStart)))
}
