package peer

import (
	"maps"
	"sync"
	"time"
)

// AvoidList remembers what is passed over for some time after a failure, such as the
// address of a VM. The zero Avoid is empty and ready for use; its methods may be
// called from several goroutines.
type AvoidList struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add passes a name over for a time.
func (a *AvoidList) Add(name string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(a.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	if a.until == nil {
		a.until = map[string]time.Time{}
	}
	a.until[name] = now.Add(d)
}

// Has reports whether a name is passed over now.
func (a *AvoidList) Has(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.until[name])
}
