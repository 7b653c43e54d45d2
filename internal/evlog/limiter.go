package evlog

import (
	"sync"
	"time"
)

// LineInterval is the shortest time between two lines of a Limiter.
const LineInterval = time.Second

// Limiter counts occurrences of an event of which not each gets a line, since others can
// cause them by the thousand. Its zero value is ready for use.
type Limiter struct {
	mu       sync.Mutex
	unlogged int
	loggedAt time.Time
}

// Add counts an occurrence. It returns the number to log, 0 for no line.
func (l *Limiter) Add(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlogged++
	if now.Sub(l.loggedAt) < LineInterval {
		return 0
	}
	n := l.unlogged
	l.unlogged, l.loggedAt = 0, now
	return n
}
