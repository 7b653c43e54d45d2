package evlog

import (
	"cmp"
	"sync"
	"time"
)

// LineInterval is the usual shortest time between two lines of a Limiter.
const LineInterval = time.Second

// Limiter counts occurrences of an event of which not each gets a line, since others can
// cause them by the thousand. Its zero value is ready for use.
type Limiter struct {
	// Interval is the shortest time between two lines; 0 means LineInterval.
	Interval time.Duration

	mu       sync.Mutex
	unlogged int
	loggedAt time.Time
}

// Add counts an occurrence. It returns the number to log, 0 for no line.
func (l *Limiter) Add(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlogged++
	if now.Sub(l.loggedAt) < cmp.Or(l.Interval, LineInterval) {
		return 0
	}
	n := l.unlogged
	l.unlogged, l.loggedAt = 0, now
	return n
}
