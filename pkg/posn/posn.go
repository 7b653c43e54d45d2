// Package posn remembers which log position of a primary covers the commits
// that were acknowledged before a time.
//
// A position that a primary reports in answer to a request, while it has the
// lead, covers every commit that was acknowledged before the request was sent.
// A read that accepts data of an age therefore needs the lowest position whose
// request was sent within that age (bounded staleness; Terry et al., "Session
// Guarantees for Weakly Consistent Replicated Data", 1994).
//
// # Usage
//
//	var t posn.Track
//	t.Confirm(pos, sent)
//	floor, ok := t.Covering(arrived.Add(-maxAge))
//	if !ok {
//		// ask the primary for its position
//	}
package posn

import (
	"sync"
	"time"

	"chervilspan.example/pkg/ident"
)

const (
	// spacing is the least time between two samples that are kept.
	spacing = 40 * time.Millisecond
	// kept is the number of samples; with spacing it covers ages up to 5 s.
	kept = 128
)

type sample struct {
	pos  ident.Position
	sent time.Time
}

// Tracker has the confirmed positions of one group. The zero Track has none; its
// methods may be called from several goroutines.
type Tracker struct {
	mu      sync.Mutex
	samples []sample // in the order of sent
	last    sample
}

// Confirm notes that the primary reported pos in answer to a request that was
// sent at the given time, and had the lead then.
func (t *Tracker) Confirm(pos ident.Position, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent.After(t.last.sent) {
		t.last = sample{pos, sent}
	}
	if n := len(t.samples); n > 0 && sent.Sub(t.samples[n-1].sent) < spacing {
		return
	}
	if len(t.samples) == kept {
		t.samples = append(t.samples[:0], t.samples[1:]...)
	}
	t.samples = append(t.samples, sample{pos, sent})
}

// Covering returns the lowest known position that covers every commit that was
// acknowledged before since. ok is false when no known position does.
func (t *Tracker) Covering(since time.Time) (pos ident.Position, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.samples {
		if !s.sent.Before(since) {
			return s.pos, true
		}
	}
	if !t.last.sent.IsZero() && !t.last.sent.Before(since) {
		return t.last.pos, true
	}
	return ident.Position{}, false
}

// Latest returns the position that was confirmed last and when its request was
// sent; zero when there was none.
func (t *Tracker) Latest() (pos ident.Position, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last.pos, t.last.sent
}
