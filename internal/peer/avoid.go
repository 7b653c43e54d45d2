package peer

import (
	"maps"
	"sync"
	"time"
)

// AvoidList has names, such as addresses of VMs, that are not used for some time
// after a failure. The zero AvoidList is empty and ready for use; its methods may be
// called from several goroutines.
type AvoidList struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add puts a name on the list for the duration d.
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

// Has reports whether a name is on the list.
func (a *AvoidList) Has(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.until[name])
}
